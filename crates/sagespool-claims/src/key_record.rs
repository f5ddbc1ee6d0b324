//! What a home remembers of one key, and for how long.

use std::time::Duration;

use bon::Builder;
use sagespool_messages::KeyState;
use sagespool_types::{ClockTime, ContentDigest, IncarnationId, RequestId};

/// How long a home remembers keys.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct KeyPolicy {
    /// How long the answer to a key is kept after its request ended.
    #[builder(default = Duration::from_secs(900))]
    pub answer_retention: Duration,
    /// How long a request may hold a key before it runs anywhere. After that
    /// another may take it over; [`KeyRegistry::assign_sidecar`](crate::KeyRegistry::assign_sidecar) tells the first.
    #[builder(default = Duration::from_secs(60))]
    pub pending_limit: Duration,
    /// How long a request may run without its end being reported.
    #[builder(default = Duration::from_secs(2 * 3600))]
    pub running_limit: Duration,
}

impl Default for KeyPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Where a key's request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeyPlace {
    /// It holds the key, and runs nowhere yet.
    Pending,
    /// It runs on this sidecar, or may.
    Running(IncarnationId),
    /// It has ended, and this sidecar keeps its answer.
    Kept(IncarnationId),
    /// It ran or may have, and its answer can't be had.
    Lost,
}

/// What a home remembers of one key.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyRecord {
    pub(crate) request: RequestId,
    pub(crate) content: ContentDigest,
    pub(crate) place: KeyPlace,
    /// When it came to this place.
    pub(crate) since: ClockTime,
}

impl KeyRecord {
    /// A request takes the key.
    pub(crate) fn pending(request: RequestId, content: ContentDigest, now: ClockTime) -> Self {
        Self { request, content, place: KeyPlace::Pending, since: now }
    }

    /// What a request that finds the key is told.
    pub(crate) fn state(&self) -> KeyState {
        match self.place {
            KeyPlace::Pending => KeyState::Pending,
            KeyPlace::Running(sidecar) | KeyPlace::Kept(sidecar) => {
                KeyState::At { sidecar, request: self.request, content: self.content }
            }
            KeyPlace::Lost => KeyState::Unknown { request: self.request },
        }
    }

    /// True once the policy lets it be forgotten.
    pub(crate) fn has_lapsed(&self, policy: &KeyPolicy, now: ClockTime) -> bool {
        let limit = match self.place {
            KeyPlace::Pending => policy.pending_limit,
            KeyPlace::Running(_) => policy.running_limit,
            KeyPlace::Kept(_) | KeyPlace::Lost => policy.answer_retention,
        };
        now.since(self.since) >= limit
    }
}
