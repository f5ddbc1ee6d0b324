//! Digests of member descriptions and of views.

use std::hash::{Hash, Hasher};

use sagespool_messages::MemberInfo;
use sagespool_types::IncarnationId;
use twox_hash::XxHash3_64;

/// Slices of the finest division of a view; a power of two.
const SLICE_COUNT: usize = 256;
/// Members per slice; a repair of one slice sends about two kilobytes.
const MEMBERS_PER_SLICE: usize = 32;

/// True if two descriptions are equal in the fields that are gossiped. Numbers, loads and
/// configuration versions change all the time and are sent only in a member's own heartbeats.
pub(crate) fn descriptions_match(left: &MemberInfo, right: &MemberInfo) -> bool {
    description_digest(left) == description_digest(right)
}

/// Digest of the fields of a description that are gossiped.
pub(crate) fn description_digest(info: &MemberInfo) -> u64 {
    let mut hasher = XxHash3_64::new();
    info.incarnation.0.hash(&mut hasher);
    info.instance.hash(&mut hasher);
    info.address.hash(&mut hasher);
    info.leaving.hash(&mut hasher);
    info.started_at.hash(&mut hasher);
    info.capacity.hash(&mut hasher);
    if let Some(served) = &info.serves {
        served.upstream.hash(&mut hasher);
        served.models.hash(&mut hasher);
        served.capacity.hash(&mut hasher);
        served.healthy.hash(&mut hasher);
    }
    hasher.finish()
}

/// Digests of a view's members, updated with each change.
///
/// Each slice covers the members whose incarnation hashes to it. Exclusive-or makes a slice's
/// digest independent of the order of changes, and allows coarser divisions to be folded from
/// the finest one.
#[derive(Debug, Clone)]
pub(crate) struct ViewDigest {
    slices: Vec<u64>,
    members: usize,
}

impl ViewDigest {
    pub(crate) fn new() -> Self {
        Self { slices: vec![0; SLICE_COUNT], members: 0 }
    }

    pub(crate) fn insert(&mut self, info: &MemberInfo) {
        self.toggle(info);
        self.members += 1;
    }

    pub(crate) fn remove(&mut self, info: &MemberInfo) {
        self.toggle(info);
        self.members -= 1;
    }

    fn toggle(&mut self, info: &MemberInfo) {
        let index = slice_of(info.incarnation, SLICE_COUNT);
        self.slices[index] ^= description_digest(info);
    }

    /// The number of members in the view.
    pub(crate) fn members(&self) -> usize {
        self.members
    }

    /// The digest of the whole view.
    pub(crate) fn whole(&self) -> u64 {
        self.slices.iter().fold(0, |whole, slice| whole ^ slice)
    }

    /// The slices' digests; their number depends on the view's size.
    pub(crate) fn slices(&self) -> Vec<u32> {
        let wanted = (self.members / MEMBERS_PER_SLICE).clamp(1, SLICE_COUNT);
        self.folded(wanted.next_power_of_two())
    }

    fn folded(&self, count: usize) -> Vec<u32> {
        let mut folded = vec![0_u64; count];
        for (index, digest) in self.slices.iter().enumerate() {
            folded[index & (count - 1)] ^= digest;
        }
        folded.into_iter().map(|digest| digest as u32).collect()
    }

    /// The slices in which a peer's view differs. Empty for a division that this process doesn't
    /// support.
    pub(crate) fn differing(&self, theirs: &[u32]) -> Vec<usize> {
        let known = theirs.len().is_power_of_two() && theirs.len() <= SLICE_COUNT;
        if !known {
            return Vec::new();
        }
        let ours = self.folded(theirs.len());
        (0..theirs.len()).filter(|index| ours[*index] != theirs[*index]).collect()
    }
}

/// The slice of an incarnation in a division into `count` slices, a power of two.
pub(crate) fn slice_of(incarnation: IncarnationId, count: usize) -> usize {
    let mixed = XxHash3_64::oneshot(&incarnation.0.to_le_bytes());
    (mixed as usize) & (count - 1)
}
