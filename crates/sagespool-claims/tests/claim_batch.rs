//! Many claims in one write, and at most one run whatever is lost.

use std::collections::BTreeSet;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sagespool_claims::{
    BatchPolicy, ClaimBatch, ClaimIntent, ClaimResult, ClaimVerdict, ClaimsRecord, FencedClaim,
};
use sagespool_types::{
    AttemptNumber, ClockTime, ContentDigest, IncarnationId, KeyDigest, RequestId, WallTime,
};

const NOW: ClockTime = ClockTime::from_millis(1000);
/// Steps of one run of the small world.
const STEPS: usize = 120;
const WALL: WallTime = WallTime(1_700_000_000_000);

fn intent(key: u128, request: u128, sidecar: u64) -> ClaimIntent {
    ClaimIntent {
        key: KeyDigest(key),
        request: RequestId(request),
        content: ContentDigest(5),
        sidecar: IncarnationId(sidecar),
        attempt: AttemptNumber(1),
        home: IncarnationId(1),
        replaces: None,
        time_left: Duration::from_secs(5),
    }
}

#[test]
fn write_times() {
    let policy = BatchPolicy::default();
    let mut batch = ClaimBatch::new(policy.clone());
    assert_eq!(batch.due_at(), None);
    batch.add(intent(1, 10, 100), NOW);
    batch.add(intent(2, 11, 100), NOW.after(policy.max_delay / 2));
    assert_eq!(batch.due_at(), Some(NOW.after(policy.max_delay)), "the first one's delay");
    for number in 3..=policy.max_claims as u128 {
        batch.add(intent(number, 10 + number, 100), NOW);
    }
    assert_eq!(batch.due_at(), Some(NOW), "a full batch doesn't wait");
    assert!(batch.begin_write(NOW));
    batch.add(intent(900, 910, 100), NOW);
    assert_eq!(batch.due_at(), None, "one write at a time");
    assert!(!batch.begin_write(NOW));
    let mut record = ClaimsRecord::default();
    assert!(batch.apply(&mut record, WALL));
    let answers = batch.complete_write(record, NOW);
    assert_eq!(answers.len(), policy.max_claims);
    assert!(answers.iter().all(|answer| answer.verdict == ClaimVerdict::Durable));
    assert_eq!(batch.len(), 1, "the late one waits for the next write");
    assert_eq!(
        batch.due_at(),
        Some(NOW.after(policy.min_write_interval)),
        "writes keep their distance"
    );
}

/// The store takes a write and its answer is lost; meanwhile another home
/// claims one of the keys. Each caller must hear what is in the store, and a
/// intent of a write that is believed lost must not be forgotten.
#[test]
fn lost_answer() {
    let mut batch = ClaimBatch::new(BatchPolicy::default());
    batch.add(intent(1, 10, 100), NOW);
    batch.add(intent(2, 11, 100), NOW);
    batch.begin_write(NOW);
    let mut stored = ClaimsRecord::default();
    stored.claim(&intent(2, 99, 101), WALL, Duration::from_secs(3600));
    batch.apply(&mut stored, WALL);
    batch.record_failure(NOW);
    assert!(batch.is_store_unreachable());
    let retry = batch.due_at().expect("the wishes wait");
    assert!(retry > NOW, "not at once");
    batch.begin_write(NOW);
    let mut again = stored.clone();
    assert!(!batch.apply(&mut again, WALL), "it is there already");
    let answers = batch.complete_write(again, retry);
    assert_eq!(answers[0].verdict, ClaimVerdict::Durable);
    assert!(
        matches!(&answers[1].verdict, ClaimVerdict::Taken(entry) if entry.request == RequestId(99))
    );
    assert!(!batch.is_store_unreachable());
}

