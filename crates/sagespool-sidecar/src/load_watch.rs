//! What the sidecar knows of its upstream's load and health.

use std::fmt;
use std::sync::Mutex;

use sagespool_messages::{LoadReport, ServedUpstream, UpstreamKind};
use sagespool_settings::UpstreamSettings;
use sagespool_types::{ModelName, ServiceName, UpstreamName};

use crate::shards::lock;
use crate::upstream::EngineLoad;

/// So many looks in a row may go unanswered before an upstream counts as down.
const MISSES_ALLOWED: u32 = 1;

/// The upstream, as its sidecar knows it.
#[derive(Debug)]
pub struct LoadWatch {
    upstream: UpstreamName,
    service: ServiceName,
    kind: UpstreamKind,
    capacity: u32,
    models: Vec<ModelName>,
    state: Mutex<WatchState>,
}

#[derive(Debug, Default)]
struct WatchState {
    number: u64,
    misses: u32,
    healthy: bool,
    newest: Option<EngineLoad>,
    dispatched: u64,
    drained: bool,
    told: Option<ServedUpstream>,
}

/// How an upstream answers when it is asked whether it is well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamHealth {
    /// It says so.
    Well,
    /// It doesn't answer in time, or not as it should: it may be slow or down.
    Silent,
    /// Nothing listens where it should: it is down.
    Refusing,
}

impl fmt::Display for UpstreamHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Well => "well",
            Self::Silent => "silent",
            Self::Refusing => "refusing",
        })
    }
}

/// One look at the upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamSample {
    /// How it answered.
    pub health: UpstreamHealth,
    /// Its load, if it told.
    pub load: Option<EngineLoad>,
}

impl LoadWatch {
    /// A watch that has not seen its upstream yet: not healthy until it answers.
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

    /// Counts a dispatch that was let in, so that an entry which reads the
    /// load can tell which of its own dispatches the figures don't show yet.
    pub fn dispatched(&self) {
        lock(&self.state).dispatched += 1;
    }

    /// Shows the upstream as taking nothing, or as it is again. A process
    /// can't take back that it leaves, but an operator can end a drain, so a
    /// drained upstream counts as not healthy.
    pub fn set_drained(&self, is_drained: bool) {
        lock(&self.state).drained = is_drained;
    }

    /// Whether an operator has drained the upstream.
    pub fn is_drained(&self) -> bool {
        lock(&self.state).drained
    }

    /// Notes that the upstream was found down while a request ran.
    pub fn upstream_down(&self) {
        let mut state = lock(&self.state);
        state.healthy = false;
    }

    /// True if a load is of a later start of the upstream than the newest known.
    pub fn is_restarted(&self, load: &EngineLoad) -> bool {
        lock(&self.state).newest.as_ref().is_some_and(|newest| load.number < newest.number)
    }

    /// Whether the upstream answered when last looked at.
    pub fn is_healthy(&self) -> bool {
        lock(&self.state).healthy
    }

    /// Takes in a look at the upstream.
    pub fn observe(&self, sample: UpstreamSample) {
        let mut state = lock(&self.state);
        match sample.health {
            UpstreamHealth::Well => {
                state.misses = 0;
                state.healthy = true;
            }
            UpstreamHealth::Silent => {
                state.misses += 1;
                state.healthy &= state.misses <= MISSES_ALLOWED;
            }
            UpstreamHealth::Refusing => state.healthy = false,
        }
        if let Some(load) = sample.load {
            state.newest = Some(load);
        }
    }

    /// The upstream as others are to know it, if that differs from what they
    /// were told last.
    pub fn news(&self) -> Option<ServedUpstream> {
        let mut state = lock(&self.state);
        let mut served = self.describe(&state);
        let is_told = state.told.as_ref().is_some_and(|told| {
            served.load.number = told.load.number;
            *told == served
        });
        if is_told {
            return None;
        }
        state.number += 1;
        served.load.number = state.number;
        state.told = Some(served.clone());
        Some(served)
    }

    fn describe(&self, state: &WatchState) -> ServedUpstream {
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
