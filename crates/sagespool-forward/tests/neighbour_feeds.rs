//! Instances that learn of the store's changes from neighbours.
//!
//! With 68 instances each asking the store for itself, calls grow with the fleet: twice as many
//! instances are twice the calls, for the same changes. Two of a data centre ask for the others. What
//! must not happen is that an instance goes by old word: a neighbour that is frozen, cut off from the
//! store (also one way), or suspended goes on answering with what it knew, a change that the store
//! has accepted isn't in force in time, and requests go to an upstream that has left.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::sync::Arc;
use std::time::Duration;

use sagespool_forward::{
    ChangeFeed, FeedObject, FeedSource, FeedSourceSelector, FeedTiming, REPLY_TIMEOUT,
};
use sagespool_types::{ClockTime, IncarnationId, StoreRevision};

const IN_FORCE: Duration = Duration::from_millis(4000);
const STEP_MS: u64 = 10;
/// How long a call of the store takes before it is given up, beside its wait.
const CALL_LIMIT_MS: u64 = 500;
const PLAY_MS: u64 = 30_000;

fn object(key: &str, revision: u64, value: Option<&str>) -> FeedObject {
    FeedObject {
        key: key.to_owned(),
        revision: StoreRevision(revision),
        value: value.map(Arc::from),
    }
}

/// The choice of an instance whose own word is new.
fn choose_fresh(
    sources: &mut FeedSourceSelector,
    own: IncarnationId,
    others: &[IncarnationId],
    now: ClockTime,
) -> FeedSource {
    let terms = FeedTiming::within(IN_FORCE).unwrap();
    sources.choose(own, others, Some(Duration::ZERO), terms, now)
}

fn keys(feed: &ChangeFeed, after: u64) -> Vec<(String, bool)> {
    let page = feed.page(StoreRevision(after));
    page.objects.into_iter().map(|object| (object.key, object.value.is_some())).collect()
}

#[test]
fn only_news() {
    let mut feed = ChangeFeed::default();
    assert_eq!(feed.age(ClockTime(5)), None);
    feed.apply_listing(
        StoreRevision(10),
        vec![object("a", 3, Some("1")), object("b", 9, Some("1"))],
        ClockTime(100),
    );
    feed.apply_change(object("b", 12, None));
    feed.advance(StoreRevision(20), ClockTime(300));
    assert_eq!(feed.age(ClockTime(500)), Some(Duration::from_micros(200)));
    // Who knows the listing learns of the removal alone, who knows all learns nothing.
    assert_eq!(keys(&feed, 10), [("b".to_owned(), false)]);
    assert!(!feed.has_changes_after(StoreRevision(12)));
    assert_eq!(feed.page(StoreRevision(12)).revision, StoreRevision(20));
    // Who knows less than the listing gets all that there is, without what was removed.
    let page = feed.page(StoreRevision(9));
    assert!(page.whole);
    assert_eq!(keys(&feed, 9), [("a".to_owned(), true)]);
}

#[test]
fn late_answers() {
    let mut feed = ChangeFeed::default();
    feed.apply_listing(StoreRevision(10), Vec::new(), ClockTime(300));
    // Word of a neighbour that lags behind doesn't take back what is known.
    feed.advance(StoreRevision(7), ClockTime(200));
    assert_eq!(feed.revision(), StoreRevision(10));
    assert_eq!(feed.age(ClockTime(300)), Some(Duration::ZERO));
}

#[test]
fn agreed_followers() {
    let ids: Vec<IncarnationId> = (1..=12).map(|id| IncarnationId(id * 7919)).collect();
    let mut readers = 0;
    let mut asked = Vec::new();
    for own in &ids {
        let others: Vec<IncarnationId> = ids.iter().copied().filter(|id| id != own).collect();
        let mut sources = FeedSourceSelector::default();
        match choose_fresh(&mut sources, *own, &others, ClockTime(1)) {
            FeedSource::Store => readers += 1,
            FeedSource::Neighbour(id) => asked.push(id),
        }
    }
    asked.sort_unstable();
    asked.dedup();
    // Two ask the store whatever the number of instances; the others ask these two.
    assert_eq!(readers, 2);
    assert!(asked.len() <= 2);
}

