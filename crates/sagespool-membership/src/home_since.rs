//! Since when a process has been home, and since when it has been the only candidate.

use sagespool_messages::MemberRole;
use sagespool_types::{BranchName, ClockTime, IncarnationId};

use crate::home::{comes_before, hash_of, home_order};
use crate::record::MemberRecord;
use crate::view::MemberView;

impl MemberView {
    /// Records that a member is, or just became, unfit for work.
    pub(crate) fn mark_unfit(&mut self, incarnation: IncarnationId, now: ClockTime) {
        self.homes = None;
        if let Some(record) = self.records.get_mut(&incarnation) {
            record.last_unfit = Some(now);
        }
    }

    /// The own start, or the last time at which this process was suspected or paused, so that
    /// another may have acted in its place.
    fn undisputed_since(&self, now: ClockTime) -> ClockTime {
        self.rounds.started.unwrap_or(now).max(self.disputed_at)
    }

    pub(crate) fn home_since(&mut self, branch: &BranchName, now: ClockTime) -> Option<ClockTime> {
        let home = home_order(self.homes(), branch.as_str(), 1).pop()?;
        if home != self.own.incarnation {
            return None;
        }
        let own_hash = hash_of(&self.own.instance);
        let unfit = self.entries().filter(|record| record.last_unfit.is_some());
        let earlier = unfit.filter(|record| {
            let hash = hash_of(&record.info.instance);
            record.info.region == self.own.region && comes_before(hash, own_hash, branch)
        });
        let lost = earlier.filter_map(|record| record.last_unfit).max().unwrap_or_default();
        Some(self.undisputed_since(now).max(lost))
    }

    pub(crate) fn exclusive_since(&self, now: ClockTime) -> Option<ClockTime> {
        let foreign =
            |record: &MemberRecord| record.is_present() && record.info.region != self.own.region;
        if self.entries().any(foreign) {
            return None;
        }
        let lost = self.entries().filter_map(|record| record.last_unfit).max().unwrap_or_default();
        Some(self.undisputed_since(now).max(lost))
    }

    /// All known entries except this process, gone ones included.
    fn entries(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().filter(|record| record.info.role == MemberRole::Entry)
    }
}
