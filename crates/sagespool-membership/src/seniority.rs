//! Which of two runs of one instance is the newer.

use sagespool_messages::MemberInfo;
use sagespool_types::WallTime;

/// The number that a process gives its [`MemberInfo`] when it starts.
///
/// Numbers grow by a few a second, the wall clock by a thousand: a restarted
/// process starts above the last number of its predecessor, unless the
/// instance's clock was set back. `is_newer` says what holds then.
pub fn initial_heartbeat_number(started: WallTime) -> u64 {
    started.0
}

/// True if `left` is a newer run of its instance than `right`.
///
/// The store's revision at the start is compared first: it only grows, and no
/// clock enters it. It is missing for a process that started while the store
/// was away, and equal if nothing was written in between; then the higher
/// number is the newer.
pub(crate) fn is_newer(left: &MemberInfo, right: &MemberInfo) -> bool {
    if let Some(newer) = newer_by_revision(left, right) {
        return newer;
    }
    (left.number, left.incarnation) > (right.number, right.incarnation)
}

/// The same by the store's revisions alone; nothing if they don't tell.
pub(crate) fn newer_by_revision(left: &MemberInfo, right: &MemberInfo) -> Option<bool> {
    let left_start = left.started_at?;
    let right_start = right.started_at?;
    (left_start != right_start).then_some(left_start > right_start)
}
