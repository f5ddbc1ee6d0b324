//! The steps of a run. Numbers select among the existing items, modulo their count.

use quickcheck::{Arbitrary, Gen};

use super::store::WriteOutcome;

#[derive(Debug, Clone)]
pub enum Step {
    Reserve {
        home: usize,
        branch: usize,
        entry: usize,
        amount: u64,
    },
    Flush {
        home: usize,
        outcome: WriteOutcome,
    },
    /// Reads the book and writes only what helps waiting requests.
    Round {
        home: usize,
        outcome: WriteOutcome,
    },
    Read {
        home: usize,
    },
    Write {
        home: usize,
        outcome: WriteOutcome,
    },
    DelayRead {
        home: usize,
    },
    ObserveLate {
        home: usize,
    },
    ApplyDelayed {
        pick: usize,
    },
    Dispatch {
        pick: usize,
        sidecar: usize,
        delayed: bool,
    },
    Deliver {
        pick: usize,
    },
    Progress {
        pick: usize,
        tokens: u64,
    },
    End {
        pick: usize,
        whole: bool,
        seen: bool,
    },
    Finish {
        pick: usize,
        lost: bool,
    },
    Report {
        pick: usize,
    },
    ReportUsage {
        pick: usize,
    },
    Forget {
        sidecar: usize,
        home: usize,
    },
    Crash {
        home: usize,
    },
    Pause {
        home: usize,
    },
    Resume {
        home: usize,
    },
    RestartSidecar {
        sidecar: usize,
    },
    AddSidecar,
    CrashEntry {
        entry: usize,
    },
    MarkSealed {
        home: usize,
        target: usize,
        outcome: WriteOutcome,
    },
    SealGrant {
        home: usize,
        pick: usize,
        sidecar: usize,
        lost: bool,
    },
    Settle {
        home: usize,
        pick: usize,
        outcome: WriteOutcome,
    },
    EntryGone {
        home: usize,
        entry: usize,
    },
    Overdue {
        home: usize,
    },
    SealCharge {
        home: usize,
        pick: usize,
        sidecar: usize,
        lost: bool,
    },
    Resolve {
        home: usize,
        pick: usize,
    },
    /// All steps of one recovery; the replies of some sidecars are lost.
    Recover {
        home: usize,
        target: usize,
        replied: usize,
    },
    /// All steps of an inquiry about charges; the replies of some sidecars are lost.
    QueryCharges {
        home: usize,
        replied: usize,
    },
    TopUp {
        branch: usize,
        command: u64,
        outcome: WriteOutcome,
    },
    ReturnUnspent {
        home: usize,
        branch: usize,
        wanted: u64,
    },
    Release {
        pick: usize,
        outcome: WriteOutcome,
    },
    Leave {
        home: usize,
    },
    Outage {
        begins: bool,
    },
    TouchStore,
    Wait {
        seconds: u64,
    },
}

type DrawStep = fn(&mut Gen) -> Step;

/// Relative frequency of each kind of step.
const WEIGHTS: [(u32, DrawStep); 38] = [
    (14, |g| Step::Reserve {
        home: any(g),
        branch: any(g),
        entry: any(g),
        amount: 1 + below(g, 60),
    }),
    (12, |g| Step::Flush { home: any(g), outcome: outcome(g) }),
    (8, |g| Step::Round { home: any(g), outcome: outcome(g) }),
    (3, |g| Step::Read { home: any(g) }),
    (3, |g| Step::Write { home: any(g), outcome: outcome(g) }),
    (1, |g| Step::DelayRead { home: any(g) }),
    (2, |g| Step::ObserveLate { home: any(g) }),
    (3, |g| Step::ApplyDelayed { pick: any(g) }),
    (16, |g| Step::Dispatch { pick: any(g), sidecar: any(g), delayed: one_in(g, 4) }),
    (5, |g| Step::Deliver { pick: any(g) }),
    (8, |g| Step::Progress { pick: any(g), tokens: 1 + below(g, 60) }),
    (10, |g| Step::End { pick: any(g), whole: !one_in(g, 3), seen: !one_in(g, 4) }),
    (10, |g| Step::Finish { pick: any(g), lost: one_in(g, 4) }),
    (3, |g| Step::Report { pick: any(g) }),
    (4, |g| Step::ReportUsage { pick: any(g) }),
    (2, |g| Step::Forget { sidecar: any(g), home: any(g) }),
    (1, |g| Step::Crash { home: any(g) }),
    (2, |g| Step::Pause { home: any(g) }),
    (4, |g| Step::Resume { home: any(g) }),
    (2, |g| Step::RestartSidecar { sidecar: any(g) }),
    (1, |_| Step::AddSidecar),
    (1, |g| Step::CrashEntry { entry: any(g) }),
    (4, |g| Step::MarkSealed { home: any(g), target: any(g), outcome: outcome(g) }),
    (6, |g| Step::SealGrant { home: any(g), pick: any(g), sidecar: any(g), lost: one_in(g, 5) }),
    (4, |g| Step::Settle { home: any(g), pick: any(g), outcome: outcome(g) }),
    (2, |g| Step::EntryGone { home: any(g), entry: any(g) }),
    (2, |g| Step::Overdue { home: any(g) }),
    (4, |g| Step::SealCharge { home: any(g), pick: any(g), sidecar: any(g), lost: one_in(g, 5) }),
    (4, |g| Step::Resolve { home: any(g), pick: any(g) }),
    (5, |g| Step::Recover { home: any(g), target: any(g), replied: any(g) }),
    (3, |g| Step::QueryCharges { home: any(g), replied: any(g) }),
    (3, |g| Step::TopUp { branch: any(g), command: below(g, 6), outcome: outcome(g) }),
    (3, |g| Step::ReturnUnspent { home: any(g), branch: any(g), wanted: below(g, 100) }),
    (1, |g| Step::Release { pick: any(g), outcome: outcome(g) }),
    (1, |g| Step::Leave { home: any(g) }),
    (2, |g| Step::Outage { begins: one_in(g, 4) }),
    (2, |_| Step::TouchStore),
    (4, |g| Step::Wait { seconds: below(g, 40) }),
];

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let total: u32 = WEIGHTS.iter().map(|(weight, _)| weight).sum();
        let mut drawn = below(g, u64::from(total)) as u32;
        for (weight, draw) in WEIGHTS {
            if drawn < weight {
                return draw(g);
            }
            drawn -= weight;
        }
        Step::TouchStore
    }
}

fn any(g: &mut Gen) -> usize {
    below(g, 1 << 16) as usize
}

fn below(g: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(g) % limit
}

fn one_in(g: &mut Gen, times: u64) -> bool {
    below(g, times) == 0
}

fn outcome(g: &mut Gen) -> WriteOutcome {
    match below(g, 12) {
        0 | 1 => WriteOutcome::AnswerLost,
        2 => WriteOutcome::Delayed,
        3 => WriteOutcome::Dropped,
        _ => WriteOutcome::Acknowledged,
    }
}
