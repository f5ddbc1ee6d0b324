//! Changes of the store that spread through large data centres.
//!
//! Load of a fleet of hundreds of gateways, most of them small: each change is a message of 50 kB,
//! several a second while an operator changes the configuration step by step.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sagespool_forward::{
    ChangeFeed, FeedObject, FeedPeer, FeedSource, FeedSourceSelector, FeedTiming, FeedTree,
    REPLY_TIMEOUT,
};
use sagespool_types::{ClockTime, IncarnationId, InstanceCapacity, StoreRevision};

const STRONG: InstanceCapacity = InstanceCapacity(10);
const WEAK: InstanceCapacity = InstanceCapacity(5);
const IN_FORCE: Duration = Duration::from_millis(5_000);
const STEP_MS: u64 = 20;
/// Time that a message takes, and a busy instance to handle it.
const MESSAGE_MS: u64 = 40;
const SIMULATED_MS: u64 = 20_000;

/// A data centre with some strong instances among many weak ones.
fn data_centre(random: &mut fastrand::Rng, size: usize, strong: usize) -> Vec<FeedPeer> {
    let capacity = |number| if number < strong { STRONG } else { WEAK };
    let peer =
        |number| FeedPeer { id: IncarnationId(random.u64(1..1 << 60)), capacity: capacity(number) };
    (0..size).map(peer).collect()
}

fn tree_of(own: FeedPeer, peers: &[FeedPeer]) -> FeedTree {
    let others: Vec<FeedPeer> = peers.iter().copied().filter(|peer| *peer != own).collect();
    FeedTree::new(own, &others)
}

/// The number of instances that query each one first.
fn reader_counts(peers: &[FeedPeer]) -> BTreeMap<IncarnationId, usize> {
    let mut readers = BTreeMap::new();
    for own in peers {
        if let Some(source) = tree_of(*own, peers).sources().first() {
            *readers.entry(*source).or_default() += 1;
        }
    }
    readers
}

/// Guards against changes that wait for one machine's link: with two followers for all others, the
/// readers of each grow with the fleet.
#[test]
fn few_readers() {
    let mut random = fastrand::Rng::with_seed(1);
    for size in [3, 12, 30, 67, 146] {
        let readers = reader_counts(&data_centre(&mut random, size, size / 6));
        assert!(readers.values().all(|count| *count <= 8), "{size} instances: {readers:?}");
    }
}

/// Guards against distribution by machines that can't carry it.
#[test]
fn strong_sources() {
    let mut random = fastrand::Rng::with_seed(2);
    let peers = data_centre(&mut random, 67, 11);
    let strong: Vec<IncarnationId> =
        peers.iter().filter(|peer| peer.capacity == STRONG).map(|peer| peer.id).collect();
    let readers = reader_counts(&peers);
    assert!(readers.keys().all(|source| strong.contains(source)), "{readers:?}");
    let followers = peers.iter().filter(|own| tree_of(**own, &peers).sources().is_empty());
    assert!(followers.clone().all(|follower| follower.capacity == STRONG));
    assert_eq!(followers.count(), 2);
}

/// Guards against readers that have no second neighbour, or have the first one twice.
#[test]
fn two_sources() {
    let mut random = fastrand::Rng::with_seed(3);
    for size in [4, 18, 19, 67, 155, 400] {
        let peers = data_centre(&mut random, size, 2);
        for own in &peers {
            let sources = tree_of(*own, &peers).sources();
            let distinct = sources.first() != sources.get(1);
            assert!(sources.is_empty() || (sources.len() == 2 && distinct), "{size}: {sources:?}");
            assert!(!sources.contains(&own.id));
        }
    }
}

/// A fault of an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// It makes no progress and replies nothing.
    Frozen,
    /// The store doesn't respond to it.
    CutOff,
}

/// What an instance waits for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Request {
    Store { until: u64 },
    Neighbour { id: IncarnationId, since: u64, wait: u64 },
}

struct Instance {
    own: FeedPeer,
    others: Vec<FeedPeer>,
    sources: FeedSourceSelector,
    feed: ChangeFeed,
    request: Option<Request>,
    fault: Option<(Fault, u64, u64)>,
    store_calls: usize,
}

impl Instance {
    fn has_fault(&self, fault: Fault, now: u64) -> bool {
        self.fault.is_some_and(|(kind, from, until)| kind == fault && (from..until).contains(&now))
    }

    fn begin_request(&mut self, timing: FeedTiming, now: u64) {
        let at = ClockTime::from_millis(now);
        let age = self.feed.age(at);
        self.request = Some(match self.sources.choose(self.own, &self.others, age, timing, at) {
            FeedSource::Store { wait } => {
                self.store_calls += 1;
                Request::Store { until: now + wait.as_millis() as u64 }
            }
            FeedSource::Neighbour { id, wait } => {
                Request::Neighbour { id, since: now, wait: wait.as_millis() as u64 }
            }
        });
    }

    fn end_watch(&mut self, newest: StoreRevision, now: u64) {
        self.request = None;
        if newest > self.feed.revision() {
            self.feed.apply_change(change(newest));
        }
        self.feed.advance(newest, ClockTime::from_millis(now));
    }
}

fn change(revision: StoreRevision) -> FeedObject {
    FeedObject { key: "plan".to_owned(), revision, value: Some(Arc::from("changed")) }
}

/// What became of a simulated data centre.
struct Spread {
    /// Longest time until an instance without a fault had a change, in milliseconds.
    slowest_ms: u64,
    /// Store calls of instances that aren't followers.
    other_calls: usize,
}

