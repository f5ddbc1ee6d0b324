//! Group commit of claims, and at-most-once execution under lost messages and restarts.

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
/// Number of steps of one model run.
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
    assert_eq!(
        batch.due_at(),
        Some(NOW.after(policy.max_delay)),
        "the delay counts from the first claim"
    );
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
    let results = batch.complete_write(record, NOW);
    assert_eq!(results.len(), policy.max_claims);
    assert!(results.iter().all(|result| result.verdict == ClaimVerdict::Durable));
    assert_eq!(batch.len(), 1, "a claim added during a write waits for the next one");
    assert_eq!(
        batch.due_at(),
        Some(NOW.after(policy.min_write_interval)),
        "the minimum interval between writes"
    );
}

/// The store applies a write and the reply is lost, while another home claims one of the
/// keys. Each result must match the store, and the claims of a failed write must be retried.
#[test]
fn lost_reply() {
    let mut batch = ClaimBatch::new(BatchPolicy::default());
    batch.add(intent(1, 10, 100), NOW);
    batch.add(intent(2, 11, 100), NOW);
    batch.begin_write(NOW);
    let mut stored = ClaimsRecord::default();
    stored.claim(&intent(2, 99, 101), WALL, Duration::from_secs(3600));
    batch.apply(&mut stored, WALL);
    batch.record_failure(NOW);
    assert!(batch.is_store_unreachable());
    let retry = batch.due_at().expect("the claims wait for a retry");
    assert!(retry > NOW, "retried after a backoff");
    batch.begin_write(NOW);
    let mut again = stored.clone();
    assert!(!batch.apply(&mut again, WALL), "the first write took effect");
    let results = batch.complete_write(again, retry);
    assert_eq!(results[0].verdict, ClaimVerdict::Durable);
    assert!(
        matches!(&results[1].verdict, ClaimVerdict::Taken(entry) if entry.request == RequestId(99))
    );
    assert!(!batch.is_store_unreachable());
}

/// The store is unreachable until after a request's deadline. The home refuses the request
/// at the deadline, and must not claim the key for it when the store is reachable again.
#[test]
fn expired_claim() {
    let mut batch = ClaimBatch::new(BatchPolicy::default());
    batch.add(intent(1, 10, 100), NOW);
    let deadline = NOW.after(Duration::from_secs(5));
    let mut now = NOW;
    let mut tries = 0;
    for _ in 0..20 {
        if now >= deadline {
            break;
        }
        assert!(batch.expire(now).is_empty());
        batch.begin_write(now);
        batch.record_failure(now);
        now = batch.due_at().expect("the claim waits");
        tries += 1;
    }
    assert!((4..20).contains(&tries), "{tries} writes in 5 s: retries back off");
    assert_eq!(batch.next_expiry(), Some(deadline));
    batch.begin_write(NOW);
    let expired = batch.expire(now);
    assert_eq!(expired[0].verdict, ClaimVerdict::Expired);
    let mut record = ClaimsRecord::default();
    assert!(!batch.apply(&mut record, WALL));
    assert!(batch.complete_write(record, now).is_empty());
}

#[test]
fn absent_keys() {
    let mut batch = ClaimBatch::new(BatchPolicy::default());
    assert_eq!(batch.absent_at(KeyDigest(1)), None, "no record was read");
    let mut record = ClaimsRecord::default();
    record.claim(&intent(1, 10, 100), WALL, Duration::from_secs(3600));
    batch.observe_record(record, NOW);
    assert_eq!(batch.absent_at(KeyDigest(1)), None);
    assert_eq!(batch.absent_at(KeyDigest(2)), Some(NOW));
}

