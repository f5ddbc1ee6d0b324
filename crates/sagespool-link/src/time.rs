//! Bounds on how long something may take.

use std::time::Duration;

use futures_lite::future::or;
use smol::Timer;

/// What a future gives, or nothing if that takes longer than a limit. The
/// future is polled first, so one that is ready costs no timer.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::after(limit).await;
        None
    };
    or(async { Some(future.await) }, timer).await
}

/// How often [`within_ticks`] looks at the clock.
const TICK: Duration = Duration::from_millis(100);

/// As [`within`], but a stretch in which this process did not run counts as one
/// tick, however long it was.
///
/// Guards against a process that is paused, or starved of its processor, while
/// it waits for a peer that answers at once: by a plain timer its time would be
/// up before it reads the answer, and a peer that is well would seem gone.
pub(crate) async fn within_ticks<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        for _ in 0..limit.as_millis().div_ceil(TICK.as_millis()) {
            Timer::after(TICK).await;
        }
        None
    };
    or(async { Some(future.await) }, timer).await
}
