//! The connections to all peers: one per address, shared by all requests.

use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use async_channel::{Receiver, Sender};
use sagespool_types::ClockTime;

use crate::LinkError;
use crate::connection::PeerConnection;

const SHARD_COUNT: usize = 16;

/// The connections by peer address, in shards with a lock each.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    hasher: RandomState,
    shards: [Mutex<HashMap<SocketAddr, PeerState>>; SHARD_COUNT],
}

#[derive(Debug, Default)]
struct PeerState {
    connection: Option<Arc<PeerConnection>>,
    waiter: Option<PreparationWaiter>,
}

/// The result of a preparation: a connection whose peer has just replied.
pub(crate) type PreparationResult = Result<Arc<PeerConnection>, LinkError>;

/// Waits for a connection that is being opened or probed. Any number of requests
/// share one.
#[derive(Debug, Clone)]
pub(crate) struct PreparationWaiter {
    outcome: Arc<OnceLock<PreparationResult>>,
    done: Receiver<()>,
}

/// The preparation of a connection; dropping it wakes the waiters.
#[derive(Debug)]
pub(crate) struct PreparationTask {
    outcome: Arc<OnceLock<PreparationResult>>,
    /// The existing connection, to be probed first.
    pub(crate) stale: Option<Arc<PeerConnection>>,
    _done: Sender<()>,
}

/// The result of looking up a connection for a request.
pub(crate) enum ConnectionLookup {
    /// A connection with recent contact.
    Ready(Arc<PeerConnection>),
    /// Another request prepares one; wait for it.
    Wait(PreparationWaiter),
    /// Prepare one, and wait for it like the others.
    Prepare(PreparationWaiter, PreparationTask),
}

impl PreparationWaiter {
    fn begin(stale: Option<Arc<PeerConnection>>) -> (Self, PreparationTask) {
        let (sender, done) = async_channel::bounded(1);
        let outcome = Arc::new(OnceLock::new());
        let task = PreparationTask { outcome: outcome.clone(), stale, _done: sender };
        (Self { outcome, done }, task)
    }

    fn is_abandoned(&self) -> bool {
        self.done.is_closed()
    }

    /// Waits for the outcome; `None` if the task was abandoned.
    pub(crate) async fn wait(&self) -> Option<PreparationResult> {
        // Nothing is ever sent: the channel closes when the task is dropped.
        let _ = self.done.recv().await;
        self.outcome.get().cloned()
    }
}

impl PeerTable {
    fn shard(&self, peer: SocketAddr) -> MutexGuard<'_, HashMap<SocketAddr, PeerState>> {
        let shard_index = self.hasher.hash_one(peer) as usize % SHARD_COUNT;
        self.shards[shard_index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks up the connection to a peer. Only one of several concurrent requests
    /// gets [`ConnectionLookup::Prepare`].
    pub(crate) fn get_or_prepare(&self, peer: SocketAddr, now: ClockTime) -> ConnectionLookup {
        let mut shard = self.shard(peer);
        let state = shard.entry(peer).or_default();
        if let Some(connection) = &state.connection
            && connection.is_fresh(now)
        {
            return ConnectionLookup::Ready(connection.clone());
        }
        if let Some(waiter) = &state.waiter
            && !waiter.is_abandoned()
        {
            return ConnectionLookup::Wait(waiter.clone());
        }
        let (waiter, task) = PreparationWaiter::begin(state.connection.clone());
        state.waiter = Some(waiter.clone());
        ConnectionLookup::Prepare(waiter, task)
    }

    /// Ends a preparation and passes its outcome to all waiters.
    pub(crate) fn complete_preparation(
        &self,
        peer: SocketAddr,
        task: PreparationTask,
        outcome: PreparationResult,
    ) {
        let mut shard = self.shard(peer);
        let state = shard.entry(peer).or_default();
        state.waiter = None;
        if let Ok(connection) = &outcome {
            state.connection = Some(connection.clone());
        }
        if state.connection.is_none() {
            shard.remove(&peer);
        }
        // Can't be set already: only this task sets it.
        let _ = task.outcome.set(outcome);
    }

    /// Uses a connection that a peer has opened. The newest replaces an older one:
    /// a peer opens one when it has none, so the older one most likely belongs to
    /// a previous process at that address.
    pub(crate) fn set_connection(&self, peer: SocketAddr, connection: Arc<PeerConnection>) {
        self.shard(peer).entry(peer).or_default().connection = Some(connection);
    }

    /// Removes a connection, unless another has replaced it.
    pub(crate) fn remove(&self, peer: SocketAddr, connection: &Arc<PeerConnection>) {
        let mut shard = self.shard(peer);
        let Some(state) = shard.get_mut(&peer) else {
            return;
        };
        if state.connection.as_ref().is_some_and(|current| Arc::ptr_eq(current, connection)) {
            state.connection = None;
        }
        if state.connection.is_none() && state.waiter.is_none() {
            shard.remove(&peer);
        }
    }
}
