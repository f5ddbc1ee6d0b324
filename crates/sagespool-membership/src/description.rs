//! What of a member is news, and digests of a view.

use std::hash::{Hash, Hasher};

use sagespool_messages::MemberInfo;
use sagespool_types::IncarnationId;
use twox_hash::XxHash3_64;

/// Slices that a view is divided into at its finest; a power of two.
const SLICE_COUNT: usize = 256;
/// Members a slice, at which a repair sends about two kilobytes.
const MEMBERS_EACH_SLICE: usize = 32;

/// True if the two differ in what every member should know. Numbers, loads and
/// configuration versions change all the time and travel only with a member's
/// own heartbeats.
pub(crate) fn is_described_alike(left: &MemberInfo, right: &MemberInfo) -> bool {
    digest_of(left) == digest_of(right)
}

/// Digest of what every member should know of this one.
pub(crate) fn digest_of(info: &MemberInfo) -> u64 {
    let mut hasher = XxHash3_64::new();
    info.incarnation.0.hash(&mut hasher);
    info.instance.hash(&mut hasher);
    info.address.hash(&mut hasher);
    info.leaving.hash(&mut hasher);
    info.started_at.hash(&mut hasher);
    if let Some(served) = &info.serves {
        served.upstream.hash(&mut hasher);
        served.models.hash(&mut hasher);
        served.capacity.hash(&mut hasher);
        served.healthy.hash(&mut hasher);
    }
    hasher.finish()
}

/// Digests of a view's members, kept up to date change by change.
///
/// Each slice holds the members whose incarnation falls into it. Exclusive-or
/// makes a slice's digest independent of the order of changes, and lets a
/// coarser division be folded from the finest.
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
        let place = slice_of(info.incarnation, SLICE_COUNT);
        self.slices[place] ^= digest_of(info);
    }

    /// How many members are in the view.
    pub(crate) fn members(&self) -> usize {
        self.members
    }

    /// One digest of the whole view.
    pub(crate) fn whole(&self) -> u64 {
        self.slices.iter().fold(0, |whole, slice| whole ^ slice)
    }

    /// The slices' digests, as many as suit the view's size.
    pub(crate) fn slices(&self) -> Vec<u32> {
        let wanted = (self.members / MEMBERS_EACH_SLICE).clamp(1, SLICE_COUNT);
        self.folded(wanted.next_power_of_two())
    }

    fn folded(&self, count: usize) -> Vec<u32> {
        let mut folded = vec![0_u64; count];
        for (place, digest) in self.slices.iter().enumerate() {
            folded[place & (count - 1)] ^= digest;
        }
        folded.into_iter().map(|digest| digest as u32).collect()
    }

    /// The slices in which a peer's view differs. Nothing for a division that
    /// this process doesn't make.
    pub(crate) fn differing(&self, theirs: &[u32]) -> Vec<usize> {
        let known = theirs.len().is_power_of_two() && theirs.len() <= SLICE_COUNT;
        if !known {
            return Vec::new();
        }
        let ours = self.folded(theirs.len());
        (0..theirs.len()).filter(|place| ours[*place] != theirs[*place]).collect()
    }
}

/// The slice that an incarnation falls into, of a power of two of slices.
pub(crate) fn slice_of(incarnation: IncarnationId, count: usize) -> usize {
    let mixed = XxHash3_64::oneshot(&incarnation.0.to_le_bytes());
    (mixed as usize) & (count - 1)
}
