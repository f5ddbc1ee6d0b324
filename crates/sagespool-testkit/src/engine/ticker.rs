//! The ticker that advances an engine over time.

use std::sync::{Arc, Weak};
use std::time::Duration;

use smol::Timer;

use super::EngineShared;

/// The longest sleep of an idle ticker, after which it checks whether its engine still exists.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// Advances an engine at every tick until it is dropped.
pub(super) async fn run_ticker(engine: Weak<EngineShared>) {
    loop {
        let Some(shared) = engine.upgrade() else {
            return;
        };
        let tick = shared.options.tick;
        let work_started = shared.work_started.listen();
        if shared.tick() {
            drop(work_started);
            drop(shared);
            Timer::after(tick).await;
        } else {
            drop(shared);
            futures_lite::future::or(work_started, wait_idle()).await;
        }
    }
}

impl EngineShared {
    /// Performs the work since the last tick; returns true if requests still run.
    fn tick(self: &Arc<Self>) -> bool {
        let Some(start) = self.gate.start() else {
            return false;
        };
        let busy = self.with_batch(start, |batch, faults, now| {
            batch.advance(faults, now);
            batch.is_busy()
        });
        busy.unwrap_or(false)
    }
}

async fn wait_idle() {
    Timer::after(IDLE_TICK).await;
}
