//! Timeouts for futures.

use std::time::Duration;

use futures_lite::future::or;
use smol::Timer;

/// The output of a future, or `None` if it isn't ready within a limit. The future
/// is polled first, so one that is ready registers no timer.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::after(limit).await;
        None
    };
    or(async { Some(future.await) }, timer).await
}

/// The interval at which [`within_ticks`] counts time.
const TICK: Duration = Duration::from_millis(100);

/// As [`within`], but a period in which this process did not run counts as one
/// tick, however long it was.
///
/// Guards against a process that is paused, or gets no processor time, while it
/// waits for a peer that replies at once: a single timer would expire before the
/// reply is read, and a healthy peer would be considered unreachable.
pub(crate) async fn within_ticks<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        for _ in 0..limit.as_millis().div_ceil(TICK.as_millis()) {
            Timer::after(TICK).await;
        }
        None
    };
    or(async { Some(future.await) }, timer).await
}
