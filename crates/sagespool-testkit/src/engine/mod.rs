//! A stand-in of a model engine.
//!
//! It batches continuously, caches prompt prefixes, and answers each prompt with words that
//! depend on nothing but the prompt, so that a caller's whole answer can be checked. It runs
//! in the process that starts it, on a port that the system chooses.

mod answer;
mod batch;
mod cache;
mod http;
mod load;
mod options;
mod orders;
mod pace;
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
use cache::PrefixUses;
pub use cache::{CacheChange, CacheEvent, PrefixCounts, prefix_digest};
pub use load::EngineLoad;
pub use options::EngineOptions;
use orders::OrderBook;
pub use orders::{AdapterName, EngineOrder, FencedOrder, OrderRecord};
use pace::EnginePace;
pub(crate) use request::is_poisonous;
use ticker::keep_ticking;

use crate::crossing::CrossedAnswers;
use crate::fault_gate::{FaultGate, StandGone, StartNumber};
use crate::stand_server::{ListenError, StandServer, do_later, lock};
use crate::witness::RunLog;

/// A model engine stand-in. Clones are the same engine; the last one dropped ends it.
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

/// What the stand, its server and its ticker share.
pub(crate) struct EngineShared {
    options: Arc<EngineOptions>,
    server: StandServer,
    gate: FaultGate,
    state: Mutex<EngineState>,
    crossed: Mutex<CrossedAnswers<AnswerSeed>>,
    prefix_uses: Arc<PrefixUses>,
    /// Notified when something runs after an idle time.
    work_came: Event,
    /// Notified when the cache has a new event.
    feed_grown: Event,
}

struct EngineState {
    pace: EnginePace,
    batch: EngineBatch,
    orders: OrderBook,
}

impl FakeEngine {
    /// Starts an engine on a port of the loopback interface.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if no port can be listened on.
    pub fn start(options: EngineOptions) -> Result<Self, Report<ListenError>> {
        let options = Arc::new(options);
        let now = ClockTime::now();
        let prefix_uses = Arc::new(PrefixUses::default());
        let state = EngineState {
            pace: EnginePace::default(),
            batch: EngineBatch::new(options.clone(), prefix_uses.clone(), now),
            orders: OrderBook::new(options.honours_fences),
        };
        let shared = Arc::new(EngineShared {
            options,
            server: StandServer::reserve()?,
            gate: FaultGate::new(),
            state: Mutex::new(state),
            crossed: Mutex::default(),
            prefix_uses,
            work_came: Event::new(),
            feed_grown: Event::new(),
        });
        shared.restart()?;
        SmolRuntime::default().spawn(keep_ticking(Arc::downgrade(&shared)));
        Ok(Self { owner: Arc::new(EngineOwner(shared)) })
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
    pub fn current_load(&self) -> EngineLoad {
        let state = lock(&self.shared().state);
        state.batch.current_load(state.pace)
    }

    /// Every order that reached it, in order.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.shared().state).orders.records()
    }

    /// Crashes: every connection breaks, the port refuses, and cache, queue and loaded
    /// models are lost. Does nothing if it lies crashed already.
    pub fn crash(&self) {
        self.shared().crash(None);
    }

    /// Starts again on the same port, with the models of its first start.
    ///
    /// # Errors
    ///
    /// [`ListenError::Listen`] if the port can't be listened on.
    pub fn restart(&self) -> Result<(), Report<ListenError>> {
        self.shared().restart()
    }

    /// Freezes or thaws it: a frozen engine keeps its connections, makes no tokens and
    /// answers no call.
    pub fn set_frozen(&self, frozen: bool) {
        let shared = self.shared();
        shared.change_pace(|pace| pace.frozen = frozen);
        shared.gate.set_frozen(frozen);
    }

    /// Makes all its work take so many times as long; 1 is its usual pace.
    pub fn set_slow_factor(&self, factor: f64) {
        assert!(factor > 0.0, "a slow factor is above 0");
        self.shared().change_pace(|pace| pace.slow_factor = factor);
    }

