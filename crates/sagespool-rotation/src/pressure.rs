//! How close a gateway is to its limits.

use std::fmt;
use std::time::Duration;

use sagespool_types::LoadPressure;

/// Part of the tightest latency target that a resource's wait may take before callers lose by it.
const TARGET_FRACTION: f64 = 0.25;
/// The use of memory or connections that counts as full. What doesn't fit is closed unread, so all of them are
/// never in use.
const FULL_SHARE: f64 = 0.95;
/// Weight of a new sample in the exponential average; samples come several times a second.
const SAMPLE_WEIGHT: f64 = 0.5;

/// The resource that limits a gateway most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PressureSource {
    /// Requests wait for the link.
    #[default]
    Link,
    /// Requests wait for the processor.
    Processor,
    /// Memory held for callers.
    Memory,
    /// Callers' connections.
    Connections,
}

impl PressureSource {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Link => "link",
            Self::Processor => "processor",
            Self::Memory => "memory",
            Self::Connections => "connections",
        }
    }
}

impl fmt::Display for PressureSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What a gateway carries at one time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct GatewayLoad {
    /// How long a request waits for the link.
    pub link_wait: Duration,
    /// How long a request waits for the processor.
    pub processor_wait: Duration,
    /// Memory held for callers, as a fraction of the point at which connections are closed unread.
    pub memory: f64,
    /// Callers' connections, as a fraction of the same point.
    pub connections: f64,
    /// The tightest latency target of the routes; `None` if there are none.
    pub latency_target: Option<Duration>,
}

/// The pressure of a gateway, averaged over a few samples, so that one large body is no pressure.
///
/// Answers a load of callers that one gateway can't carry: whichever of its resources they fill.
#[derive(Debug, Clone, Default)]
pub struct PressureGauge {
    averages: [f64; 4],
}

const SOURCES: [PressureSource; 4] = [
    PressureSource::Link,
    PressureSource::Processor,
    PressureSource::Memory,
    PressureSource::Connections,
];

impl PressureGauge {
    /// Adds a sample.
    pub fn add(&mut self, load: GatewayLoad) {
        let allowed = load.latency_target.map(|target| target.as_secs_f64() * TARGET_FRACTION);
        let wait_share = |wait: Duration| match allowed {
            Some(allowed) if allowed > 0.0 => wait.as_secs_f64() / allowed,
            _ => 0.0,
        };
        let samples = [
            wait_share(load.link_wait),
            wait_share(load.processor_wait),
            load.memory / FULL_SHARE,
            load.connections / FULL_SHARE,
        ];
        for (average, sample) in self.averages.iter_mut().zip(samples) {
            *average += (sample - *average) * SAMPLE_WEIGHT;
        }
    }

    /// The pressure and the resource that causes it.
    pub fn pressure(&self) -> (LoadPressure, PressureSource) {
        let fullest = self.averages.iter().zip(SOURCES).max_by(|a, b| a.0.total_cmp(b.0));
        let (share, source) =
            fullest.map_or((0.0, PressureSource::Link), |(s, source)| (*s, source));
        (LoadPressure((share * f64::from(LoadPressure::FULL.0)) as u32), source)
    }
}
