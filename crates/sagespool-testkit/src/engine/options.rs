//! Options of a fake engine.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use sagespool_types::{ModelName, TokenRate, UpstreamName};

use crate::run_log::RunLog;

/// Options of a fake engine. The defaults describe an engine of medium size without faults.
#[derive(Clone, Builder)]
pub struct EngineOptions {
    /// The upstream name in the run log.
    pub name: UpstreamName,
    /// Models served from the start.
    pub models: Vec<ModelName>,
    /// Requests that run concurrently.
    #[builder(default = 8)]
    pub capacity: usize,
    /// Requests that may wait; further ones are refused.
    #[builder(default = 256)]
    pub queue_limit: usize,
    /// Tokens per second of each running request.
    #[builder(default = TokenRate(500))]
    pub token_rate: TokenRate,
    /// Time to the first token of a prompt whose prefix is cached.
    #[builder(default = Duration::from_millis(20))]
    pub first_token_base: Duration,
    /// Additional prefill time per prompt token if the prefix is not cached.
    #[builder(default = Duration::from_micros(20))]
    pub prompt_token_time: Duration,
    /// Capacity of the prefix cache.
    #[builder(default = 64)]
    pub cached_prefixes: usize,
    /// Age of the reported load.
    #[builder(default = Duration::from_millis(200))]
    pub load_lag: Duration,
    /// Delay of cache events.
    #[builder(default = Duration::from_millis(300))]
    pub cache_lag: Duration,
    /// Share of cache events that the feed loses, 0 to 1.
    #[builder(default = 0.1)]
    pub cache_gap_share: f64,
    /// Whether orders with a lower fencing number than an earlier one are refused.
    #[builder(default = true)]
    pub honours_fences: bool,
    /// Initial role.
    #[builder(into, default = "any")]
    pub role: String,
    /// Time from a crash by a poisonous prompt to the restart; none: it stays down.
    #[builder(required, default = Some(Duration::from_secs(1)))]
    pub restart_after: Option<Duration>,
    /// Interval at which tokens are generated: the granularity of the streams.
    #[builder(default = Duration::from_millis(5))]
    pub tick: Duration,
    /// Time to load a model or an adapter, in addition to fetching its weights.
    #[builder(default = Duration::from_millis(100))]
    pub load_time: Duration,
    /// Address of the weight store; none: all weights are local.
    pub weight_store: Option<SocketAddr>,
    /// The log in which its runs are recorded.
    #[builder(default)]
    pub run_log: RunLog,
    /// Seed that selects the lost cache events and the broken streams.
    #[builder(default = 1)]
    pub seed: u64,
}
