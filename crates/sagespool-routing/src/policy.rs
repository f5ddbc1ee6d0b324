//! Settings of upstream selection.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use sagespool_types::{ParseError, derives};

derives! { value;
    /// Algorithm that chooses an upstream.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum PolicyKind {
        /// The lowest predicted time to the first token, from estimated load, latency, cached
        /// prefixes, data centre and failures.
        #[default]
        Sagespool,
        /// Round robin; a baseline.
        RoundRobin,
        /// The lowest load in the newest reports; a baseline.
        LeastReportedLoad,
        /// The less loaded of two random upstreams, by the newest reports; a baseline.
        TwoChoices,
    }
}

impl PolicyKind {
    /// Every kind, for comparisons between them.
    pub const ALL: [Self; 4] =
        [Self::Sagespool, Self::RoundRobin, Self::LeastReportedLoad, Self::TwoChoices];

    /// The kind's name in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Sagespool => "sagespool",
            Self::RoundRobin => "round-robin",
            Self::LeastReportedLoad => "least-reported-load",
            Self::TwoChoices => "two-choices",
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PolicyKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let help = "sagespool, round-robin, least-reported-load or two-choices";
        let found = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| ParseError::new("a routing policy", text, help))
    }
}

/// Settings of [`crate::UpstreamTable`]. See `docs/design/ROUTING.md` for the defaults.
#[derive(Debug, Clone, bon::Builder)]
pub struct RoutingPolicy {
    /// Algorithm that chooses an upstream.
    #[builder(default)]
    pub kind: PolicyKind,
    /// Seed of the random number generators.
    #[builder(default)]
    pub seed: u64,
    /// Assumed age of a load report on arrival, until it has been estimated.
    #[builder(default = Duration::from_millis(500))]
    pub report_lag: Duration,
    /// Number of upstreams up to which all are candidates; with more, a random sample is.
    #[builder(default = 32)]
    pub full_scan_limit: usize,
    /// Random candidates for services with more than `full_scan_limit` upstreams.
    #[builder(default = 12)]
    pub sample_size: usize,
    /// Additional time of a request to another data centre.
    #[builder(default = Duration::from_millis(2))]
    pub centre_penalty: Duration,
    /// Assumed time that a cached prefix saves, until measured.
    #[builder(default = Duration::from_millis(100))]
    pub prefix_gain: Duration,
    /// How long evidence for a cached prefix is used.
    #[builder(default = Duration::from_secs(300))]
    pub prefix_expiry: Duration,
    /// Prefixes tracked per service.
    #[builder(default = 16384)]
    pub max_prefixes: usize,
    /// Assumed time to the first token, until measured.
    #[builder(default = Duration::from_millis(200))]
    pub first_token: Duration,
    /// Assumed time for which a request occupies a slot, until measured.
    #[builder(default = Duration::from_secs(2))]
    pub run_time: Duration,
    /// Half-life of the weight of measurements.
    #[builder(default = Duration::from_secs(10))]
    pub half_life: Duration,
    /// Cost of a failed attempt, as additional time to the first token.
    #[builder(default = Duration::from_secs(2))]
    pub failure_cost: Duration,
    /// Consecutive failures that eject an upstream.
    #[builder(default = 3)]
    pub failures_to_eject: u32,
    /// Duration of the first ejection; doubles with each failed probe.
    #[builder(default = Duration::from_secs(1))]
    pub first_ejection: Duration,
    /// Upper bound of an ejection's duration, before jitter.
    #[builder(default = Duration::from_secs(30))]
    pub max_ejection: Duration,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}
