//! Recovery times after the kill of a home: until its branches are served again, and until its
//! grants are settled.

use std::collections::BTreeSet;
use std::time::Duration;

use sagespool_ledger::{BOOK_COUNT, BookRecord, book_key};
use sagespool_types::{BookNumber, BranchName, ClockTime, IncarnationId};

use super::{CallOutcome, CallRecord};
use crate::fleet::RunningFleet;

/// A home that was killed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeKill {
    /// Index of the entry in `RunningFleet::members`.
    pub index: usize,
    /// The incarnation that was killed.
    pub holder: IncarnationId,
    /// The branches of which it held grants.
    pub branches: BTreeSet<BranchName>,
    /// When it was killed.
    pub at: ClockTime,
    /// When the last of its grants was closed or in doubt; none if the watch timed out.
    pub settled_at: Option<ClockTime>,
}

impl HomeKill {
    /// Time from the kill until all its grants were settled or in doubt; none if the watch timed
    /// out.
    pub fn settled_after(&self) -> Option<Duration> {
        self.settled_at.map(|settled| settled.since(self.at))
    }

    /// Time from the kill until each of its branches had an answer to a call sent after it; none if
    /// some branch had none.
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

/// The branches of which the books show grants of a process that are not in doubt.
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