#[test]
fn avoided_neighbours() {
    let others: Vec<IncarnationId> = (1..=40).map(IncarnationId).collect();
    let mut sources = FeedSourceSelector::default();
    let now = ClockTime::from_millis(1_000);
    let own = (100..200).map(IncarnationId).find(|own| {
        choose_fresh(&mut FeedSourceSelector::default(), *own, &others, now) != FeedSource::Store
    });
    let own = own.unwrap();
    let FeedSource::Neighbour(first) = choose_fresh(&mut sources, own, &others, now) else {
        panic!("somebody is asked");
    };
    sources.avoid(first, now);
    let FeedSource::Neighbour(second) = choose_fresh(&mut sources, own, &others, now) else {
        panic!("somebody else is asked");
    };
    assert_ne!(first, second);
    sources.avoid(second, now);
    assert_eq!(choose_fresh(&mut sources, own, &others, now), FeedSource::Store);
    let later = now.after(Duration::from_secs(3));
    assert_eq!(choose_fresh(&mut sources, own, &others, later), FeedSource::Neighbour(first));
}

#[test]
fn short_times() {
    // Where changes must be in force within two seconds, nobody goes by a neighbour's word.
    assert_eq!(FeedTiming::within(Duration::from_millis(2000)), None);
    for in_force in [3000, 4000, 5000] {
        let in_force = Duration::from_millis(in_force);
        let terms = FeedTiming::within(in_force).unwrap();
        let latest = terms.max_age + terms.poll_wait + REPLY_TIMEOUT;
        assert!(latest < in_force, "{latest:?} of {in_force:?}");
        // A follower that is well always has word that may be taken.
        assert!(terms.watch_wait < terms.max_age);
    }
}

/// What happens to a follower.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FollowerFault {
    /// It ends.
    Killed,
    /// It does nothing; its questions and answers come later, or never.
    Frozen,
    /// The store's answers don't reach it, and it isn't told so.
    CutOff,
}

struct Follower {
    feed: ChangeFeed,
    /// The fault and when it comes and goes.
    fault: FollowerFault,
    from: u64,
    until: u64,
    /// When its question to the store ends without an answer, if it can't be answered.
    gives_up: Option<u64>,
    /// When it may ask the store again.
    next: u64,
}

impl Follower {
    fn suffers(&self, fault: FollowerFault, now: u64) -> bool {
        self.fault == fault && (self.from..self.until).contains(&now)
    }

    /// Follows the store for a step.
    fn step(&mut self, store: &[(u64, u64)], terms: FeedTiming, now: u64) {
        if self.suffers(FollowerFault::Frozen, now) || self.suffers(FollowerFault::Killed, now) {
            return;
        }
        if self.suffers(FollowerFault::CutOff, now) {
            let wait = terms.watch_wait.as_millis() as u64 + CALL_LIMIT_MS;
            self.gives_up.get_or_insert(now + wait);
            return;
        }
        if self.gives_up.is_some_and(|gives_up| now < gives_up) {
            return;
        }
        self.gives_up = None;
        if now < self.next {
            return;
        }
        // The store answers at once if something changed, else at the end of the wait.
        let known = self.feed.revision();
        let newest = store.iter().filter(|(at, _)| *at <= now).map(|(_, revision)| *revision).max();
        let newest = StoreRevision(newest.unwrap_or(1));
        let at = ClockTime::from_millis(now);
        if newest > known {
            self.feed.apply_change(object("upstream", newest.0, Some("leaving")));
            self.feed.advance(newest, at);
            self.next = now + STEP_MS;
        } else {
            self.feed.advance(known, at);
            self.next = now + terms.watch_wait.as_millis() as u64;
        }
    }
}

/// A reader that asks one of two followers, and the store where it can't rely on them.
struct Reader {
    own: IncarnationId,
    sources: FeedSourceSelector,
    revision: StoreRevision,
    /// When what it knows was true.
    valid_at: ClockTime,
    /// The question under way: whom, since when.
    asked: Option<(IncarnationId, u64)>,
    calls: usize,
}

