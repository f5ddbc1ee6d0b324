//! Which of two runs of an instance is newer.

use sagespool_messages::MemberInfo;
use sagespool_types::WallTime;

/// The initial [`MemberInfo`] number of a process: its start time in milliseconds.
///
/// Numbers grow by a few per second, the wall clock by a thousand, so a restarted process
/// starts above the last number of its predecessor unless the clock was set back. The
/// store's revision at the start, if known, decides before the number.
pub fn initial_heartbeat_number(started: WallTime) -> u64 {
    started.0
}

/// True if `left` is a newer run of its instance than `right`.
///
/// The store's revision at the start is compared first: it only grows and doesn't depend on a
/// clock. It is missing if the process started while the store was unavailable, and equal if
/// nothing was written in between; then the higher number is newer.
pub(crate) fn is_newer_run(left: &MemberInfo, right: &MemberInfo) -> bool {
    if let Some(newer) = newer_by_revision(left, right) {
        return newer;
    }
    (left.number, left.incarnation) > (right.number, right.incarnation)
}

/// Compares the store's revisions at the start; `None` if one is missing or they are equal.
pub(crate) fn newer_by_revision(left: &MemberInfo, right: &MemberInfo) -> Option<bool> {
    let left_start = left.started_at?;
    let right_start = right.started_at?;
    (left_start != right_start).then_some(left_start > right_start)
}
