//! The threads that run a proxy's tasks, separate from those of the test.

use std::future::Future;
use std::sync::{Arc, Weak};
use std::thread::{self, JoinHandle};

use async_channel::{Receiver, Sender};
use error_stack::{Report, ResultExt};
use smol::Executor;

use crate::loopback_server::StartError;

const THREAD_COUNT: usize = 2;

/// The executor threads of a proxy; dropping them ends their tasks.
pub(super) struct ProxyThreads {
    executor: Arc<Executor<'static>>,
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

/// Spawns tasks on the proxy's threads. It has a weak reference because the tasks own spawners
/// themselves and would otherwise never be dropped.
#[derive(Debug, Clone)]
pub(super) struct TaskSpawner {
    executor: Weak<Executor<'static>>,
}

impl ProxyThreads {
    pub(super) fn start() -> Result<Self, Report<StartError>> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded(1);
        let threads = (0..THREAD_COUNT)
            .map(|_| start_thread(executor.clone(), stopped.clone()))
            .collect::<Result<_, _>>()?;
        Ok(Self { executor, stop, threads })
    }

    pub(super) fn spawner(&self) -> TaskSpawner {
        TaskSpawner { executor: Arc::downgrade(&self.executor) }
    }
}

fn start_thread(
    executor: Arc<Executor<'static>>,
    stopped: Receiver<()>,
) -> Result<JoinHandle<()>, Report<StartError>> {
    let run = move || {
        // An error means that the channel was closed, which is the signal to stop.
        let _ = smol::block_on(executor.run(stopped.recv()));
    };
    let builder = thread::Builder::new().name("fault-proxy".to_owned());
    builder.spawn(run).change_context(StartError { component: "the fault proxy" })
}

impl Drop for ProxyThreads {
    fn drop(&mut self) {
        self.stop.close();
        for thread in self.threads.drain(..) {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

impl TaskSpawner {
    /// Runs a task until it ends or the proxy is dropped.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
