//! The fault state of a fake server (frozen, crashed or running), on which its calls wait.

use std::sync::Mutex;
use std::time::Duration;

use event_listener::Event;
use futures_lite::future;
use serde::Serialize;
use smol::Timer;

use crate::restartable_server::lock;

/// Number of a server start. Calls of an earlier start must not continue after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct StartNumber(u64);

/// The server crashed during the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ServerDown;

/// Blocks calls while a server is frozen, and aborts them when it crashes.
pub(crate) struct FaultGate {
    state: Mutex<GateState>,
    changed: Event,
}

struct GateState {
    frozen: bool,
    serving: bool,
    start: u64,
}

impl FaultGate {
    /// The gate of a server that has not started yet.
    pub(crate) fn new() -> Self {
        let state = GateState { frozen: false, serving: false, start: 0 };
        Self { state: Mutex::new(state), changed: Event::new() }
    }

    /// Begins a new start; none if the server is running.
    pub(crate) fn begin(&self) -> Option<StartNumber> {
        let mut state = lock(&self.state);
        if state.serving {
            return None;
        }
        state.serving = true;
        state.frozen = false;
        state.start += 1;
        Some(StartNumber(state.start))
    }

    /// Ends the current start, or only the given one; returns false if it has ended already.
    pub(crate) fn end(&self, only: Option<StartNumber>) -> bool {
        let mut state = lock(&self.state);
        let is_match = only.is_none_or(|start| start == StartNumber(state.start));
        if !state.serving || !is_match {
            return false;
        }
        state.serving = false;
        drop(state);
        self.changed.notify(usize::MAX);
        true
    }

    /// Freezes or unfreezes the server.
    pub(crate) fn set_frozen(&self, frozen: bool) {
        lock(&self.state).frozen = frozen;
        self.changed.notify(usize::MAX);
    }

    /// The current start; none while the server is down.
    pub(crate) fn start(&self) -> Option<StartNumber> {
        let state = lock(&self.state);
        state.serving.then_some(StartNumber(state.start))
    }

    /// The newest start, running or ended.
    pub(crate) fn newest_start(&self) -> StartNumber {
        StartNumber(lock(&self.state).start)
    }

    /// Waits until the server is not frozen; an error if the start ends first.
    pub(crate) async fn wait_open(&self, start: StartNumber) -> Result<(), ServerDown> {
        loop {
            let listener = self.changed.listen();
            match self.is_open(start)? {
                true => return Ok(()),
                false => listener.await,
            }
        }
    }

    /// Waits until the given start has ended.
    pub(crate) async fn wait_end(&self, start: StartNumber) -> ServerDown {
        loop {
            let listener = self.changed.listen();
            match self.is_open(start) {
                Err(down) => return down,
                Ok(_) => listener.await,
            }
        }
    }

    /// Waits for a time; an error if the start ends first.
    pub(crate) async fn delay(&self, start: StartNumber, time: Duration) -> Result<(), ServerDown> {
        let elapsed = async {
            Timer::after(time).await;
            Ok(())
        };
        let ended = async { Err(self.wait_end(start).await) };
        future::or(elapsed, ended).await
    }

    fn is_open(&self, start: StartNumber) -> Result<bool, ServerDown> {
        let state = lock(&self.state);
        if !state.serving || StartNumber(state.start) != start {
            return Err(ServerDown);
        }
        Ok(!state.frozen)
    }
}
