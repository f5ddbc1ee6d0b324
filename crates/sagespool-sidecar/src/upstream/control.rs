//! Control calls to the upstream: health, load, cancellation, orders.

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

/// For calls that an upstream on the same instance answers at once. One that
/// takes longer counts as unresponsive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// For an order. Newer orders wait meanwhile, so a hanging engine must not block
/// them for long.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// An upstream's report of its load.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EngineLoad {
    /// Sequence number of the report, counted from the upstream's start.
    pub number: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    pub capacity: u32,
    /// Tokens per second over all requests; engines only.
    #[serde(default)]
    pub tokens_per_second: f64,
    /// Models that are loaded; engines only.
    #[serde(default)]
    pub models: Vec<ModelName>,
}

/// One change of an engine's prompt cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "WireCacheEvent")]
pub struct EngineCacheEvent {
    /// Sequence number, counted by the engine from its start.
    pub number: u64,
    /// The prefix, and whether it was stored or evicted.
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
pub struct CacheEvents {
    /// Identifies the start of the engine; differs after each restart.
    pub start: Value,
    /// Events by ascending number, with gaps.
    pub events: Vec<EngineCacheEvent>,
}

/// Result of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine executed the order.
    Done,
    /// The engine has accepted a newer order.
    Stale {
        /// The newest fencing number that the engine has accepted.
        newest: FenceNumber,
    },
    /// The order failed or may have failed.
    Failed(String),
}

impl UpstreamClient {
    /// Probes the upstream's health.
    pub async fn health(&self) -> UpstreamHealth {
        let conn = self.client.get(self.control_url("/healthz"));
        let answer = within(PROBE_TIMEOUT, async { conn.await });
        match answer.await {
            Some(Ok(conn)) if conn.status() == Some(Status::Ok) => UpstreamHealth::Healthy,
            Some(Err(Error::Io(error))) if error.kind() == io::ErrorKind::ConnectionRefused => {
                UpstreamHealth::Refusing
            }
            _ => UpstreamHealth::Unresponsive,
        }
    }

    /// The load that the upstream reports; `None` if it gives no valid report in time.
    pub async fn load(&self) -> Option<EngineLoad> {
        let body = within(PROBE_TIMEOUT, async {
            let mut conn = self.client.get(self.control_url("/load")).await.ok()?;
            let is_report = conn.status() == Some(Status::Ok);
            let body = conn.response_body().read_bytes().await.ok()?;
            is_report.then_some(body)
        });
        serde_json::from_slice(&body.await.flatten()?).ok()
    }

    /// Polls an engine for changes of its prompt cache after a number. The engine waits up to
    /// `wait` for one. `None` if it gives no valid answer.
    pub async fn cache_events(&self, after: u64, wait: Duration) -> Option<CacheEvents> {
        let query = format!("/cache-events?after={after}&wait_ms={}", wait.as_millis());
        let body = within(wait + PROBE_TIMEOUT, async {
            let mut conn = self.client.get(self.control_url(&query)).await.ok()?;
            let is_found = conn.status() == Some(Status::Ok);
            let body = conn.response_body().read_bytes().await.ok()?;
            is_found.then_some(body)
        });
        serde_json::from_slice(&body.await.flatten()?).ok()
    }

    /// Cancels a request at an engine. Dropping the stream alone would leave the
    /// engine running it until its next write. Returns whether the engine answered.
    pub async fn cancel(&self, request: RequestId, attempt: AttemptNumber) -> bool {
        let url = self.control_url(&format!("/v1/requests/{request}/cancel"));
        let conn = self.client.post(url).with_request_header("x-attempt", attempt.to_string());
        let answer = within(PROBE_TIMEOUT, async { conn.await.ok() });
        answer.await.flatten().is_some()
    }

    /// Sends an order to an engine, in the engine's own form.
    pub async fn order(&self, fence: FenceNumber, order: &Value) -> OrderOutcome {
        let body = json!({ "fence": fence, "order": order });
        let answer = within(ORDER_TIMEOUT, async {
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
                OrderOutcome::Stale { newest: newest_fence(&body, fence) }
            }
            Some((status, _)) => {
                OrderOutcome::Failed(format!("the engine answered the order with status {status}"))
            }
            None => {
                let detail = "the engine did not answer the order and may have executed it";
                OrderOutcome::Failed(detail.to_owned())
            }
        }
    }

    fn control_url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn newest_fence(body: &[u8], fence: FenceNumber) -> FenceNumber {
    #[derive(Deserialize)]
    struct StaleBody {
        newest: FenceNumber,
    }
    serde_json::from_slice::<StaleBody>(body).map_or(fence.next(), |body| body.newest)
}
