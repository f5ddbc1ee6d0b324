//! Rendezvous hashing: which entry is home of a branch.

use sagespool_types::{BranchName, IncarnationId, InstanceCapacity, InstanceName};
use twox_hash::XxHash3_64;

/// Homes are the strongest entries, but at least so many that the loss of one concerns few branches.
const MIN_HOMES: usize = 30;

/// The capacity that an entry needs as home, of the capacities of all eligible entries.
///
/// A home is called by every other entry. In a fleet of hundreds, most of them small, each small home
/// was called once in minutes by each of them over a connection that had to be opened, and a busy
/// branch's home couldn't answer in time.
pub(crate) fn home_capacity(mut capacities: Vec<InstanceCapacity>) -> InstanceCapacity {
    capacities.sort_unstable_by(|left, right| right.cmp(left));
    capacities.get(MIN_HOMES - 1).copied().unwrap_or_default()
}

/// An entry that is eligible as home, with the hash of its instance's name.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeCandidate {
    pub(crate) incarnation: IncarnationId,
    pub(crate) name_hash: u64,
}

/// The hash of an instance's name, the same in every process. The name is hashed rather than the
/// incarnation, so that a restarted entry gets its branches back and no other branch moves.
pub(crate) fn hash_of(instance: &InstanceName) -> u64 {
    XxHash3_64::oneshot(instance.as_str().as_bytes())
}

/// The first `limit` candidates by weight for a subject, such as a branch, the home first.
pub(crate) fn home_order(
    candidates: &[HomeCandidate],
    subject: &str,
    limit: usize,
) -> Vec<IncarnationId> {
    let subject_hash = XxHash3_64::oneshot(subject.as_bytes());
    let mut weighed: Vec<_> = candidates.iter().map(|home| weigh(home, subject_hash)).collect();
    if limit < weighed.len() && limit > 0 {
        weighed.select_nth_unstable_by(limit - 1, |left, right| right.cmp(left));
        weighed.truncate(limit);
    }
    weighed.sort_by(|left, right| right.cmp(left));
    weighed.into_iter().map(|(_, incarnation)| incarnation).take(limit).collect()
}

/// True if the instance with hash `left` precedes the one with `right` in a branch's order.
pub(crate) fn comes_before(left: u64, right: u64, branch: &BranchName) -> bool {
    let branch_hash = XxHash3_64::oneshot(branch.as_str().as_bytes());
    weight(left, branch_hash) > weight(right, branch_hash)
}

fn weigh(home: &HomeCandidate, subject_hash: u64) -> (u64, IncarnationId) {
    (weight(home.name_hash, subject_hash), home.incarnation)
}

/// A name's weight in the rendezvous order of a subject.
pub(crate) fn weight(name_hash: u64, subject_hash: u64) -> u64 {
    mix(name_hash ^ subject_hash.rotate_left(32))
}

/// The finalizer of SplitMix64: every input bit affects every output bit.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
