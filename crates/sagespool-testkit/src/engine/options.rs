//! The settings of an engine stand.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use sagespool_types::{ModelName, TokenRate, UpstreamName};

use crate::witness::RunLog;

/// How an engine stand behaves. The defaults are an engine of medium size, well.
#[derive(Clone, Builder)]
pub struct EngineOptions {
    /// Its name in the run log.
    pub name: UpstreamName,
    /// The models it serves from its start.
    pub models: Vec<ModelName>,
    /// Requests that run at once.
    #[builder(default = 8)]
    pub capacity: usize,
    /// Requests that may wait; more are refused.
    #[builder(default = 256)]
    pub queue_limit: usize,
    /// Tokens a second for each request that runs.
    #[builder(default = TokenRate(500))]
    pub token_rate: TokenRate,
    /// Time to the first token of a prompt whose prefix is cached.
    #[builder(default = Duration::from_millis(20))]
    pub first_token_base: Duration,
    /// Time that each token of a prompt adds where its prefix isn't cached.
    #[builder(default = Duration::from_micros(20))]
    pub prompt_token_time: Duration,
    /// How many prefixes the cache holds.
    #[builder(default = 64)]
    pub cached_prefixes: usize,
    /// How old the load is that it reports.
    #[builder(default = Duration::from_millis(200))]
    pub load_lag: Duration,
    /// How late a cache event can be seen.
    #[builder(default = Duration::from_millis(300))]
    pub cache_lag: Duration,
    /// The share of cache events that the feed loses.
    #[builder(default = 0.1)]
    pub cache_gap_share: f64,
    /// Whether it refuses an order with a lower fencing number than one it has seen.
    #[builder(default = true)]
    pub honours_fences: bool,
    /// Its role from its start.
    #[builder(into, default = "any")]
    pub role: String,
    /// Time from a crash by a poisonous prompt to its restart; none: it stays down.
    #[builder(required, default = Some(Duration::from_secs(1)))]
    pub restart_after: Option<Duration>,
    /// How often it makes tokens: the granularity of its streams.
    #[builder(default = Duration::from_millis(5))]
    pub tick: Duration,
    /// Time to load a model or an adapter, besides what the weight store takes.
    #[builder(default = Duration::from_millis(100))]
    pub load_time: Duration,
    /// Where it gets a model's weights from; none: it has them all.
    pub weight_store: Option<SocketAddr>,
    /// Where it notes its runs.
    #[builder(default)]
    pub run_log: RunLog,
    /// Decides which cache events are lost.
    #[builder(default = 1)]
    pub seed: u64,
}
