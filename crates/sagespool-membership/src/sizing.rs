//! Upper bounds of encoded sizes.

use sagespool_messages::{MemberInfo, ServedUpstream};

/// Incarnation (17), number, role, address, flags, version and revision at their maximum.
const FIXED_BYTES: usize = 17 + 10 + 1 + 21 + 1 + 10 + 11 + 1;
/// Kind, flags, capacity and load at their maximum, and the number of models.
const SERVED_BYTES: usize = 1 + 1 + 5 + 10 + 5 + 5 + 5 + 10 + 3;
/// Length prefix of a name.
const LENGTH_BYTES: usize = 1;

/// Maximum size of an encoded [`sagespool_messages::SuspectedMember`].
pub(crate) const SUSPECT_NOTE_BYTES: usize = 17 + 10;

/// The maximum size in bytes of a member's description encoded by `postcard`.
pub fn max_encoded_bytes(info: &MemberInfo) -> usize {
    let names = [info.instance.as_str(), info.region.as_str(), info.centre.as_str()];
    let names: usize = names.iter().map(|name| name.len() + LENGTH_BYTES).sum();
    FIXED_BYTES + names + info.serves.as_ref().map_or(0, max_served_bytes)
}

fn max_served_bytes(served: &ServedUpstream) -> usize {
    let models: usize = served.models.iter().map(|model| model.as_str().len() + LENGTH_BYTES).sum();
    let names = served.upstream.as_str().len() + served.service.as_str().len() + 2 * LENGTH_BYTES;
    SERVED_BYTES + names + models
}
