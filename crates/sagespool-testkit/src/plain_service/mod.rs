//! A fake plain service: it accepts any call and records each run.

mod http;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bon::Builder;
use error_stack::Report;
use sagespool_types::{ClockTime, UpstreamName, derives};
use serde_json::json;
use twox_hash::XxHash3_64;

use crate::fault_gate::{FaultGate, StartNumber};
use crate::lagged_state::LaggedState;
use crate::mixed_answers::MixedAnswers;
use crate::restartable_server::{ListenError, RestartableServer, lock, run_after};
use crate::run_log::{RunEnd, RunLog, RunMarker, RunRecord, RunRecorder};

/// Options of a fake plain service.
#[derive(Clone, Builder)]
pub struct ServiceOptions {
    /// The upstream name in the run log.
    pub name: UpstreamName,
    /// Calls that run concurrently; further ones wait.
    #[builder(default = 64)]
    pub capacity: usize,
    /// Duration of a call.
    #[builder(default = Duration::from_millis(5))]
    pub latency: Duration,
    /// Shares of the calls that fail.
    #[builder(default)]
    pub failures: FailureShares,
    /// Age of the reported load.
    #[builder(default = Duration::from_millis(200))]
    pub load_lag: Duration,
    /// Time from a crash by a poisonous call to the restart; none: it stays down.
    #[builder(required, default = Some(Duration::from_secs(1)))]
    pub restart_after: Option<Duration>,
    /// The log in which its runs are recorded.
    #[builder(default)]
    pub run_log: RunLog,
    /// Seed that selects the failing calls.
    #[builder(default = 1)]
    pub seed: u64,
}

/// Shares of a service's calls that fail, each from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FailureShares {
    /// Answered with 500 without a run.
    pub before_running: f64,
    /// Run, but the connection is broken instead of an answer.
    pub after_running: f64,
}

derives! { value;
    /// The load of a service at one time.
    pub struct ServiceLoad {
        /// Running calls.
        pub running: usize,
        /// Waiting calls.
        pub waiting: usize,
        /// Calls that can run concurrently.
        pub capacity: usize,
    }
}

/// The response body of a call; `path` is the path with the query, as sent.
pub fn service_answer(path: &str, body: &[u8]) -> String {
    let path_hash = XxHash3_64::oneshot(path.as_bytes());
    let digest = XxHash3_64::oneshot_with_seed(path_hash, body);
    json!({ "path": path, "bytes": body.len(), "digest": format!("{digest:016x}") }).to_string()
}

/// A fake plain service. Clones share one service; it stops when the last one is dropped.
#[derive(Clone)]
pub struct FakeService {
    owner: Arc<ServiceOwner>,
}

struct ServiceOwner(Arc<ServiceShared>);

impl Drop for ServiceOwner {
    fn drop(&mut self) {
        self.0.crash(None);
    }
}

struct ServiceShared {
    options: ServiceOptions,
    server: RestartableServer,
    gate: FaultGate,
    slots: async_lock::Semaphore,
    state: Mutex<ServiceState>,
    mixed_answers: Mutex<MixedAnswers<String>>,
}

struct ServiceState {
    latency: Duration,
    failures: FailureShares,
    random: fastrand::Rng,
    present: ServiceLoad,
    load: LaggedState<ServiceLoad>,
    running: BTreeMap<u64, RunRecorder>,
}

impl FakeService {
    /// Starts a service on a loopback port.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if no port is available.
    pub fn start(options: ServiceOptions) -> Result<Self, Report<ListenError>> {
        let idle = ServiceLoad { running: 0, waiting: 0, capacity: options.capacity };
        let state = ServiceState {
            latency: options.latency,
            failures: options.failures,
            random: fastrand::Rng::with_seed(options.seed),
            present: idle,
            load: LaggedState::new(options.load_lag, idle),
            running: BTreeMap::new(),
        };
        let shared = Arc::new(ServiceShared {
            server: RestartableServer::reserve()?,
            gate: FaultGate::new(),
            slots: async_lock::Semaphore::new(options.capacity),
            state: Mutex::new(state),
            mixed_answers: Mutex::default(),
            options,
        });
        shared.restart()?;
        Ok(Self { owner: Arc::new(ServiceOwner(shared)) })
    }

