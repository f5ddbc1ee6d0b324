//! A fake model engine.
//!
//! It has continuous batching and a prefix cache, and its answers depend on the prompt alone, so
//! that a caller's whole answer can be verified. It runs in the process that starts it, on a
//! loopback port assigned by the operating system.

mod answer;
mod batch;
mod cache;
mod faults;
mod http;
mod load;
mod options;
mod orders;
mod request;
mod run;
mod stream;
mod ticker;
mod weights;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use error_stack::Report;
use event_listener::Event;
use sagespool_types::{ClockTime, UpstreamName};
use trillium_smol::SmolRuntime;

use answer::AnswerSeed;
pub use answer::{answer_text, answer_token, natural_length, prompt_tokens};
use batch::EngineBatch;
use cache::PrefixCounters;
pub use cache::{CacheChange, CacheEvent, PrefixCounts, prefix_digest};
use faults::EngineFaults;
pub use load::EngineLoad;
pub use options::EngineOptions;
use orders::OrderLog;
pub use orders::{AdapterName, EngineOrder, FencedOrder, OrderRecord};
pub(crate) use request::is_poisonous;
use ticker::run_ticker;

use crate::fault_gate::{FaultGate, ServerDown, StartNumber};
use crate::mixed_answers::MixedAnswers;
use crate::restartable_server::{ListenError, RestartableServer, lock, run_after};
use crate::run_log::RunLog;

/// A fake model engine. Clones share one engine; it stops when the last one is dropped.
#[derive(Clone)]
pub struct FakeEngine {
    owner: Arc<EngineOwner>,
}

struct EngineOwner(Arc<EngineShared>);

impl Drop for EngineOwner {
    fn drop(&mut self) {
        self.0.crash(None);
    }
}

/// State shared by the engine handle, its server and its ticker.
pub(crate) struct EngineShared {
    options: Arc<EngineOptions>,
    server: RestartableServer,
    gate: FaultGate,
    state: Mutex<EngineState>,
    mixed_answers: Mutex<MixedAnswers<AnswerSeed>>,
    prefix_counters: Arc<PrefixCounters>,
    /// Notified when a request starts on an idle engine.
    work_started: Event,
    /// Notified on each new cache event.
    feed_extended: Event,
}

struct EngineState {
    faults: EngineFaults,
    batch: EngineBatch,
    orders: OrderLog,
}

impl FakeEngine {
    /// Starts an engine on a loopback port.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if no port is available.
    pub fn start(options: EngineOptions) -> Result<Self, Report<ListenError>> {
        let options = Arc::new(options);
        let now = ClockTime::now();
        let prefix_counters = Arc::new(PrefixCounters::default());
        let state = EngineState {
            faults: EngineFaults::default(),
            batch: EngineBatch::new(options.clone(), prefix_counters.clone(), now),
            orders: OrderLog::new(options.honours_fences),
        };
        let shared = Arc::new(EngineShared {
            options,
            server: RestartableServer::reserve()?,
            gate: FaultGate::new(),
            state: Mutex::new(state),
            mixed_answers: Mutex::default(),
            prefix_counters,
            work_started: Event::new(),
            feed_extended: Event::new(),
        });
        shared.restart()?;
        SmolRuntime::default().spawn(run_ticker(Arc::downgrade(&shared)));
        Ok(Self { owner: Arc::new(EngineOwner(shared)) })
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
    pub fn current_load(&self) -> EngineLoad {
        let state = lock(&self.shared().state);
        state.batch.current_load(state.faults)
    }

    /// All orders received, oldest first, over all starts.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.shared().state).orders.records()
    }

    /// Crashes: all connections break, the port refuses connections, and the cache, the queue and
    /// the loaded models are lost. Does nothing while it is crashed.
    pub fn crash(&self) {
        self.shared().crash(None);
    }

    /// Starts again on the same port, with the models of its options.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if the port can't be opened.
    pub fn restart(&self) -> Result<(), Report<ListenError>> {
        self.shared().restart()
    }

    /// Freezes or unfreezes it: a frozen engine keeps its connections, generates no tokens and
    /// answers no calls.
    pub fn set_frozen(&self, frozen: bool) {
        let shared = self.shared();
        shared.change_faults(|faults| faults.frozen = frozen);
        shared.gate.set_frozen(frozen);
    }