/// Changes at random times in a data centre, some instances of which have a fault that the others
/// don't know of.
fn simulate(seed: u64, size: usize, faults: usize) -> Spread {
    let mut random = fastrand::Rng::with_seed(seed);
    let timing = FeedTiming::within(IN_FORCE).unwrap();
    let peers = data_centre(&mut random, size, size / 6);
    let mut instances: Vec<Instance> = peers
        .iter()
        .map(|own| {
            let mut feed = ChangeFeed::default();
            feed.apply_listing(StoreRevision(1), Vec::new(), Some(ClockTime::from_millis(0)));
            Instance {
                own: *own,
                others: peers.iter().copied().filter(|peer| peer != own).collect(),
                sources: FeedSourceSelector::default(),
                feed,
                request: None,
                fault: None,
                store_calls: 0,
            }
        })
        .collect();
    for _ in 0..faults {
        // Mostly the instances that others query.
        let index = random.usize(0..size / 4);
        let from = random.u64(1_000..SIMULATED_MS);
        let fault = if random.bool() { Fault::Frozen } else { Fault::CutOff };
        instances[index].fault = Some((fault, from, from + random.u64(500..9_000)));
    }
    let mut changes: Vec<u64> = (0..8).map(|_| random.u64(1_000..SIMULATED_MS)).collect();
    changes.sort_unstable();
    let newest_at =
        |now: u64| StoreRevision(1 + changes.iter().filter(|at| **at <= now).count() as u64);
    let mut slowest_ms = 0;
    for now in (0..SIMULATED_MS + 6_000).step_by(STEP_MS as usize) {
        for index in 0..instances.len() {
            step(&mut instances, index, newest_at(now), timing, now);
        }
        for instance in instances.iter().filter(|instance| instance.fault.is_none()) {
            let known = instance.feed.revision().0 as usize - 1;
            if let Some(at) = changes.get(known) {
                slowest_ms = slowest_ms.max(now.saturating_sub(*at));
            }
        }
    }
    let others = peers.iter().zip(&instances);
    let others = others.filter(|(own, _)| !tree_of(**own, &peers).sources().is_empty());
    let other_calls = others.map(|(_, instance)| instance.store_calls).sum();
    Spread { slowest_ms, other_calls }
}

fn step(
    instances: &mut [Instance],
    index: usize,
    newest: StoreRevision,
    timing: FeedTiming,
    now: u64,
) {
    let own = &mut instances[index];
    if own.has_fault(Fault::Frozen, now) {
        return;
    }
    match own.request {
        None => own.begin_request(timing, now),
        Some(Request::Store { until }) => {
            let is_due = now >= until || newest > own.feed.revision();
            if is_due && !own.has_fault(Fault::CutOff, now) {
                own.end_watch(newest, now);
            }
        }
        Some(Request::Neighbour { id, since, wait }) => {
            end_query(instances, index, id, (since, wait), timing, now);
        }
    }
}

/// Ends a query if the neighbour has replied, or if it has timed out.
fn end_query(
    instances: &mut [Instance],
    index: usize,
    id: IncarnationId,
    (since, wait): (u64, u64),
    timing: FeedTiming,
    now: u64,
) {
    let at = ClockTime::from_millis(now);
    let after = instances[index].feed.revision();
    let neighbour = instances.iter().find(|other| other.own.id == id).unwrap();
    let waited = now - since;
    let has_reply = waited >= wait + MESSAGE_MS
        || (waited >= MESSAGE_MS && neighbour.feed.has_changes_after(after));
    let replies = has_reply && !neighbour.has_fault(Fault::Frozen, now);
    let age = neighbour.feed.age(at).filter(|age| *age <= timing.max_age);
    let page = neighbour.feed.page(after);
    let own = &mut instances[index];
    if replies {
        own.request = None;
        match age {
            Some(age) => {
                page.objects.into_iter().for_each(|object| own.feed.apply_change(object));
                let valid_at = at.before(age + REPLY_TIMEOUT);
                own.feed.advance(page.revision, valid_at);
            }
            None => own.sources.avoid(id, at),
        }
    } else if waited > wait + REPLY_TIMEOUT.as_millis() as u64 {
        own.request = None;
        own.sources.avoid(id, at);
    }
}

/// Guards against copies that look too old at the second level although nothing is wrong: its readers
/// would all watch the store.
#[test]
fn calls_of_followers_only() {
    for (seed, size) in [(1, 12), (2, 30), (3, 67), (4, 146)] {
        let spread = simulate(seed, size, 0);
        assert_eq!(spread.other_calls, 0, "{size} instances");
        assert!(spread.slowest_ms <= 1_000, "{size} instances: {} ms", spread.slowest_ms);
    }
}

/// Whatever faults the others have, a change is in force in time at an instance without a fault.
#[test]
fn change_in_time() {
    for seed in 0..40 {
        let size = if seed % 4 == 0 { 146 } else { 30 };
        let spread = simulate(seed, size, 1 + seed as usize % 5);
        let slowest = Duration::from_millis(spread.slowest_ms);
        assert!(slowest < IN_FORCE, "seed {seed}: change in force after {slowest:?}");
    }
}

/// Guards against a data centre that turns to the store as a whole when one instance fails.
#[test]
fn few_calls_after_failure() {
    for seed in 100..120 {
        let spread = simulate(seed, 67, 1);
        assert!(spread.other_calls <= 120, "seed {seed}: {} calls", spread.other_calls);
    }
}