    /// The address of the HTTP API; it stays the same after a restart.
    pub fn address(&self) -> SocketAddr {
        self.shared().server.address()
    }

    /// The upstream name in the run log.
    pub fn name(&self) -> &UpstreamName {
        &self.shared().options.name
    }

    /// The log in which its runs are recorded.
    pub fn run_log(&self) -> &RunLog {
        &self.shared().options.run_log
    }

    /// False while it is crashed.
    pub fn is_serving(&self) -> bool {
        // Takes the lock because a start begins before its port is open.
        let _state = lock(&self.shared().state);
        self.shared().gate.start().is_some()
    }

    /// The current load, without the lag of the reports.
    pub fn current_load(&self) -> ServiceLoad {
        lock(&self.shared().state).present
    }

    /// Number of runs of an idempotency key at this service.
    pub fn runs_of_key(&self, key: &str) -> usize {
        self.count_own(&self.run_log().runs_of_key(key))
    }

    /// Number of runs of a marked call at this service.
    pub fn runs_of(&self, marker: &RunMarker) -> usize {
        self.count_own(&self.run_log().runs_of(marker))
    }

    fn count_own(&self, runs: &[RunRecord]) -> usize {
        runs.iter().filter(|run| run.start.upstream == *self.name()).count()
    }

    /// Crashes: all connections break and the port refuses connections.
    pub fn crash(&self) {
        self.shared().crash(None);
    }

    /// Starts again on the same port.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if the port can't be opened.
    pub fn restart(&self) -> Result<(), Report<ListenError>> {
        self.shared().restart()
    }

    /// Freezes or unfreezes it: a frozen service keeps its connections and answers no calls.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared().gate.set_frozen(frozen);
    }

    /// Sets the duration of calls that start later.
    pub fn set_latency(&self, latency: Duration) {
        lock(&self.shared().state).latency = latency;
    }

    /// Sets the shares of the calls that fail.
    pub fn set_failures(&self, failures: FailureShares) {
        lock(&self.shared().state).failures = failures;
    }

    /// While on, answers each call with the answer and the headers of the call before it.
    pub fn set_mixed_answers(&self, on: bool) {
        lock(&self.shared().mixed_answers).set(on);
    }

    fn shared(&self) -> &Arc<ServiceShared> {
        &self.owner.0
    }
}

impl ServiceShared {
    fn restart(self: &Arc<Self>) -> Result<(), Report<ListenError>> {
        let mut state = lock(&self.state);
        let Some(start) = self.gate.begin() else {
            return Ok(());
        };
        state.load = LaggedState::new(self.options.load_lag, state.present);
        let served = self.server.serve(http::routes(self.clone(), start));
        if served.is_err() {
            self.gate.end(None);
        }
        served
    }

    /// Ends the current start, or only the given one.
    fn crash(&self, only: Option<StartNumber>) {
        let mut state = lock(&self.state);
        if !self.gate.end(only) {
            return;
        }
        // Records the crash before it breaks connections: a caller may retry at once, and the log
        // must not show two concurrent runs where there was one.
        let now = ClockTime::now();
        for recorder in std::mem::take(&mut state.running).into_values() {
            recorder.end(RunEnd::Crashed, now);
        }
        self.server.stop();
    }

    /// Restarts after `restart_after`, unless the service has been started since that crash.
    fn restart_later(self: &Arc<Self>, crashed: StartNumber) {
        let Some(time) = self.options.restart_after else {
            return;
        };
        let restart = move |shared: &Arc<Self>| {
            if shared.gate.newest_start() == crashed {
                shared.restart().expect("the port is reserved for this service");
            }
        };
        run_after(self, time, restart);
    }

    fn change_load(&self, change: impl FnOnce(&mut ServiceLoad)) {
        let mut state = lock(&self.state);
        change(&mut state.present);
        let present = state.present;
        state.load.record(present, ClockTime::now());
    }

    fn reported_load(&self) -> (u64, ServiceLoad) {
        lock(&self.state).load.visible(ClockTime::now())
    }

    /// Decides at random whether the next call fails.
    fn next_call_fails(&self, share_of: impl Fn(&FailureShares) -> f64) -> bool {
        let mut state = lock(&self.state);
        let share = share_of(&state.failures);
        state.random.f64() < share
    }
}
