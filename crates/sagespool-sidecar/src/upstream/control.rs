//! Calls about the upstream itself: health, load, cancelling, orders.

use std::io;
use std::num::ParseIntError;
use std::time::Duration;

use sagespool_link::within;
use sagespool_messages::{PrefixCacheEvent, PrefixDigest};
use sagespool_types::{AttemptNumber, FenceNumber, ModelName, RequestId};
use serde::Deserialize;
use serde_json::{Value, json};
use trillium_client::KnownHeaderName;
use trillium_http::{Error, Status};

use super::UpstreamClient;
use crate::UpstreamHealth;

/// For a call whose answer is at hand: an upstream on the same instance that
/// takes longer isn't answering.
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// For an order. Newer ones wait meanwhile, so a hanging engine must not hold
/// them up for long.
const ORDER_LIMIT: Duration = Duration::from_secs(30);

/// An upstream's report of its load.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EngineLoad {
    /// Counted by the upstream.
    pub number: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// How many it runs at once.
    pub capacity: u32,
    /// Tokens a second over all requests; engines only.
    #[serde(default)]
    pub tokens_per_second: f64,
    /// The models it has loaded; engines only.
    #[serde(default)]
    pub models: Vec<ModelName>,
}

/// One change of an engine's prompt cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "WireCacheEvent")]
pub struct EngineCacheEvent {
    /// Counted by the engine from its start.
    pub number: u64,
    /// What changed.
    pub note: PrefixCacheEvent,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireCacheChange {
    Stored,
    Evicted,
}

#[derive(Deserialize)]
struct WireCacheEvent {
    number: u64,
    kind: WireCacheChange,
    prefix: String,
}

impl TryFrom<WireCacheEvent> for EngineCacheEvent {
    type Error = ParseIntError;

    fn try_from(event: WireCacheEvent) -> Result<Self, ParseIntError> {
        let prefix = PrefixDigest::from(u128::from_str_radix(&event.prefix, 16)?);
        let is_stored = matches!(event.kind, WireCacheChange::Stored);
        Ok(Self { number: event.number, note: PrefixCacheEvent { prefix, is_stored } })
    }
}

/// Changes of an engine's prompt cache.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CacheFeed {
    /// Another value after each start of the engine.
    pub start: Value,
    /// In order, with gaps.
    pub events: Vec<EngineCacheEvent>,
}

/// How an engine answered an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Done.
    Done,
    /// It has seen a newer order.
    Stale {
        /// The newest fencing number that it has seen.
        newest: FenceNumber,
    },
    /// It failed, or may have.
    Failed(String),
}

impl UpstreamClient {
    /// How the upstream answers now.
    pub async fn health(&self) -> UpstreamHealth {
        let conn = self.client.get(self.control_url("/healthz"));
        let answer = within(PROBE_LIMIT, async { conn.await });
        match answer.await {
            Some(Ok(conn)) if conn.status() == Some(Status::Ok) => UpstreamHealth::Well,
            Some(Err(Error::Io(error))) if error.kind() == io::ErrorKind::ConnectionRefused => {
                UpstreamHealth::Refusing
            }
            _ => UpstreamHealth::Silent,
        }
    }

    /// The upstream's load, as it reports it; none if it doesn't.
    pub async fn load(&self) -> Option<EngineLoad> {
        let body = within(PROBE_LIMIT, async {
            let mut conn = self.client.get(self.control_url("/load")).await.ok()?;
            let is_report = conn.status() == Some(Status::Ok);
            let body = conn.response_body().read_bytes().await.ok()?;
            is_report.then_some(body)
        });
        serde_json::from_slice(&body.await.flatten()?).ok()
    }

    /// Changes of an engine's prompt cache after a number; waits for one for so long. None if the
    /// engine doesn't tell.
    pub async fn cache_events(&self, after: u64, wait: Duration) -> Option<CacheFeed> {
        let query = format!("/cache-events?after={after}&wait_ms={}", wait.as_millis());
        let body = within(wait + PROBE_LIMIT, async {
            let mut conn = self.client.get(self.control_url(&query)).await.ok()?;
            let is_feed = conn.status() == Some(Status::Ok);
            let body = conn.response_body().read_bytes().await.ok()?;
            is_feed.then_some(body)
        });
        serde_json::from_slice(&body.await.flatten()?).ok()
    }

    /// Tells an engine to give a request up. Dropping the stream alone would
    /// leave the engine working until it next writes. True if it answered.
    pub async fn cancel(&self, request: RequestId, attempt: AttemptNumber) -> bool {
        let url = self.control_url(&format!("/v1/requests/{request}/cancel"));
        let conn = self.client.post(url).with_request_header("x-attempt", attempt.to_string());
        let answer = within(PROBE_LIMIT, async { conn.await.ok() });
        answer.await.flatten().is_some()
    }

    /// Gives an engine an order, in the engine's own form.
    pub async fn order(&self, fence: FenceNumber, order: &Value) -> OrderOutcome {
        let body = json!({ "fence": fence, "order": order });
        let answer = within(ORDER_LIMIT, async {
            let mut conn = self
                .client
                .post(self.control_url("/orders"))
                .with_request_header(KnownHeaderName::ContentType, "application/json")
                .with_body(body.to_string())
                .await
                .ok()?;
            let body = conn.response_body().read_bytes().await.ok()?;
            Some((conn.status()?, body))
        });
        match answer.await.flatten() {
            Some((Status::Ok, _)) => OrderOutcome::Done,
            Some((Status::Conflict, body)) => {
                OrderOutcome::Stale { newest: newest_of(&body, fence) }
            }
            Some((status, _)) => {
                OrderOutcome::Failed(format!("the engine answered the order with {status}"))
            }
            None => {
                let detail = "the engine did not answer the order and may have carried it out";
                OrderOutcome::Failed(detail.to_owned())
            }
        }
    }

    fn control_url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn newest_of(body: &[u8], fence: FenceNumber) -> FenceNumber {
    #[derive(Deserialize)]
    struct StaleBody {
        newest: FenceNumber,
    }
    serde_json::from_slice::<StaleBody>(body).map_or(fence.next(), |body| body.newest)
}
