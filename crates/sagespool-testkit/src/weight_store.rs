//! A fake weight store with latency and a rate limit.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bon::Builder;
use error_stack::Report;
use sagespool_types::ClockTime;
use serde_json::json;
use trillium::{Conn, Status};
use trillium_router::{Router, RouterConnExt};

use crate::fault_gate::{FaultGate, StartNumber};
use crate::http_helpers::{error_response, json_response};
use crate::restartable_server::{ListenError, RestartableServer, lock};

/// Options of a fake weight store.
#[derive(Debug, Clone, Builder)]
pub struct WeightOptions {
    /// Duration of a fetch.
    #[builder(default = Duration::from_millis(200))]
    pub load_time: Duration,
    /// Burst size of the rate limit.
    #[builder(default = 2)]
    pub burst: u32,
    /// Time between two fetches once the burst is used up.
    #[builder(default = Duration::from_millis(500))]
    pub interval: Duration,
}

/// A requested fetch of weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightFetch {
    /// Time of the request.
    pub at: ClockTime,
    /// Name of the model or adapter.
    pub model: String,
    /// False if it was refused by the rate limit.
    pub accepted: bool,
}

/// A fake weight store. Clones share one store; it stops when the last one is dropped.
#[derive(Clone)]
pub struct FakeWeightStore {
    owner: Arc<WeightOwner>,
}

struct WeightOwner(Arc<WeightShared>);

impl Drop for WeightOwner {
    fn drop(&mut self) {
        self.0.crash();
    }
}

struct WeightShared {
    options: WeightOptions,
    server: RestartableServer,
    gate: FaultGate,
    state: Mutex<WeightState>,
}

struct WeightState {
    bucket: FetchBucket,
    loads: Vec<WeightFetch>,
}

impl FakeWeightStore {
    /// Starts a weight store on a loopback port.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if no port is available.
    pub fn start(options: WeightOptions) -> Result<Self, Report<ListenError>> {
        let bucket = FetchBucket::full(options.burst, options.interval);
        let shared = Arc::new(WeightShared {
            server: RestartableServer::reserve()?,
            gate: FaultGate::new(),
            state: Mutex::new(WeightState { bucket, loads: Vec::new() }),
            options,
        });
        shared.restart()?;
        Ok(Self { owner: Arc::new(WeightOwner(shared)) })
    }

    /// The address of the HTTP API; it stays the same after a restart.
    pub fn address(&self) -> SocketAddr {
        self.owner.0.server.address()
    }

    /// All requested fetches, oldest first.
    pub fn fetches(&self) -> Vec<WeightFetch> {
        lock(&self.owner.0.state).loads.clone()
    }

    /// Crashes: all connections break and the port refuses connections.
    pub fn crash(&self) {
        self.owner.0.crash();
    }

    /// Starts again on the same port.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if the port can't be opened.
    pub fn restart(&self) -> Result<(), Report<ListenError>> {
        self.owner.0.restart()
    }

    /// Freezes or unfreezes it: a frozen store keeps its connections and answers no calls.
    pub fn set_frozen(&self, frozen: bool) {
        self.owner.0.gate.set_frozen(frozen);
    }
}

impl WeightShared {
    fn restart(self: &Arc<Self>) -> Result<(), Report<ListenError>> {
        let Some(start) = self.gate.begin() else {
            return Ok(());
        };
        let store = self.clone();
        let weights = move |conn: Conn| {
            let store = store.clone();
            async move { store.answer(conn, start).await }
        };
        let served = self.server.serve(Router::new().get("/weights/:model", weights));
        if served.is_err() {
            self.gate.end(None);
        }
        served
    }

    fn crash(&self) {
        if self.gate.end(None) {
            self.server.stop();
        }
    }

    async fn answer(&self, conn: Conn, start: StartNumber) -> Conn {
        let down = "the weight store is down";
        if self.gate.wait_open(start).await.is_err() {
            return error_response(conn, Status::ServiceUnavailable, down);
        }
        let Some(model) = conn.param("model").map(str::to_owned) else {
            return error_response(conn, Status::BadRequest, "no model is named");
        };
        if let Err(retry_after) = self.take(&model, ClockTime::now()) {
            // Rounded up, so that a retry after this time is within the limit.
            let retry_after = retry_after.as_millis() as u64 + 1;
            let conn = conn.with_response_header("retry-after-ms", retry_after.to_string());
            return error_response(conn, Status::TooManyRequests, "rate limit of fetches exceeded");
        }
        if self.gate.delay(start, self.options.load_time).await.is_err() {
            return error_response(conn, Status::ServiceUnavailable, down);
        }
        json_response(conn, Status::Ok, &json!({ "model": model }))
    }

    fn take(&self, model: &str, now: ClockTime) -> Result<(), Duration> {
        let mut state = lock(&self.state);
        let accepted = state.bucket.take(now);
        let load = WeightFetch { at: now, model: model.to_owned(), accepted: accepted.is_ok() };
        state.loads.push(load);
        accepted
    }
}

/// A rate limit with a burst; each fetch postpones the time at which the burst is full again.
struct FetchBucket {
    burst: u32,
    interval: Duration,
    full_at: ClockTime,
}

impl FetchBucket {
    fn full(burst: u32, interval: Duration) -> Self {
        Self { burst: burst.max(1), interval, full_at: ClockTime(0) }
    }

    /// Admits a fetch; the error is the time until one can be admitted.
    fn take(&mut self, now: ClockTime) -> Result<(), Duration> {
        let full_at = self.full_at.max(now).after(self.interval);
        let taken_ahead = full_at.since(now);
        let max_ahead = self.interval * self.burst;
        if taken_ahead > max_ahead {
            return Err(taken_ahead - max_ahead);
        }
        self.full_at = full_at;
        Ok(())
    }
}
