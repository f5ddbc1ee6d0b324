//! What a cold upstream bears, divided among few senders.

use std::time::Duration;

use sagespool_types::derives;

derives! { record;
    /// What a service's upstreams bear while they are cold.
    pub struct WarmupProfile {
        /// How long an upstream stays cold after a start.
        pub span: Duration,
        /// Requests that a cold one takes in a second.
        pub per_second: f64,
    }
}

/// What all instances together may send to a cold upstream in a second: its own figure times
/// `overage`, and `slack` beside.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupPolicy {
    /// Factor on what a cold upstream takes.
    pub overage: f64,
    /// Requests beside that.
    pub slack: f64,
}

/// Instances that send to one cold upstream.
const MOST_SENDERS: usize = 6;
/// An instance that hasn't heard of a newcomer yet may take itself for a sender in its place. With so
/// many senders too many the limit still holds.
const SPARE_SENDERS: usize = 1;
/// The span for which the limit holds, wherever it begins.
pub(super) const SHARED_SECOND: Duration = Duration::from_secs(1);
/// How the limit of a cold upstream is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SenderShares {
    /// How many instances send.
    pub(super) senders: usize,
    /// Requests of each sender in a second.
    pub(super) each: usize,
}

impl SenderShares {
    /// Divides what a cold upstream bears.
    pub(super) fn of(traits: &WarmupProfile, terms: WarmupPolicy) -> Self {
        let limit = (traits.per_second * terms.overage + terms.slack) as usize;
        let each = (limit / (MOST_SENDERS + SPARE_SENDERS)).max(1);
        let senders = (limit / each).saturating_sub(SPARE_SENDERS).min(MOST_SENDERS);
        Self { senders, each }
    }
}