    /// Breaks the connections of a share of the runs in the middle of their streams, from 0 to
    /// 1, while the engine itself stays well; applies to runs that start from now on.
    pub fn set_break_share(&self, share: f64) {
        assert!((0.0..=1.0).contains(&share), "a share is from 0 to 1");
        self.shared().change_pace(|pace| pace.break_share = share);
    }

    /// From now on gives each call the answer to the call before it, as that one's, or ends that.
    pub fn set_mixed_answers(&self, on: bool) {
        lock(&self.shared().crossed).set(on);
    }

    /// How many runs found their prefix cached, over all of its starts.
    pub fn prefix_counts(&self) -> PrefixCounts {
        self.shared().prefix_uses.counts()
    }

    fn shared(&self) -> &Arc<EngineShared> {
        &self.owner.0
    }
}

impl EngineShared {
    /// Does something with the batch of a start, and then what that led to.
    ///
    /// # Errors
    ///
    /// The start has ended. Without this check a request that was being read when the engine
    /// crashed would run in the next start, though its connection is gone.
    fn with_batch<T>(
        self: &Arc<Self>,
        start: StartNumber,
        action: impl FnOnce(&mut EngineBatch, EnginePace, ClockTime) -> T,
    ) -> Result<T, StandGone> {
        let mut state = lock(&self.state);
        if self.gate.start() != Some(start) {
            return Err(StandGone);
        }
        let pace = state.pace;
        let was_busy = state.batch.is_busy();
        let newest_event = state.batch.feed.newest();
        let outcome = action(&mut state.batch, pace, ClockTime::now());
        let poisoned = state.batch.is_poisoned();
        let work_came = !was_busy && state.batch.is_busy();
        let feed_grown = state.batch.feed.newest() > newest_event;
        drop(state);
        if work_came {
            self.work_came.notify(usize::MAX);
        }
        if feed_grown {
            self.feed_grown.notify(usize::MAX);
        }
        if poisoned {
            self.crash(Some(start));
            self.restart_later(start);
        }
        Ok(outcome)
    }

    fn change_pace(&self, change: impl FnOnce(&mut EnginePace)) {
        let mut state = lock(&self.state);
        let now = ClockTime::now();
        let old_pace = state.pace;
        state.batch.advance(old_pace, now);
        change(&mut state.pace);
        let new_pace = state.pace;
        state.batch.note_load(new_pace, now);
    }

    /// Ends the present start, or only the given one.
    fn crash(&self, only: Option<StartNumber>) {
        let mut state = lock(&self.state);
        if !self.gate.end(only) {
            return;
        }
        // First the log, as a caller that sees its connection break may send its request
        // again at once: the log must not show two runs at a time where there was one.
        state.batch.note_crash(ClockTime::now());
        self.server.stop();
        state.batch.break_streams();
    }

    fn restart(self: &Arc<Self>) -> Result<(), Report<ListenError>> {
        let mut state = lock(&self.state);
        let Some(start) = self.gate.begin() else {
            return Ok(());
        };
        state.pace.frozen = false;
        let (options, prefix_uses) = (self.options.clone(), self.prefix_uses.clone());
        state.batch = EngineBatch::new(options, prefix_uses, ClockTime::now());
        let served = self.server.serve(http::routes(self.clone(), start));
        if served.is_err() {
            self.gate.end(None);
        }
        served
    }

    /// Starts again some time after a poisonous prompt, unless somebody did so before.
    fn restart_later(self: &Arc<Self>, crashed: StartNumber) {
        let Some(time) = self.options.restart_after else {
            return;
        };
        let restart = move |stand: &Arc<Self>| {
            if stand.gate.newest_start() == crashed {
                stand.restart().expect("the port is held for this stand");
            }
        };
        do_later(self, time, restart);
    }
}
