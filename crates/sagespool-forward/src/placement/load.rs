//! The load of one upstream.

use std::time::Duration;

use sagespool_types::{ClockTime, TokenCount};

use super::health::UpstreamHealth;
use super::stall::StallDetector;
use super::{MIN_SLOWNESS, STALE_AFTER, STALE_HALF_LIFE, STALE_SLOWNESS_FACTOR};
use crate::EngineProfile;
use crate::prefix_cache::CacheEstimate;

/// A load report loses half its weight in this time, since requests last about a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(700);

/// Rejections lose half their weight in this time: a full queue drains within about a second.
const REJECTION_HALF_LIFE: Duration = Duration::from_millis(700);
/// Increase of the expected time for each rejection that counts.
const REJECTION_FACTOR: f64 = 4.0;
/// Consecutive rejections that don't count: a queue may be full for a moment.
const FREE_REJECTIONS: u32 = 1;
/// The most that count, so that an upstream that accepts again gets a request within some seconds.
const MAX_REJECTIONS: u32 = 2;

/// One upstream's load: the requests of this instance, and the reported load of others.
#[derive(Debug)]
pub(super) struct UpstreamLoad {
    /// Distinguishes this load from those of earlier runs of the upstream.
    pub(super) id: u64,
    /// Requests of this instance in flight.
    pub(super) running: u32,
    /// Those of them that have no first event or response yet.
    pub(super) unanswered: u32,
    /// Prompt tokens of those requests that the upstream has not prefilled yet.
    pub(super) pending_prefill: TokenCount,
    /// Requests of other instances, by the latest report.
    pub(super) other_requests: f64,
    pub(super) reported_at: ClockTime,
    /// Ratio of observed to expected time; 1 is as expected.
    pub(super) slowness: f64,
    /// When the slowness was last updated.
    pub(super) slowness_updated_at: ClockTime,
    /// When the upstream was last chosen.
    pub(super) last_chosen_at: ClockTime,
    /// Requests that the upstream has rejected since its last answer.
    rejections: u32,
    rejected_at: ClockTime,
    pub(super) cache: Option<CacheEstimate>,
    pub(super) health: UpstreamHealth,
    pub(super) stall: StallDetector,
}

impl UpstreamLoad {
    /// Load of an upstream without any observations.
    pub(super) fn new(id: u64, engine: Option<&EngineProfile>) -> Self {
        Self {
            id,
            running: 0,
            unanswered: 0,
            pending_prefill: TokenCount::ZERO,
            other_requests: 0.0,
            reported_at: ClockTime::default(),
            slowness: 1.0,
            slowness_updated_at: ClockTime::default(),
            last_chosen_at: ClockTime::default(),
            rejections: 0,
            rejected_at: ClockTime::default(),
            cache: engine.map(|profile| CacheEstimate::new(profile.memory)),
            health: UpstreamHealth::default(),
            stall: StallDetector::default(),
        }
    }

    /// Whether the upstream has been chosen at all.
    pub(super) fn is_untried(&self) -> bool {
        self.last_chosen_at == ClockTime::default()
    }

    /// The learnt slowness, lowered by the time since the upstream was last chosen.
    ///
    /// Guards against an upstream that was slow for a while and gets no requests for good: only its
    /// responses would show that it has recovered.
    pub(super) fn slowness_now(&self, now: ClockTime) -> f64 {
        let Some(stale_for) = now.since(self.last_chosen_at).checked_sub(STALE_AFTER) else {
            return self.slowness;
        };
        let factor = STALE_SLOWNESS_FACTOR * decay(stale_for, STALE_HALF_LIFE);
        (self.slowness * factor).max(MIN_SLOWNESS)
    }

    /// Milliseconds since the upstream's last activity, if none of its requests in flight is answered
    /// yet. Streams pause between their events, so an upstream that has any isn't silent.
    pub(super) fn unanswered_ms(&self, now: ClockTime) -> f64 {
        match self.unanswered == self.running {
            true => self.stall.inactive_for(now).as_secs_f64() * 1000.0,
            false => 0.0,
        }
    }

    /// Factor on the expected time for consecutive rejections, decayed by the time since the last one.
    ///
    /// Guards against an upstream that rejects requests at once: none of them runs there, so it looks idle and
    /// would draw all further requests.
    pub(super) fn rejection_factor(&self, now: ClockTime) -> f64 {
        let counted = self.rejections.saturating_sub(FREE_REJECTIONS).min(MAX_REJECTIONS);
        let kept = decay(now.since(self.rejected_at), REJECTION_HALF_LIFE);
        1.0 + REJECTION_FACTOR * f64::from(counted) * kept
    }

    /// Notes that the upstream rejected a request.
    pub(super) fn note_rejection(&mut self, now: ClockTime) {
        self.rejections = self.rejections.saturating_add(1);
        self.rejected_at = now;
    }

    /// Notes that the upstream ran a request.
    pub(super) fn note_answer(&mut self) {
        self.rejections = 0;
    }

    /// Estimated requests of other instances, decayed by the age of the report.
    pub(super) fn other_requests_now(&self, now: ClockTime) -> f64 {
        self.other_requests * decay(now.since(self.reported_at), REPORT_HALF_LIFE)
    }
}

/// The part of a weight that is left at an age.
fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
