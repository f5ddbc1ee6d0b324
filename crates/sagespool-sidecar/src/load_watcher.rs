//! Load and health of the sidecar's upstream.

use std::fmt;
use std::sync::Mutex;

use sagespool_messages::{LoadReport, ServedUpstream, UpstreamKind};
use sagespool_settings::UpstreamSettings;
use sagespool_types::{ModelName, ServiceName, UpstreamName};

use crate::shards::lock;
use crate::upstream::EngineLoad;

/// Consecutive failed probes after which an upstream still counts as healthy.
const MAX_MISSED_PROBES: u32 = 1;

/// Tracks the load and health of one upstream, and decides when to publish them.
#[derive(Debug)]
pub struct LoadWatcher {
    upstream: UpstreamName,
    service: ServiceName,
    kind: UpstreamKind,
    capacity: u32,
    models: Vec<ModelName>,
    state: Mutex<WatcherState>,
}

#[derive(Debug, Default)]
struct WatcherState {
    number: u64,
    missed_probes: u32,
    healthy: bool,
    newest: Option<EngineLoad>,
    dispatched: u64,
    drained: bool,
    published: Option<ServedUpstream>,
}

/// Result of a health probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamHealth {
    /// The upstream reports that it is healthy.
    Healthy,
    /// The upstream does not answer in time, or answers with an error; it may be slow or down.
    Unresponsive,
    /// The connection is refused: the upstream is down.
    Refusing,
}

impl fmt::Display for UpstreamHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Healthy => "well",
            Self::Unresponsive => "silent",
            Self::Refusing => "refusing",
        })
    }
}

/// One probe of the upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamSample {
    /// Result of the health probe.
    pub health: UpstreamHealth,
    /// The upstream's load; `None` if it did not report it.
    pub load: Option<EngineLoad>,
}

impl LoadWatcher {
    /// A tracker without probes. The upstream is unhealthy until it answers one.
    pub fn new(settings: &UpstreamSettings) -> Self {
        Self {
            upstream: settings.name.clone(),
            service: settings.service.clone(),
            kind: settings.kind,
            capacity: settings.capacity,
            models: settings.models.clone(),
            state: Mutex::default(),
        }
    }

    /// Counts an admitted dispatch. Entries use the count to see which of their
    /// own dispatches the reported load does not include yet.
    pub fn count_dispatch(&self) {
        lock(&self.state).dispatched += 1;
    }

    /// Starts or ends a drain. A drained upstream is published as unhealthy, not
    /// as leaving: an operator can end a drain, but leaving is irrevocable.
    pub fn set_drained(&self, is_drained: bool) {
        lock(&self.state).drained = is_drained;
    }

    /// Whether the upstream is drained by an operator.
    pub fn is_drained(&self) -> bool {
        lock(&self.state).drained
    }

    /// Marks the upstream as unhealthy after it went down during a request.
    pub fn mark_down(&self) {
        let mut state = lock(&self.state);
        state.healthy = false;
    }

    /// Whether a load report has a lower number than the newest one: the upstream has restarted.
    pub fn shows_restart(&self, load: &EngineLoad) -> bool {
        lock(&self.state).newest.as_ref().is_some_and(|newest| load.number < newest.number)
    }

    /// Whether the upstream is healthy according to the latest probes.
    pub fn is_healthy(&self) -> bool {
        lock(&self.state).healthy
    }

    /// Applies a probe.
    pub fn observe(&self, sample: UpstreamSample) {
        let mut state = lock(&self.state);
        match sample.health {
            UpstreamHealth::Healthy => {
                state.missed_probes = 0;
                state.healthy = true;
            }
            UpstreamHealth::Unresponsive => {
                state.missed_probes += 1;
                state.healthy &= state.missed_probes <= MAX_MISSED_PROBES;
            }
            UpstreamHealth::Refusing => state.healthy = false,
        }
        if let Some(load) = sample.load {
            state.newest = Some(load);
        }
    }

    /// The upstream's description for other members, if it differs from the one
    /// published last.
    pub fn take_update(&self) -> Option<ServedUpstream> {
        let mut state = lock(&self.state);
        let mut served = self.describe(&state);
        let is_published = state.published.as_ref().is_some_and(|published| {
            served.load.number = published.load.number;
            *published == served
        });
        if is_published {
            return None;
        }
        state.number += 1;
        served.load.number = state.number;
        state.published = Some(served.clone());
        Some(served)
    }

    fn describe(&self, state: &WatcherState) -> ServedUpstream {
        let load = state.newest.as_ref();
        ServedUpstream {
            upstream: self.upstream.clone(),
            kind: self.kind,
            service: self.service.clone(),
            models: load.map_or(&self.models, |load| &load.models).clone(),
            capacity: load.map_or(self.capacity, |load| load.capacity),
            healthy: state.healthy && !state.drained,
            load: LoadReport {
                number: 0,
                running: load.map_or(0, |load| load.running),
                waiting: load.map_or(0, |load| load.waiting),
                tokens_per_second: load.map_or(0, |load| load.tokens_per_second as u32),
                dispatched: state.dispatched,
            },
        }
    }
}
