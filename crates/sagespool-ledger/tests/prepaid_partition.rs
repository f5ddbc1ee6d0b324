//! Several instances, one record, and a store that loses replies, applies writes late and becomes
//! unavailable.
//!
//! Guards against overspending: a client account that paid for a thousand tokens gets eleven
//! hundred. It happens when an instance goes on spending from a grant that its own write has
//! lowered: the write took effect, its reply was lost, and the difference was granted to another
//! instance.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sagespool_ledger::{GrantPolicy, PrepaidBalance, PrepaidRecord};
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, InstanceName, TokenCount};

const INSTANCES: usize = 4;
const PREPAID: u64 = 10_000;
const POLICY: GrantPolicy =
    GrantPolicy { ahead: Duration::from_secs(10), share: 0.5, idle: 1.0, instances: 1 };

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteOutcome {
    Done,
    /// Applied, but the reply is lost.
    AnswerLost,
    /// In flight: applied later if the record still has the same version.
    Late,
    Refused,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request: reserves, and requests a grant if the free part is too small.
    Request {
        instance: usize,
        amount: u64,
        outcome: WriteOutcome,
    },
    /// The oldest request of an instance ends with a part of its tokens used.
    Finish {
        instance: usize,
        used_percent: u64,
    },
    /// One instance lends to another; the reply may be lost.
    Lend {
        from: usize,
        to: usize,
        amount: u64,
        acknowledged: bool,
    },
    /// A supply for expected use is requested.
    TopUp {
        instance: usize,
        outcome: WriteOutcome,
    },
    /// Delayed writes arrive.
    Arrive,
    /// An instance is killed and restarted.
    Kill {
        instance: usize,
    },
    Wait {
        millis: u64,
    },
}

fn outcome(g: &mut Gen) -> WriteOutcome {
    let outcomes =
        [WriteOutcome::Done, WriteOutcome::AnswerLost, WriteOutcome::Late, WriteOutcome::Refused];
    *g.choose(&outcomes).unwrap()
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = usize::arbitrary(g) % INSTANCES;
        let amount = u64::arbitrary(g) % 500 + 1;
        match u8::arbitrary(g) % 60 {
            0..=24 => Self::Request { instance, amount, outcome: outcome(g) },
            25..=39 => Self::Finish { instance, used_percent: u64::arbitrary(g) % 101 },
            40..=44 => {
                let to = (instance + 1) % INSTANCES;
                Self::Lend { from: instance, to, amount, acknowledged: bool::arbitrary(g) }
            }
            45..=49 => Self::TopUp { instance, outcome: outcome(g) },
            50..=53 => Self::Arrive,
            54 => Self::Kill { instance },
            _ => Self::Wait { millis: u64::arbitrary(g) % 8_000 },
        }
    }
}

struct Instance {
    name: InstanceName,
    run: IncarnationId,
    balance: PrepaidBalance,
    running: Vec<u64>,
}

struct LateWrite {
    version: u64,
    record: PrepaidRecord,
}

struct World {
    record: PrepaidRecord,
    version: u64,
    late: Vec<LateWrite>,
    instances: Vec<Instance>,
    runs: u64,
    now: ClockTime,
    /// Tokens provided to callers in all; running requests count at their maximum.
    spent: u64,
}

impl World {
    fn new() -> Self {
        let instance = |at: usize| Instance {
            name: format!("gateway-{at}").parse().unwrap(),
            run: IncarnationId(at as u64),
            balance: PrepaidBalance::default(),
            running: Vec::new(),
        };
        Self {
            record: PrepaidRecord::default(),
            version: 1,
            late: Vec::new(),
            instances: (0..INSTANCES).map(instance).collect(),
            runs: INSTANCES as u64,
            now: ClockTime::from_millis(1),
            spent: 0,
        }
    }

    fn request_grant(&mut self, at: usize, missing: u64, outcome: WriteOutcome) {
        let (version, mut record) = (self.version, self.record.clone());
        let instance = &mut self.instances[at];
        record.set_total(ConfigVersion(1), TokenCount(PREPAID));
        record.close_earlier_runs(instance.run, &instance.name);
        let present = record.granted(instance.run);
        let missing = TokenCount(missing);
        let wanted = instance.balance.grant_to_request(
            &record,
            present,
            missing,
            POLICY.per_instance(INSTANCES),
            self.now,
        );
        let Some(wanted) = wanted else {
            return;
        };
        record.set_granted(instance.run, &instance.name, wanted);
        match outcome {
            WriteOutcome::Done => {
                instance.balance.set_acknowledged(wanted);
                self.write(record);
            }
            WriteOutcome::AnswerLost => self.write(record),
            WriteOutcome::Late => self.late.push(LateWrite { version, record }),
            WriteOutcome::Refused => {}
        }
    }

    fn write(&mut self, record: PrepaidRecord) {
        self.record = record;
        self.version += 1;
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Request { instance, amount, outcome } => {
                if !self.instances[instance].balance.reserve(TokenCount(amount), self.now) {
                    self.request_grant(instance, amount, outcome);
                    if !self.instances[instance].balance.reserve(TokenCount(amount), self.now) {
                        return;
                    }
                }
                self.instances[instance].running.push(amount);
                self.spent += amount;
            }
            Step::Finish { instance, used_percent } => {
                let instance = &mut self.instances[instance];
                if instance.running.is_empty() {
                    return;
                }
                let amount = instance.running.remove(0);
                let used = amount * used_percent / 100;
                instance.balance.settle(TokenCount(amount), TokenCount(used));
                self.spent -= amount - used;
            }
            Step::Lend { from, to, amount, acknowledged } => {
                let lent = self.instances[from].balance.lend(TokenCount(amount));
                if acknowledged {
                    self.instances[to].balance.borrow(lent);
                }
            }
            Step::TopUp { instance, outcome } => self.request_grant(instance, 0, outcome),
            Step::Arrive => {
                for late in std::mem::take(&mut self.late) {
                    if late.version == self.version {
                        self.write(late.record);
                    }
                }
            }
            Step::Kill { instance } => {
                self.runs += 1;
                let instance = &mut self.instances[instance];
                instance.run = IncarnationId(self.runs);
                instance.balance = PrepaidBalance::default();
                // Running requests stay charged at their maximum.
                instance.running.clear();
            }
            Step::Wait { millis } => self.now = self.now.after(Duration::from_millis(millis)),
        }
    }
}

#[test]
fn never_overspent() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        steps.into_iter().all(|step| {
            world.apply_step(step);
            world.spent <= PREPAID
        })
    }
    QuickCheck::new().tests(3_000).rng(Gen::new(400)).quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// An account is busy at one instance, then idle there. The instance requests its supply again, now
/// a smaller one; the write takes effect and its reply is lost. Another instance takes all that is
/// free. Then the first instance becomes busy again and must not spend the larger grant.
#[test]
fn lowering_reply_lost() {
    let mut world = World::new();
    let request =
        |instance, amount| Step::Request { instance, amount, outcome: WriteOutcome::Done };
    world.apply_step(request(0, 400));
    world.apply_step(Step::Wait { millis: 20_000 });
    world.apply_step(Step::TopUp { instance: 0, outcome: WriteOutcome::AnswerLost });
    for _ in 0..40 {
        world.apply_step(request(1, 250));
        world.apply_step(request(1, 50));
    }
    for _ in 0..40 {
        world.apply_step(Step::Request { instance: 0, amount: 25, outcome: WriteOutcome::Refused });
    }
    assert!(world.spent <= PREPAID, "{} of {PREPAID} tokens spent", world.spent);
}