/// One step of the model: two homes, two sidecars, one key, one store.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request is claimed at a home, for a sidecar. With `both` the entry requests the
    /// claim from the other home too, as after a lost reply.
    Send { home: usize, both: bool, sidecar: usize },
    /// A home reads the record and sends its write.
    Write { home: usize },
    /// The oldest write in flight arrives; its reply is received or lost.
    Arrive { reply_received: bool },
    /// A home times out on its write, which may still arrive.
    TimeOut { home: usize },
    /// An entry dispatches the oldest durable claim, after a pause.
    Dispatch,
    /// A sidecar restarts and loses its state.
    Restart { sidecar: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::from(bool::arbitrary(g));
        let sidecar = usize::from(bool::arbitrary(g));
        match u8::arbitrary(g) % 16 {
            0..=2 => Self::Send { home: index, both: bool::arbitrary(g), sidecar },
            3..=6 => Self::Write { home: index },
            7..=10 => Self::Arrive { reply_received: u8::arbitrary(g) % 4 > 0 },
            11 => Self::TimeOut { home: index },
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

struct InFlightWrite {
    home: usize,
    number: u64,
    based_on: u64,
    record: ClaimsRecord,
}

struct Model {
    stored: ClaimsRecord,
    version: u64,
    homes: [ClaimBatch; 2],
    /// The number of the write whose reply each home waits for.
    awaited: [Option<u64>; 2],
    in_flight: Vec<InFlightWrite>,
    sidecars: [Sidecar; 2],
    dispatches: Vec<ClaimIntent>,
    /// Attempts that were dispatched; each is dispatched once, even if several replies confirm
    /// its claim.
    attempts: BTreeSet<(RequestId, AttemptNumber)>,
    requests: u128,
    runs: u32,
}

impl Model {
    fn new() -> Self {
        Self {
            stored: ClaimsRecord::default(),
            version: 0,
            homes: std::array::from_fn(|_| ClaimBatch::new(BatchPolicy::default())),
            awaited: [None, None],
            in_flight: Vec::new(),
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
            Step::Arrive { reply_received } => self.arrive(reply_received),
            Step::TimeOut { home } => {
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
            let results = self.homes[home].complete_write(record, NOW);
            return self.handle_results(home, results);
        }
        let number = self.requests + self.in_flight.len() as u128 + u128::from(self.version) * 1000;
        let number = number as u64;
        self.awaited[home] = Some(number);
        self.in_flight.push(InFlightWrite { home, number, based_on: self.version, record });
    }

    fn arrive(&mut self, reply_received: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let write = self.in_flight.remove(0);
        let accepted = write.based_on == self.version;
        if accepted {
            self.version += 1;
            self.stored = write.record;
        }
        if self.awaited[write.home] != Some(write.number) {
            return;
        }
        self.awaited[write.home] = None;
        let home = write.home;
        if accepted && reply_received {
            let results = self.homes[home].complete_write(self.stored.clone(), NOW);
            self.handle_results(home, results);
        } else {
            self.homes[home].record_failure(NOW);
        }
    }

    /// Queues durable claims for dispatch, and replaces an existing claim if its sidecar fences
    /// it.
    fn handle_results(&mut self, home: usize, results: Vec<ClaimResult>) {
        for ClaimResult { intent, verdict } in results {
            match verdict {
                ClaimVerdict::Durable => self.dispatches.push(intent),
                ClaimVerdict::Taken(entry) => {
                    let index = (entry.sidecar.0 % 2) as usize;
                    let same = self.incarnation(index) == entry.sidecar;
                    let sidecar = &mut self.sidecars[index];
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
        let index = (intent.sidecar.0 % 2) as usize;
        let same = self.incarnation(index) == intent.sidecar;
        let sidecar = &mut self.sidecars[index];
        let refused = !same || sidecar.fenced.contains(&intent.request);
        if !refused && sidecar.ran.insert(intent.key) {
            self.runs += 1;
            return;
        }
        if refused {
            // The sidecar refused before running it, so the entry may try the other sidecar.
            let sidecar = self.incarnation(1 - index);
            let attempt = intent.attempt.next();
            let home = (intent.request.0 % 2) as usize;
            self.homes[home].add(ClaimIntent { sidecar, attempt, replaces: None, ..intent }, NOW);
        }
    }
}

/// Two entries both act as home of a branch, replies of the store are lost, writes arrive
/// late, entries pause between claim and dispatch, and sidecars restart. In every
/// interleaving a request runs at most once.
#[test]
fn at_most_once() {
    fn runs_once(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        for step in steps.into_iter().cycle().take(STEPS) {
            model.step(step);
        }
        model.runs <= 1
    }
    QuickCheck::new().tests(3000).quickcheck(runs_once as fn(Vec<Step>) -> bool);
}
