//! Since when a process has been home, and whether it is the only one.

use sagespool_messages::MemberRole;
use sagespool_types::{BranchName, ClockTime, IncarnationId};

use crate::home::{comes_before, hash_of, home_order};
use crate::record::MemberRecord;
use crate::view::MemberView;

impl MemberView {
    /// A member is, or just became, unfit to be given work.
    pub(crate) fn mark_unfit(&mut self, incarnation: IncarnationId, now: ClockTime) {
        self.homes = None;
        if let Some(record) = self.records.get_mut(&incarnation) {
            record.unfit = Some(now);
        }
    }

    /// The own start, or a later moment at which this process was believed gone
    /// and another may have served in its place.
    fn undoubted_since(&self, now: ClockTime) -> ClockTime {
        self.rounds.started.unwrap_or(now).max(self.doubted)
    }

    pub(crate) fn home_since(&mut self, branch: &BranchName, now: ClockTime) -> Option<ClockTime> {
        let home = home_order(self.homes(), branch, 1).pop()?;
        if home != self.own.incarnation {
            return None;
        }
        let own_hash = hash_of(&self.own.instance);
        let unfit = self.entries().filter(|record| record.unfit.is_some());
        let earlier = unfit.filter(|record| {
            let hash = hash_of(&record.info.instance);
            record.info.region == self.own.region && comes_before(hash, own_hash, branch)
        });
        let lost = earlier.filter_map(|record| record.unfit).max().unwrap_or_default();
        Some(self.undoubted_since(now).max(lost))
    }

    pub(crate) fn exclusive_since(&self, now: ClockTime) -> Option<ClockTime> {
        let foreign =
            |record: &MemberRecord| record.is_present() && record.info.region != self.own.region;
        if self.entries().any(foreign) {
            return None;
        }
        let lost = self.entries().filter_map(|record| record.unfit).max().unwrap_or_default();
        Some(self.undoubted_since(now).max(lost))
    }

    /// Every entry known but this process, gone ones included.
    fn entries(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().filter(|record| record.info.role == MemberRole::Entry)
    }
}
