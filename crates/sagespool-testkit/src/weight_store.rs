//! A stand-in of the weight store: slow, and limited in its rate.

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
use crate::http_answer::{error_response, json_response};
use crate::stand_server::{ListenError, RestartableServer, lock};

/// How a weight stand behaves.
#[derive(Debug, Clone, Builder)]
pub struct WeightOptions {
    /// Time that a load takes.
    #[builder(default = Duration::from_millis(200))]
    pub load_time: Duration,
    /// Loads that may begin at once after an idle time.
    #[builder(default = 2)]
    pub burst: u32,
    /// Time from one load to the next once the burst is used up.
    #[builder(default = Duration::from_millis(500))]
    pub interval: Duration,
}

/// A load of a model's weights, as it was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightFetch {
    /// When.
    pub at: ClockTime,
    /// The model.
    pub model: String,
    /// Whether it was within the rate.
    pub accepted: bool,
}

/// A weight store stand-in. Clones are the same store; the last one dropped ends it.
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
    /// Starts a weight store on a port of the loopback interface.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if no port can be listened on.
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

    /// Where it is reached, also after a restart.
    pub fn address(&self) -> SocketAddr {
        self.owner.0.server.address()
    }

    /// Every load that it was asked for, in order.
    pub fn fetches(&self) -> Vec<WeightFetch> {
        lock(&self.owner.0.state).loads.clone()
    }

    /// Crashes: every connection breaks and the port refuses.
    pub fn crash(&self) {
        self.owner.0.crash();
    }

    /// Starts again on the same port.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if the port can't be listened on.
    pub fn restart(&self) -> Result<(), Report<ListenError>> {
        self.owner.0.restart()
    }

    /// Freezes or thaws it: a frozen store keeps its connections and answers no call.
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
            // Rounded up: whoever waits that long is within the rate.
            let retry_after = retry_after.as_millis() as u64 + 1;
            let conn = conn.with_response_header("retry-after-ms", retry_after.to_string());
            return error_response(conn, Status::TooManyRequests, "over the rate of loads");
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

/// A rate limit with a burst: each load moves the time at which the burst is whole again.
struct FetchBucket {
    burst: u32,
    interval: Duration,
    full_at: ClockTime,
}

impl FetchBucket {
    fn full(burst: u32, interval: Duration) -> Self {
        Self { burst: burst.max(1), interval, full_at: ClockTime(0) }
    }

    /// Takes a load, or says how long until one may be accepted.
    fn take(&mut self, now: ClockTime) -> Result<(), Duration> {
        let full_at = self.full_at.max(now).after(self.interval);
        let taken_ahead = full_at.since(now);
        let most_ahead = self.interval * self.burst;
        if taken_ahead > most_ahead {
            return Err(taken_ahead - most_ahead);
        }
        self.full_at = full_at;
        Ok(())
    }
}
