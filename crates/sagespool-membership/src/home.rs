//! Rendezvous: which entry is home of a branch.

use sagespool_types::{BranchName, IncarnationId, InstanceName};
use twox_hash::XxHash3_64;

/// One entry that may be a home, with the hash of its instance's name.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeCandidate {
    pub(crate) incarnation: IncarnationId,
    pub(crate) name_hash: u64,
}

/// A name's hash, the same in every process. The instance's name and not the
/// incarnation is hashed, so that a restarted entry gets its branches back and
/// no other branch moves.
pub(crate) fn hash_of(instance: &InstanceName) -> u64 {
    XxHash3_64::oneshot(instance.as_str().as_bytes())
}

/// The candidates by their weight for a branch, the home first, at most `most`.
pub(crate) fn home_order(
    candidates: &[HomeCandidate],
    branch: &BranchName,
    most: usize,
) -> Vec<IncarnationId> {
    let branch_hash = XxHash3_64::oneshot(branch.as_str().as_bytes());
    let mut weighed: Vec<_> = candidates.iter().map(|home| weigh(home, branch_hash)).collect();
    if most < weighed.len() && most > 0 {
        weighed.select_nth_unstable_by(most - 1, |left, right| right.cmp(left));
        weighed.truncate(most);
    }
    weighed.sort_by(|left, right| right.cmp(left));
    weighed.into_iter().map(|(_, incarnation)| incarnation).take(most).collect()
}

/// True if the instance hashed `left` comes before `right` in a branch's order.
pub(crate) fn comes_before(left: u64, right: u64, branch: &BranchName) -> bool {
    let branch_hash = XxHash3_64::oneshot(branch.as_str().as_bytes());
    weight(left, branch_hash) > weight(right, branch_hash)
}

fn weigh(home: &HomeCandidate, branch_hash: u64) -> (u64, IncarnationId) {
    (weight(home.name_hash, branch_hash), home.incarnation)
}

/// A name's weight in the rendezvous order of a subject.
pub(crate) fn weight(name_hash: u64, branch_hash: u64) -> u64 {
    mix(name_hash ^ branch_hash.rotate_left(32))
}

/// The finisher of SplitMix64: every bit of the input moves every bit of the weight.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
