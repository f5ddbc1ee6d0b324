//! The work of an engine as time goes on.

use std::sync::{Arc, Weak};
use std::time::Duration;

use smol::Timer;

use super::EngineShared;

/// The longest an idle ticker sleeps, so that it notices that its engine is gone.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// Lets an engine work, tick by tick, for as long as it exists.
pub(super) async fn keep_ticking(engine: Weak<EngineShared>) {
    loop {
        let Some(shared) = engine.upgrade() else {
            return;
        };
        let tick = shared.options.tick;
        let work_came = shared.work_came.listen();
        if shared.tick() {
            drop(work_came);
            drop(shared);
            Timer::after(tick).await;
        } else {
            drop(shared);
            futures_lite::future::or(work_came, wait_idle()).await;
        }
    }
}

impl EngineShared {
    /// Does the work since the last tick; whether there is more to do.
    fn tick(self: &Arc<Self>) -> bool {
        let Some(start) = self.gate.start() else {
            return false;
        };
        let busy = self.with_batch(start, |batch, pace, now| {
            batch.advance(pace, now);
            batch.is_busy()
        });
        busy.unwrap_or(false)
    }
}

async fn wait_idle() {
    Timer::after(IDLE_TICK).await;
}