impl Reader {
    fn step(
        &mut self,
        followers: &[(IncarnationId, Follower)],
        store: &[(u64, u64)],
        terms: FeedTiming,
        now: u64,
    ) {
        let ids: Vec<IncarnationId> = followers.iter().map(|(id, _)| *id).collect();
        let at = ClockTime::from_millis(now);
        let Some((id, since)) = self.asked else {
            let age = at.since(self.valid_at);
            match self.sources.choose(self.own, &ids, Some(age), terms, at) {
                FeedSource::Neighbour(id) => self.asked = Some((id, now)),
                FeedSource::Store => {
                    self.calls += 1;
                    self.valid_at = at;
                    let newest = store.iter().filter(|(at, _)| *at <= now).map(|(_, new)| *new);
                    self.revision = self.revision.max(StoreRevision(newest.max().unwrap_or(1)));
                }
            }
            return;
        };
        let (_, follower) = followers.iter().find(|(other, _)| *other == id).unwrap();
        let waited = Duration::from_millis(now - since);
        let answers = !follower.suffers(FollowerFault::Frozen, now)
            && !follower.suffers(FollowerFault::Killed, now);
        let is_due = waited >= terms.poll_wait || follower.feed.has_changes_after(self.revision);
        if answers && is_due {
            self.asked = None;
            match follower.feed.age(at).filter(|age| *age <= terms.max_age) {
                Some(age) => {
                    self.revision = self.revision.max(follower.feed.revision());
                    let valid_at = ClockTime(at.0 - age.as_micros() as u64);
                    self.valid_at = self.valid_at.max(valid_at);
                }
                None => self.sources.avoid(id, at),
            }
        } else if waited > terms.poll_wait + REPLY_TIMEOUT {
            self.asked = None;
            self.sources.avoid(id, at);
        }
    }
}

/// Plays changes at random times beside a fault of one or both followers, and gives the longest
/// time until a reader had a change, and its calls of the store.
fn play(seed: u64) -> (u64, usize) {
    let mut random = fastrand::Rng::with_seed(seed);
    let terms = FeedTiming::within(IN_FORCE).unwrap();
    let three = [(); 3].map(|()| IncarnationId(random.u64(1..1 << 40)));
    // Of three, two are followers; the third asks them.
    let others = |own: &IncarnationId| three.into_iter().filter(|id| id != own).collect::<Vec<_>>();
    let is_reader = |own: &IncarnationId| {
        choose_fresh(&mut FeedSourceSelector::default(), *own, &others(own), ClockTime(1))
            != FeedSource::Store
    };
    let own = three.into_iter().find(is_reader).unwrap();
    let ids = others(&own);
    let faults = [FollowerFault::Killed, FollowerFault::Frozen, FollowerFault::CutOff];
    let mut followers: Vec<(IncarnationId, Follower)> = ids
        .iter()
        .map(|id| {
            let from = random.u64(2_000..PLAY_MS);
            let follower = Follower {
                feed: ChangeFeed::default(),
                fault: faults[random.usize(0..faults.len())],
                from,
                until: from + random.u64(200..12_000),
                gives_up: None,
                next: random.u64(0..500),
            };
            (*id, follower)
        })
        .collect();
    for (_, follower) in &mut followers {
        follower.feed.apply_listing(StoreRevision(1), Vec::new(), ClockTime::from_millis(0));
    }
    let mut store: Vec<(u64, u64)> = (2..12).map(|new| (random.u64(1_000..PLAY_MS), new)).collect();
    store.sort_unstable();
    for (index, change) in store.iter_mut().enumerate() {
        change.1 = index as u64 + 2;
    }
    let mut reader = Reader {
        own,
        sources: FeedSourceSelector::default(),
        revision: StoreRevision(1),
        valid_at: ClockTime::default(),
        asked: None,
        calls: 0,
    };
    let mut worst = 0;
    for now in (0..PLAY_MS + 6_000).step_by(STEP_MS as usize) {
        for (_, follower) in &mut followers {
            follower.step(&store, terms, now);
        }
        reader.step(&followers, &store, terms, now);
        let unknown = store.iter().find(|(_, new)| StoreRevision(*new) > reader.revision);
        if let Some((at, _)) = unknown {
            worst = worst.max(now.saturating_sub(*at));
        }
    }
    (worst, reader.calls)
}

/// Whatever happens to the followers, a change is in force in time at an instance that is itself
/// well.
#[test]
fn word_in_time() {
    for seed in 0..4_000 {
        let (worst, _) = play(seed);
        assert!(worst < IN_FORCE.as_millis() as u64, "seed {seed}: after {worst} ms");
    }
}
