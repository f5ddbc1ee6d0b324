//! A stand-in of a plain service: it takes any call, and notes how often each ran.

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

use crate::crossing::MixedAnswers;
use crate::fault_gate::{FaultGate, StartNumber};
use crate::lagged::LaggedState;
use crate::stand_server::{ListenError, RestartableServer, lock, run_after};
use crate::witness::{RunEnd, RunLog, RunMarker, RunRecord, RunRecorder};

/// How a service stand behaves.
#[derive(Clone, Builder)]
pub struct ServiceOptions {
    /// Its name in the run log.
    pub name: UpstreamName,
    /// Calls that run at once; more wait.
    #[builder(default = 64)]
    pub capacity: usize,
    /// Time that a call takes.
    #[builder(default = Duration::from_millis(5))]
    pub latency: Duration,
    /// Which share of the calls fails, and how.
    #[builder(default)]
    pub failures: FailureShares,
    /// How old the load is that it reports.
    #[builder(default = Duration::from_millis(200))]
    pub load_lag: Duration,
    /// Time from a crash by a poisonous call to its restart; none: it stays down.
    #[builder(required, default = Some(Duration::from_secs(1)))]
    pub restart_after: Option<Duration>,
    /// Where it notes its runs.
    #[builder(default)]
    pub run_log: RunLog,
    /// Decides which calls fail.
    #[builder(default = 1)]
    pub seed: u64,
}

/// Shares of a service's calls that fail, each from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FailureShares {
    /// Answered with 500, and not run.
    pub before_running: f64,
    /// Run, but the connection breaks instead of an answer.
    pub after_running: f64,
}

derives! { value;
    /// A service's load at some moment.
    pub struct ServiceLoad {
        /// Calls that run.
        pub running: usize,
        /// Calls that wait.
        pub waiting: usize,
        /// Calls that can run at once.
        pub capacity: usize,
    }
}

/// The body of the answer to a call; `path` is path and query as they were sent.
pub fn service_answer(path: &str, body: &[u8]) -> String {
    let path_hash = XxHash3_64::oneshot(path.as_bytes());
    let digest = XxHash3_64::oneshot_with_seed(path_hash, body);
    json!({ "path": path, "bytes": body.len(), "digest": format!("{digest:016x}") }).to_string()
}

/// A plain service stand-in. Clones are the same service; the last one dropped ends it.
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
    /// Starts a service on a port of the loopback interface.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if no port can be listened on.
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

    /// Where it is reached, also after a restart.
    pub fn address(&self) -> SocketAddr {
        self.shared().server.address()
    }

    /// Its name.
    pub fn name(&self) -> &UpstreamName {
        &self.shared().options.name
    }

    /// Where it notes its runs.
    pub fn run_log(&self) -> &RunLog {
        &self.shared().options.run_log
    }

    /// Whether it runs, rather than lies crashed.
    pub fn is_serving(&self) -> bool {
        // Under the lock: a start begins before its port is listened on.
        let _state = lock(&self.shared().state);
        self.shared().gate.start().is_some()
    }

    /// The load at this moment, without the lag of its reports.
    pub fn current_load(&self) -> ServiceLoad {
        lock(&self.shared().state).present
    }

    /// How often this service ran an idempotency key.
    pub fn runs_of_key(&self, key: &str) -> usize {
        self.count_own(&self.run_log().runs_of_key(key))
    }

    /// How often this service ran a marked call.
    pub fn runs_of(&self, marker: &RunMarker) -> usize {
        self.count_own(&self.run_log().runs_of(marker))
    }

    fn count_own(&self, runs: &[RunRecord]) -> usize {
        runs.iter().filter(|run| run.start.upstream == *self.name()).count()
    }

    /// Crashes: every connection breaks and the port refuses.
    pub fn crash(&self) {
        self.shared().crash(None);
    }

    /// Starts again on the same port.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if the port can't be listened on.
    pub fn restart(&self) -> Result<(), Report<ListenError>> {
        self.shared().restart()
    }

    /// Freezes or thaws it: a frozen service keeps its connections and answers no call.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared().gate.set_frozen(frozen);
    }

    /// Changes the time that a call takes, for calls that start from now on.
    pub fn set_latency(&self, latency: Duration) {
        lock(&self.shared().state).latency = latency;
    }

    /// Changes which share of the calls fails.
    pub fn set_failures(&self, failures: FailureShares) {
        lock(&self.shared().state).failures = failures;
    }

    /// From now on gives each call the answer to the call before it, as that one's, or ends that.
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

    /// Ends the present start, or only the given one.
    fn crash(&self, only: Option<StartNumber>) {
        let mut state = lock(&self.state);
        if !self.gate.end(only) {
            return;
        }
        // First the log, as a caller that sees its connection break may send its call again
        // at once: the log must not show two runs at a time where there was one.
        let now = ClockTime::now();
        for recorder in std::mem::take(&mut state.running).into_values() {
            recorder.end(RunEnd::Crashed, now);
        }
        self.server.stop();
    }

    /// Starts again some time after a poisonous call, unless somebody did so before.
    fn restart_later(self: &Arc<Self>, crashed: StartNumber) {
        let Some(time) = self.options.restart_after else {
            return;
        };
        let restart = move |shared: &Arc<Self>| {
            if shared.gate.newest_start() == crashed {
                shared.restart().expect("the port is held for this stand");
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

    /// Whether the next call is among those that fail.
    fn next_call_fails(&self, share_of: impl Fn(&FailureShares) -> f64) -> bool {
        let mut state = lock(&self.state);
        let share = share_of(&state.failures);
        state.random.f64() < share
    }
}
