//! How long a home's death is felt: until its branches are served again, and until what it held is
//! settled.

use std::collections::BTreeSet;
use std::time::Duration;

use sagespool_ledger::{BOOK_COUNT, BookRecord, book_key};
use sagespool_types::{BookNumber, BranchName, ClockTime, IncarnationId};

use super::{CallOutcome, CallRecord};
use crate::fleet::RunningFleet;

/// A home that was killed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeKill {
    /// The entry, by its place.
    pub place: usize,
    /// Its incarnation.
    pub holder: IncarnationId,
    /// The branches that it held grants of.
    pub branches: BTreeSet<BranchName>,
    /// When it was killed.
    pub at: ClockTime,
    /// When the last of its grants was closed or in doubt; none if that didn't come in time.
    pub settled_at: Option<ClockTime>,
}

impl HomeKill {
    /// Time from the kill until its grants were settled, or in doubt.
    pub fn settled_after(&self) -> Option<Duration> {
        self.settled_at.map(|settled| settled.since(self.at))
    }

    /// Time from the kill until the last of its branches had an answer to a call that was sent after
    /// it; none if some branch had none.
    pub fn served_after(&self, records: &[CallRecord]) -> Option<Duration> {
        let first = |branch| self.first_answer(branch, records);
        let answers: Option<Vec<ClockTime>> = self.branches.iter().map(first).collect();
        answers?.into_iter().max().map(|answered| answered.since(self.at))
    }

    fn first_answer(&self, branch: &BranchName, records: &[CallRecord]) -> Option<ClockTime> {
        let own = records.iter().filter(|record| record.call.branch() == branch);
        let sends = own.flat_map(|record| &record.sends);
        let after = sends.filter(|send| send.sent >= self.at);
        let whole = after.filter(|send| matches!(send.outcome, CallOutcome::Whole { .. }));
        whole.map(|send| send.ended).min()
    }
}

/// The branches that a process holds grants of by the books, those in doubt left out.
pub(super) fn held_branches(fleet: &RunningFleet, holder: IncarnationId) -> BTreeSet<BranchName> {
    let mut held = BTreeSet::new();
    for book in (0..BOOK_COUNT).map(BookNumber) {
        let object = fleet.store.object(&book_key(book));
        let Some(record) = object.and_then(|object| object.parse::<BookRecord>().ok()) else {
            continue;
        };
        for (branch, account) in record.branches {
            let mut grants = account.grants.iter();
            if grants.any(|(id, grant)| id.holder == holder && !grant.in_doubt) {
                held.insert(branch);
            }
        }
    }
    held
}