/// The store is away beyond a request's deadline. Its home refuses it then, and
/// must not claim its key for it when the store is back.
#[test]
fn lapsed_wish() {
    let mut batch = ClaimBatch::new(BatchPolicy::default());
    batch.add(intent(1, 10, 100), NOW);
    let lapse = NOW.after(Duration::from_secs(5));
    let mut now = NOW;
    let mut tries = 0;
    for _ in 0..20 {
        if now >= lapse {
            break;
        }
        assert!(batch.expire(now).is_empty());
        batch.begin_write(now);
        batch.record_failure(now);
        now = batch.due_at().expect("it waits");
        tries += 1;
    }
    assert!((4..20).contains(&tries), "{tries} tries in 5 s spare a store in trouble");
    assert_eq!(batch.next_expiry(), Some(lapse));
    batch.begin_write(NOW);
    let lapsed = batch.expire(now);
    assert_eq!(lapsed[0].verdict, ClaimVerdict::Expired);
    let mut record = ClaimsRecord::default();
    assert!(!batch.apply(&mut record, WALL));
    assert!(batch.complete_write(record, now).is_empty());
}

#[test]
fn absent_keys() {
    let mut batch = ClaimBatch::new(BatchPolicy::default());
    assert_eq!(batch.absent_at(KeyDigest(1)), None, "never seen");
    let mut record = ClaimsRecord::default();
    record.claim(&intent(1, 10, 100), WALL, Duration::from_secs(3600));
    batch.observe_record(record, NOW);
    assert_eq!(batch.absent_at(KeyDigest(1)), None);
    assert_eq!(batch.absent_at(KeyDigest(2)), Some(NOW));
}

/// One step of a small world: two homes, two sidecars, one key, one store.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A caller sends a key through a home, for a sidecar. Its entry may ask both
    /// homes, if the first one's answer is lost.
    Send { home: usize, both: bool, sidecar: usize },
    /// A home reads the record and sends its write.
    Write { home: usize },
    /// The oldest write that is on its way arrives, and its answer does or not.
    Arrive { answered: bool },
    /// A home gives its write up; it may still arrive.
    GiveUp { home: usize },
    /// An entry that was paused goes on, and dispatches.
    Dispatch,
    /// A sidecar restarts and forgets.
    Restart { sidecar: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let place = usize::from(bool::arbitrary(g));
        let sidecar = usize::from(bool::arbitrary(g));
        match u8::arbitrary(g) % 16 {
            0..=2 => Self::Send { home: place, both: bool::arbitrary(g), sidecar },
            3..=6 => Self::Write { home: place },
            7..=10 => Self::Arrive { answered: u8::arbitrary(g) % 4 > 0 },
            11 => Self::GiveUp { home: place },
            12..=14 => Self::Dispatch,
            _ => Self::Restart { sidecar },
        }
    }
}

#[derive(Default)]
struct Sidecar {
    run: u64,
    ran: BTreeSet<KeyDigest>,
    fenced: BTreeSet<RequestId>,
}

struct FlyingWrite {
    home: usize,
    number: u64,
    based_on: u64,
    record: ClaimsRecord,
}

struct World {
    stored: ClaimsRecord,
    version: u64,
    homes: [ClaimBatch; 2],
    /// The write that each home waits for.
    awaited: [Option<u64>; 2],
    flying: Vec<FlyingWrite>,
    sidecars: [Sidecar; 2],
    dispatches: Vec<ClaimIntent>,
    /// What entries have dispatched: each attempt once, however often it is told durable.
    attempts: BTreeSet<(RequestId, AttemptNumber)>,
    requests: u128,
    runs: u32,
}

impl World {
    fn new() -> Self {
        Self {
            stored: ClaimsRecord::default(),
            version: 0,
            homes: std::array::from_fn(|_| ClaimBatch::new(BatchPolicy::default())),
            awaited: [None, None],
            flying: Vec::new(),
            sidecars: Default::default(),
            dispatches: Vec::new(),
            attempts: BTreeSet::new(),
            requests: 0,
            runs: 0,
        }
    }

