//! The settings of routing.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use sagespool_types::{ParseFault, derives};

derives! { value;
    /// How an upstream is chosen.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum PolicyKind {
        /// The lowest predicted time to the first token: estimated load, speed, cached prefixes,
        /// nearness and failures.
        #[default]
        Sagespool,
        /// Each in turn; a baseline.
        RoundRobin,
        /// The lowest load in the newest report; a baseline.
        LeastReportedLoad,
        /// The less loaded, by the newest reports, of two random ones; a baseline.
        TwoChoices,
    }
}

impl PolicyKind {
    /// Every kind, for comparisons.
    pub const ALL: [Self; 4] =
        [Self::Sagespool, Self::RoundRobin, Self::LeastReportedLoad, Self::TwoChoices];

    /// The kind as settings name it.
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
    type Err = ParseFault;

    fn from_str(text: &str) -> Result<Self, ParseFault> {
        let help = "sagespool, round-robin, least-reported-load or two-choices";
        let found = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| ParseFault::new("a routing policy", text, help))
    }
}

/// Settings of [`crate::UpstreamTable`]. The defaults are the measured choices of
/// `docs/design/ROUTING.md`.
#[derive(Debug, Clone, bon::Builder)]
pub struct RoutingPolicy {
    /// How an upstream is chosen.
    #[builder(default)]
    pub kind: PolicyKind,
    /// Seed of the random choices.
    #[builder(default)]
    pub seed: u64,
    /// How old a load report is when it arrives, until that has been learned.
    #[builder(default = Duration::from_millis(500))]
    pub report_lag: Duration,
    /// Up to so many upstreams are all looked at; beyond that, a random sample.
    #[builder(default = 32)]
    pub full_scan_limit: usize,
    /// Random candidates beyond `full_scan` upstreams.
    #[builder(default = 12)]
    pub sample_size: usize,
    /// What a request to another data centre takes longer.
    #[builder(default = Duration::from_millis(2))]
    pub centre_penalty: Duration,
    /// What a cached prefix is thought to save until it has been measured.
    #[builder(default = Duration::from_millis(100))]
    pub prefix_gain: Duration,
    /// How long this entry remembers where it sent a prefix.
    #[builder(default = Duration::from_secs(300))]
    pub prefix_expiry: Duration,
    /// Prefixes remembered for one service.
    #[builder(default = 16384)]
    pub max_prefixes: usize,
    /// The time to a first token until one has been measured.
    #[builder(default = Duration::from_millis(200))]
    pub first_token: Duration,
    /// The time that a request holds its place in an upstream, until measured.
    #[builder(default = Duration::from_secs(2))]
    pub run_time: Duration,
    /// What was measured counts half after this time without anything newer.
    #[builder(default = Duration::from_secs(10))]
    pub half_life: Duration,
    /// What a failed attempt costs a request, in time.
    #[builder(default = Duration::from_secs(2))]
    pub failure_cost: Duration,
    /// So many failures one after the other eject an upstream.
    #[builder(default = 3)]
    pub failures_to_eject: u32,
    /// How long the first ejection lasts; doubled by each probe that fails.
    #[builder(default = Duration::from_secs(1))]
    pub first_ejection: Duration,
    /// The longest ejection.
    #[builder(default = Duration::from_secs(30))]
    pub max_ejection: Duration,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}
