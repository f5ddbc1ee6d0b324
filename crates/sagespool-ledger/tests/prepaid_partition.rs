//! Several purses, one book, and a store that loses answers, carries writes out late and goes away.
//!
//! What a user would see otherwise: a client account that paid for a thousand tokens gets eleven
//! hundred. It happens when an instance goes on spending from a grant that a write of its own has
//! lowered: the write took effect, its answer was lost, and the difference went to another
//! instance meanwhile.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sagespool_ledger::{GrantPolicy, PrepaidBalance, PrepaidRecord};
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, InstanceName, TokenCount};

const PURSES: usize = 4;
const PREPAID: u64 = 10_000;
const TERMS: GrantPolicy =
    GrantPolicy { ahead: Duration::from_secs(10), share: 0.5, idle: 1.0, instances: 1 };

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteFate {
    Done,
    /// Done, and the answer is lost.
    AnswerLost,
    /// Not done yet: it is carried out later if the book is still at its version.
    Late,
    Refused,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request: reserve, and ask for a grant if there is too little.
    Request { purse: usize, amount: u64, fate: WriteFate },
    /// The oldest request of a purse ends with a part of its tokens used.
    Finish { purse: usize, used_percent: u64 },
    /// One purse lends to another; the answer may be lost.
    Lend { from: usize, to: usize, amount: u64, heard: bool },
    /// A supply for the time ahead is asked for.
    TopUp { purse: usize, fate: WriteFate },
    /// Late writes arrive.
    Arrive,
    /// An instance is killed and started again.
    Kill { purse: usize },
    /// Time passes.
    Wait { millis: u64 },
}

fn fate(g: &mut Gen) -> WriteFate {
    let fates = [WriteFate::Done, WriteFate::AnswerLost, WriteFate::Late, WriteFate::Refused];
    *g.choose(&fates).unwrap()
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let purse = usize::arbitrary(g) % PURSES;
        let amount = u64::arbitrary(g) % 500 + 1;
        match u8::arbitrary(g) % 60 {
            0..=24 => Self::Request { purse, amount, fate: fate(g) },
            25..=39 => Self::Finish { purse, used_percent: u64::arbitrary(g) % 101 },
            40..=44 => {
                let to = (purse + 1) % PURSES;
                Self::Lend { from: purse, to, amount, heard: bool::arbitrary(g) }
            }
            45..=49 => Self::TopUp { purse, fate: fate(g) },
            50..=53 => Self::Arrive,
            54 => Self::Kill { purse },
            _ => Self::Wait { millis: u64::arbitrary(g) % 8_000 },
        }
    }
}

struct Instance {
    name: InstanceName,
    run: IncarnationId,
    purse: PrepaidBalance,
    running: Vec<u64>,
}

struct LateWrite {
    version: u64,
    book: PrepaidRecord,
}

struct World {
    book: PrepaidRecord,
    version: u64,
    late: Vec<LateWrite>,
    instances: Vec<Instance>,
    runs: u64,
    now: ClockTime,
    /// What callers got in all, running requests at their most.
    spent: u64,
}

impl World {
    fn new() -> Self {
        let instance = |at: usize| Instance {
            name: format!("gateway-{at}").parse().unwrap(),
            run: IncarnationId(at as u64),
            purse: PrepaidBalance::default(),
            running: Vec::new(),
        };
        Self {
            book: PrepaidRecord::default(),
            version: 1,
            late: Vec::new(),
            instances: (0..PURSES).map(instance).collect(),
            runs: PURSES as u64,
            now: ClockTime::from_millis(1),
            spent: 0,
        }
    }

    fn ask(&mut self, at: usize, missing: u64, fate: WriteFate) {
        let (version, mut book) = (self.version, self.book.clone());
        let instance = &mut self.instances[at];
        book.set_total(ConfigVersion(1), TokenCount(PREPAID));
        book.close_earlier_runs(instance.run, &instance.name);
        let present = book.granted(instance.run);
        let missing = TokenCount(missing);
        let wanted = instance.purse.grant_to_request(
            &book,
            present,
            missing,
            TERMS.per_instance(PURSES),
            self.now,
        );
        let Some(wanted) = wanted else {
            return;
        };
        book.set_granted(instance.run, &instance.name, wanted);
        match fate {
            WriteFate::Done => {
                instance.purse.set_acknowledged(wanted);
                self.write(book);
            }
            WriteFate::AnswerLost => self.write(book),
            WriteFate::Late => self.late.push(LateWrite { version, book }),
            WriteFate::Refused => {}
        }
    }

    fn write(&mut self, book: PrepaidRecord) {
        self.book = book;
        self.version += 1;
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Request { purse, amount, fate } => {
                if !self.instances[purse].purse.reserve(TokenCount(amount), self.now) {
                    self.ask(purse, amount, fate);
                    if !self.instances[purse].purse.reserve(TokenCount(amount), self.now) {
                        return;
                    }
                }
                self.instances[purse].running.push(amount);
                self.spent += amount;
            }
            Step::Finish { purse, used_percent } => {
                let instance = &mut self.instances[purse];
                if instance.running.is_empty() {
                    return;
                }
                let amount = instance.running.remove(0);
                let used = amount * used_percent / 100;
                instance.purse.settle(TokenCount(amount), TokenCount(used));
                self.spent -= amount - used;
            }
            Step::Lend { from, to, amount, heard } => {
                let lent = self.instances[from].purse.lend(TokenCount(amount));
                if heard {
                    self.instances[to].purse.borrow(lent);
                }
            }
            Step::TopUp { purse, fate } => self.ask(purse, 0, fate),
            Step::Arrive => {
                for late in std::mem::take(&mut self.late) {
                    if late.version == self.version {
                        self.write(late.book);
                    }
                }
            }
            Step::Kill { purse } => {
                self.runs += 1;
                let instance = &mut self.instances[purse];
                instance.run = IncarnationId(self.runs);
                instance.purse = PrepaidBalance::default();
                // What ran was charged at its most.
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
            world.play(step);
            world.spent <= PREPAID
        })
    }
    QuickCheck::new().tests(3_000).rng(Gen::new(400)).quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// An account is busy at one instance, then idle there. The instance asks for its supply anew, now
/// a smaller one; the store takes that, and its answer is lost. Another instance takes all that is
/// free. Then the first one is busy again.
#[test]
fn lost_lowering() {
    let mut world = World::new();
    let request = |purse, amount| Step::Request { purse, amount, fate: WriteFate::Done };
    world.play(request(0, 400));
    world.play(Step::Wait { millis: 20_000 });
    world.play(Step::TopUp { purse: 0, fate: WriteFate::AnswerLost });
    for _ in 0..40 {
        world.play(request(1, 250));
        world.play(request(1, 50));
    }
    for _ in 0..40 {
        world.play(Step::Request { purse: 0, amount: 25, fate: WriteFate::Refused });
    }
    assert!(world.spent <= PREPAID, "{} of {PREPAID} tokens spent", world.spent);
}
