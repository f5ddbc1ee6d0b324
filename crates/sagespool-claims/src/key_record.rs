//! State and retention of one key at a home.

use std::time::Duration;

use bon::Builder;
use sagespool_messages::KeyState;
use sagespool_types::{ClockTime, ContentDigest, IncarnationId, RequestId};

/// How long a home keeps keys.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct KeyPolicy {
    /// Time for which a key is kept after its request ended.
    #[builder(default = Duration::from_secs(900))]
    pub answer_retention: Duration,
    /// Longest time that a request may hold a key before it runs. After that another
    /// request may take the key, and [`KeyRegistry::assign_sidecar`](crate::KeyRegistry::assign_sidecar) returns
    /// false for the first.
    #[builder(default = Duration::from_secs(60))]
    pub pending_limit: Duration,
    /// Longest time that a request may run without a report of its end.
    #[builder(default = Duration::from_secs(2 * 3600))]
    pub running_limit: Duration,
}

impl Default for KeyPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Where the request of a key runs or ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeyLocation {
    /// The request holds the key and has no sidecar yet.
    Pending,
    /// The request runs, or may run, on this sidecar.
    Running(IncarnationId),
    /// The request has ended, and this sidecar keeps the response.
    Kept(IncarnationId),
    /// The request ran or may have run, and its response is not available.
    Lost,
}

/// The state of one key at a home.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyRecord {
    pub(crate) request: RequestId,
    pub(crate) content: ContentDigest,
    pub(crate) location: KeyLocation,
    /// Time of the last change of `location`.
    pub(crate) since: ClockTime,
}

impl KeyRecord {
    pub(crate) fn pending(request: RequestId, content: ContentDigest, now: ClockTime) -> Self {
        Self { request, content, location: KeyLocation::Pending, since: now }
    }

    /// The state that is returned to another request with the key.
    pub(crate) fn state(&self) -> KeyState {
        match self.location {
            KeyLocation::Pending => KeyState::Pending,
            KeyLocation::Running(sidecar) | KeyLocation::Kept(sidecar) => {
                KeyState::At { sidecar, request: self.request, content: self.content }
            }
            KeyLocation::Lost => KeyState::Unknown { request: self.request },
        }
    }

    pub(crate) fn is_expired(&self, policy: &KeyPolicy, now: ClockTime) -> bool {
        let limit = match self.location {
            KeyLocation::Pending => policy.pending_limit,
            KeyLocation::Running(_) => policy.running_limit,
            KeyLocation::Kept(_) | KeyLocation::Lost => policy.answer_retention,
        };
        now.since(self.since) >= limit
    }
}
