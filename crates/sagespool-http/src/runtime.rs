//! trillium's runtime on smol's global executor.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{FutureExt, Stream, StreamExt};
use smol::Timer;
use trillium_server_common::{DroppableFuture, Runtime, RuntimeTrait};

/// trillium's runtime, which spawns on smol's global executor.
#[derive(Debug, Clone, Copy, Default)]
pub struct SharedRuntime;

/// A task that is detached, not cancelled, when dropped.
struct DetachedTask<T>(Option<smol::Task<T>>);

impl<T> Drop for DetachedTask<T> {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.detach();
        }
    }
}

impl<T> DetachedTask<T> {
    /// The task's result; `None` if it panicked.
    async fn join(mut self) -> Option<T> {
        let task = self.0.as_mut()?;
        let result = AssertUnwindSafe(task).catch_unwind().await.ok();
        self.0 = None;
        result
    }
}

impl RuntimeTrait for SharedRuntime {
    fn spawn<Fut>(
        &self,
        future: Fut,
    ) -> DroppableFuture<impl Future<Output = Option<Fut::Output>> + Send + 'static>
    where
        Fut: Future + Send + 'static,
        Fut::Output: Send + 'static,
    {
        DroppableFuture::new(DetachedTask(Some(smol::spawn(future))).join())
    }

    fn spawn_detached<Fut>(&self, future: Fut)
    where
        Fut: Future<Output = ()> + Send + 'static,
    {
        smol::spawn(future).detach();
    }

    async fn delay(&self, duration: Duration) {
        Timer::after(duration).await;
    }

    fn interval(&self, period: Duration) -> impl Stream<Item = ()> + Send + 'static {
        Timer::interval(period).map(|_| ())
    }

    fn block_on<Fut: Future>(&self, future: Fut) -> Fut::Output {
        smol::block_on(future)
    }
}

impl From<SharedRuntime> for Runtime {
    fn from(runtime: SharedRuntime) -> Self {
        Arc::new(runtime).into()
    }
}
