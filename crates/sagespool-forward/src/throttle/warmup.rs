//! Divides the request rate of a cold upstream among a few senders.

use std::time::Duration;

use sagespool_types::derives;

derives! { record;
    /// The request rate of a service's upstreams while they are cold.
    pub struct WarmupProfile {
        /// How long an upstream stays cold after a start.
        pub span: Duration,
        /// Requests per second that a cold upstream accepts.
        pub per_second: f64,
    }
}

/// What all instances together may send to a cold upstream per second: its own rate times
/// `overage`, plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupPolicy {
    /// Factor on the rate of a cold upstream.
    pub overage: f64,
    /// Additional requests per second.
    pub slack: f64,
}

/// Instances that send to one cold upstream.
const MAX_SENDERS: usize = 6;
/// An instance that hasn't seen a new instance yet may act as a sender in its place. The limit
/// holds with this many extra senders.
const SPARE_SENDERS: usize = 1;
/// The limit holds in each window of this length, wherever it begins.
pub(super) const COLD_RATE_WINDOW: Duration = Duration::from_secs(1);
/// How a cold upstream's limit is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ColdShares {
    /// Instances that send.
    pub(super) senders: usize,
    /// Requests per second of each sender.
    pub(super) each: usize,
}

impl ColdShares {
    /// Divides a cold upstream's limit.
    pub(super) fn of(profile: &WarmupProfile, policy: WarmupPolicy) -> Self {
        let limit = (profile.per_second * policy.overage + policy.slack) as usize;
        let each = (limit / (MAX_SENDERS + SPARE_SENDERS)).max(1);
        let senders = (limit / each).saturating_sub(SPARE_SENDERS).min(MAX_SENDERS);
        Self { senders, each }
    }
}
