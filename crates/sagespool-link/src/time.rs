//! Bounds on how long something may take.

use std::time::Duration;

use futures_lite::future::or;
use smol::Timer;

/// What a future gives, or nothing if that takes longer than a limit. The
/// future is polled first, so one that is ready costs no timer.
pub(crate) async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::after(limit).await;
        None
    };
    or(async { Some(future.await) }, timer).await
}
