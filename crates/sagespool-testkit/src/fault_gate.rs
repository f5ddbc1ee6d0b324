//! The state of a stand that its requests wait on: frozen, crashed or well.

use std::sync::Mutex;
use std::time::Duration;

use event_listener::Event;
use futures_lite::future;
use serde::Serialize;
use smol::Timer;

use crate::stand_server::lock;

/// One start of a stand. Requests of an earlier start must not go on after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct StartNumber(u64);

/// The stand crashed under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StandGone;

/// Holds requests back while a stand is frozen, and ends them when it crashes.
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
    /// The gate of a stand that doesn't serve yet.
    pub(crate) fn new() -> Self {
        let state = GateState { frozen: false, serving: false, start: 0 };
        Self { state: Mutex::new(state), changed: Event::new() }
    }

    /// A new start; none if the stand serves already.
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

    /// The present start ends, or only the given one; false if it has ended already.
    pub(crate) fn end(&self, only: Option<StartNumber>) -> bool {
        let mut state = lock(&self.state);
        let is_meant = only.is_none_or(|start| start == StartNumber(state.start));
        if !state.serving || !is_meant {
            return false;
        }
        state.serving = false;
        drop(state);
        self.changed.notify(usize::MAX);
        true
    }

    /// Freezes or thaws the stand.
    pub(crate) fn set_frozen(&self, frozen: bool) {
        lock(&self.state).frozen = frozen;
        self.changed.notify(usize::MAX);
    }

    /// The present start, if the stand serves.
    pub(crate) fn start(&self) -> Option<StartNumber> {
        let state = lock(&self.state);
        state.serving.then_some(StartNumber(state.start))
    }

    /// The newest start, whether it still serves or not.
    pub(crate) fn newest_start(&self) -> StartNumber {
        StartNumber(lock(&self.state).start)
    }

    /// Waits while the stand is frozen.
    pub(crate) async fn pass(&self, start: StartNumber) -> Result<(), StandGone> {
        loop {
            let listener = self.changed.listen();
            match self.is_open(start)? {
                true => return Ok(()),
                false => listener.await,
            }
        }
    }

    /// Ends when the given start does.
    pub(crate) async fn ended(&self, start: StartNumber) -> StandGone {
        loop {
            let listener = self.changed.listen();
            match self.is_open(start) {
                Err(gone) => return gone,
                Ok(_) => listener.await,
            }
        }
    }

    /// Waits for a time, or until the start ends.
    pub(crate) async fn delay(&self, start: StartNumber, time: Duration) -> Result<(), StandGone> {
        let elapsed = async {
            Timer::after(time).await;
            Ok(())
        };
        let ended = async { Err(self.ended(start).await) };
        future::or(elapsed, ended).await
    }

    fn is_open(&self, start: StartNumber) -> Result<bool, StandGone> {
        let state = lock(&self.state);
        if !state.serving || StartNumber(state.start) != start {
            return Err(StandGone);
        }
        Ok(!state.frozen)
    }
}