    /// Multiplies the time of all work by this factor; 1 is normal speed.
    pub fn set_slow_factor(&self, factor: f64) {
        assert!(factor > 0.0, "the slow factor must be above 0");
        self.shared().change_faults(|faults| faults.slow_factor = factor);
    }

    /// Sets the share of runs, 0 to 1, whose connections break in the middle of their streams
    /// while the engine keeps running; applies to runs that start later.
    pub fn set_break_share(&self, share: f64) {
        assert!((0.0..=1.0).contains(&share), "the share must be between 0 and 1");
        self.shared().change_faults(|faults| faults.break_share = share);
    }

    /// While on, answers each call with the answer and the headers of the call before it.
    pub fn set_mixed_answers(&self, on: bool) {
        lock(&self.shared().mixed_answers).set(on);
    }

    /// Hits and misses of the prefix cache, over all starts.
    pub fn prefix_counts(&self) -> PrefixCounts {
        self.shared().prefix_counters.counts()
    }

    fn shared(&self) -> &Arc<EngineShared> {
        &self.owner.0
    }
}

impl EngineShared {
    /// Applies an action to the batch of a start, then handles its effects: notifications and a
    /// crash by a poisonous prompt.
    ///
    /// # Errors
    ///
    /// If the start has ended. Without this check a request whose body was being read during a
    /// crash would run in the next start, although its connection is closed.
    fn with_batch<T>(
        self: &Arc<Self>,
        start: StartNumber,
        action: impl FnOnce(&mut EngineBatch, EngineFaults, ClockTime) -> T,
    ) -> Result<T, ServerDown> {
        let mut state = lock(&self.state);
        if self.gate.start() != Some(start) {
            return Err(ServerDown);
        }
        let faults = state.faults;
        let was_busy = state.batch.is_busy();
        let newest_event = state.batch.feed.newest();
        let outcome = action(&mut state.batch, faults, ClockTime::now());
        let poisoned = state.batch.is_poisoned();
        let work_started = !was_busy && state.batch.is_busy();
        let feed_extended = state.batch.feed.newest() > newest_event;
        drop(state);
        if work_started {
            self.work_started.notify(usize::MAX);
        }
        if feed_extended {
            self.feed_extended.notify(usize::MAX);
        }
        if poisoned {
            self.crash(Some(start));
            self.restart_later(start);
        }
        Ok(outcome)
    }

    fn change_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = lock(&self.state);
        let now = ClockTime::now();
        let old_faults = state.faults;
        state.batch.advance(old_faults, now);
        change(&mut state.faults);
        let new_faults = state.faults;
        state.batch.record_load(new_faults, now);
    }

    /// Ends the current start, or only the given one.
    fn crash(&self, only: Option<StartNumber>) {
        let mut state = lock(&self.state);
        if !self.gate.end(only) {
            return;
        }
        // Records the crash before it breaks connections: a caller may retry at once, and the log
        // must not show two concurrent runs where there was one.
        state.batch.record_crash(ClockTime::now());
        self.server.stop();
        state.batch.break_streams();
    }

    fn restart(self: &Arc<Self>) -> Result<(), Report<ListenError>> {
        let mut state = lock(&self.state);
        let Some(start) = self.gate.begin() else {
            return Ok(());
        };
        state.faults.frozen = false;
        let (options, prefix_counters) = (self.options.clone(), self.prefix_counters.clone());
        state.batch = EngineBatch::new(options, prefix_counters, ClockTime::now());
        let served = self.server.serve(http::routes(self.clone(), start));
        if served.is_err() {
            self.gate.end(None);
        }
        served
    }

    /// Restarts after `restart_after`, unless the engine has been started since that crash.
    fn restart_later(self: &Arc<Self>, crashed: StartNumber) {
        let Some(time) = self.options.restart_after else {
            return;
        };
        let restart = move |shared: &Arc<Self>| {
            if shared.gate.newest_start() == crashed {
                shared.restart().expect("the port is reserved for this engine");
            }
        };
        run_after(self, time, restart);
    }
}