    fn incarnation(&self, sidecar: usize) -> IncarnationId {
        IncarnationId(sidecar as u64 + 2 * self.sidecars[sidecar].run)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Send { home, both, sidecar } => {
                self.requests += 1;
                let intent = intent(1, self.requests, self.incarnation(sidecar).0);
                self.homes[home].add(intent.clone(), NOW);
                if both {
                    self.homes[1 - home].add(intent, NOW);
                }
            }
            Step::Write { home } => self.write(home),
            Step::Arrive { answered } => self.arrive(answered),
            Step::GiveUp { home } => {
                if self.awaited[home].take().is_some() {
                    self.homes[home].record_failure(NOW);
                }
            }
            Step::Dispatch => self.dispatch(),
            Step::Restart { sidecar } => {
                let run = self.sidecars[sidecar].run + 1;
                self.sidecars[sidecar] = Sidecar { run, ..Sidecar::default() };
            }
        }
    }

    fn write(&mut self, home: usize) {
        if !self.homes[home].begin_write(NOW) {
            return;
        }
        let mut record = self.stored.clone();
        if !self.homes[home].apply(&mut record, WALL) {
            let answers = self.homes[home].complete_write(record, NOW);
            return self.hear(home, answers);
        }
        let number = self.requests + self.flying.len() as u128 + u128::from(self.version) * 1000;
        let number = number as u64;
        self.awaited[home] = Some(number);
        self.flying.push(FlyingWrite { home, number, based_on: self.version, record });
    }

    fn arrive(&mut self, answered: bool) {
        if self.flying.is_empty() {
            return;
        }
        let write = self.flying.remove(0);
        let taken = write.based_on == self.version;
        if taken {
            self.version += 1;
            self.stored = write.record;
        }
        if self.awaited[write.home] != Some(write.number) {
            return;
        }
        self.awaited[write.home] = None;
        let home = write.home;
        if taken && answered {
            let answers = self.homes[home].complete_write(self.stored.clone(), NOW);
            self.hear(home, answers);
        } else {
            self.homes[home].record_failure(NOW);
        }
    }

    /// An entry dispatches what is durable; a home replaces a claim that its
    /// sidecar fences.
    fn hear(&mut self, home: usize, answers: Vec<ClaimResult>) {
        for ClaimResult { intent, verdict } in answers {
            match verdict {
                ClaimVerdict::Durable => self.dispatches.push(intent),
                ClaimVerdict::Taken(entry) => {
                    let place = (entry.sidecar.0 % 2) as usize;
                    let same = self.incarnation(place) == entry.sidecar;
                    let sidecar = &mut self.sidecars[place];
                    if same && !sidecar.ran.contains(&intent.key) {
                        sidecar.fenced.insert(entry.request);
                        let fenced = FencedClaim { request: entry.request, sidecar: entry.sidecar };
                        self.homes[home].add(intent.replacing(fenced), NOW);
                    }
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self) {
        if self.dispatches.is_empty() {
            return;
        }
        let intent = self.dispatches.remove(0);
        if !self.attempts.insert((intent.request, intent.attempt)) {
            return;
        }
        let place = (intent.sidecar.0 % 2) as usize;
        let same = self.incarnation(place) == intent.sidecar;
        let sidecar = &mut self.sidecars[place];
        let refused = !same || sidecar.fenced.contains(&intent.request);
        if !refused && sidecar.ran.insert(intent.key) {
            self.runs += 1;
            return;
        }
        if refused {
            // Refused for sure: the entry may try the other sidecar.
            let sidecar = self.incarnation(1 - place);
            let attempt = intent.attempt.next();
            let home = (intent.request.0 % 2) as usize;
            self.homes[home].add(ClaimIntent { sidecar, attempt, replaces: None, ..intent }, NOW);
        }
    }
}

/// Two entries both think they are home of a branch, the store loses answers
/// and lets writes arrive late, entries pause between claim and dispatch, and
/// sidecars restart. However these meet, a letter goes out at most once.
#[test]
fn at_most_once() {
    fn runs_once(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        for step in steps.into_iter().cycle().take(STEPS) {
            world.step(step);
        }
        world.runs <= 1
    }
    QuickCheck::new().tests(3000).quickcheck(runs_once as fn(Vec<Step>) -> bool);
}
