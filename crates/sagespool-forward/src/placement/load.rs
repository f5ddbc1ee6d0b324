//! What an instance knows of one upstream's load.

use std::time::Duration;

use sagespool_types::{ClockTime, TokenCount};

use super::health::UpstreamHealth;
use super::silence::SilenceWatch;
use crate::EngineProfile;
use crate::engine::PartCache;

/// Word of other instances' requests is half as good after this time: requests last about a second.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(700);

/// One upstream's load: what this instance sent there, and what it was told of others'.
#[derive(Debug)]
pub(super) struct UpstreamLoad {
    /// Tells this load from those of earlier runs of the upstream.
    pub(super) id: u64,
    /// Own requests in flight.
    pub(super) running: u32,
    /// Tokens of own requests that the upstream has still to read.
    pub(super) unread: TokenCount,
    /// Requests of others, as its newest answer told.
    pub(super) others: f64,
    pub(super) others_at: ClockTime,
    /// Observed against expected time; 1 is as expected.
    pub(super) slowness: f64,
    /// When its speed was observed last.
    pub(super) observed: ClockTime,
    /// When it was chosen last.
    pub(super) chosen: ClockTime,
    pub(super) cache: Option<PartCache>,
    pub(super) health: UpstreamHealth,
    pub(super) silence: SilenceWatch,
}

impl UpstreamLoad {
    /// An upstream of which nothing is known yet.
    pub(super) fn new(id: u64, engine: Option<&EngineProfile>) -> Self {
        Self {
            id,
            running: 0,
            unread: TokenCount::ZERO,
            others: 0.0,
            others_at: ClockTime::default(),
            slowness: 1.0,
            observed: ClockTime::default(),
            chosen: ClockTime::default(),
            cache: engine.map(|traits| PartCache::new(traits.memory)),
            health: UpstreamHealth::default(),
            silence: SilenceWatch::default(),
        }
    }

    /// Requests of others, as far as they are known.
    pub(super) fn others_now(&self, now: ClockTime) -> f64 {
        let age = now.since(self.others_at).as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64();
        self.others * 0.5f64.powf(age)
    }
}
