//! The connections to all peers: one for each address, shared by all requests.

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

/// The connections by peer, in shards under a lock each.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    hasher: RandomState,
    shards: [Mutex<HashMap<SocketAddr, PeerSlot>>; SHARD_COUNT],
}

#[derive(Debug, Default)]
struct PeerSlot {
    connection: Option<Arc<PeerConnection>>,
    preparation: Option<PeerPreparation>,
}

/// What a preparation gives: a connection whose peer just answered.
pub(crate) type PreparedConnection = Result<Arc<PeerConnection>, LinkError>;

/// A connection being made or tried, which any number of requests wait for.
#[derive(Debug, Clone)]
pub(crate) struct PeerPreparation {
    outcome: Arc<OnceLock<PreparedConnection>>,
    done: Receiver<()>,
}

/// The side of a preparation that does the work; dropping it wakes the waiters.
#[derive(Debug)]
pub(crate) struct PreparationWork {
    outcome: Arc<OnceLock<PreparedConnection>>,
    /// The connection that was there before, to be tried first.
    pub(crate) stale: Option<Arc<PeerConnection>>,
    _done: Sender<()>,
}

/// How a request comes to a connection.
pub(crate) enum PeerAccess {
    /// Use this one.
    Ready(Arc<PeerConnection>),
    /// Somebody prepares one: wait.
    Wait(PeerPreparation),
    /// Prepare one, and wait like the others.
    Prepare(PeerPreparation, PreparationWork),
}

impl PeerPreparation {
    fn begin(stale: Option<Arc<PeerConnection>>) -> (Self, PreparationWork) {
        let (sender, done) = async_channel::bounded(1);
        let outcome = Arc::new(OnceLock::new());
        let work = PreparationWork { outcome: outcome.clone(), stale, _done: sender };
        (Self { outcome, done }, work)
    }

    fn is_abandoned(&self) -> bool {
        self.done.is_closed()
    }

    /// Waits for the outcome; nothing if the work was abandoned.
    pub(crate) async fn wait(&self) -> Option<PreparedConnection> {
        // Nothing is ever sent: the channel closes when the work is over.
        let _ = self.done.recv().await;
        self.outcome.get().cloned()
    }
}

impl PeerTable {
    fn shard(&self, peer: SocketAddr) -> MutexGuard<'_, HashMap<SocketAddr, PeerSlot>> {
        let place = self.hasher.hash_one(peer) as usize % SHARD_COUNT;
        self.shards[place].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The way to a connection to a peer. Of concurrent requests only one is
    /// told to prepare a connection.
    pub(crate) fn access(&self, peer: SocketAddr, now: ClockTime) -> PeerAccess {
        let mut shard = self.shard(peer);
        let slot = shard.entry(peer).or_default();
        if let Some(connection) = &slot.connection
            && connection.is_fresh(now)
        {
            return PeerAccess::Ready(connection.clone());
        }
        if let Some(preparation) = &slot.preparation
            && !preparation.is_abandoned()
        {
            return PeerAccess::Wait(preparation.clone());
        }
        let (preparation, work) = PeerPreparation::begin(slot.connection.clone());
        slot.preparation = Some(preparation.clone());
        PeerAccess::Prepare(preparation, work)
    }

    /// Ends a preparation with its outcome, for all who wait.
    pub(crate) fn prepared(
        &self,
        peer: SocketAddr,
        work: PreparationWork,
        outcome: PreparedConnection,
    ) {
        let mut shard = self.shard(peer);
        let slot = shard.entry(peer).or_default();
        slot.preparation = None;
        if let Ok(connection) = &outcome {
            slot.connection = Some(connection.clone());
        }
        if slot.connection.is_none() {
            shard.remove(&peer);
        }
        // Only this side ever sets it.
        let _ = work.outcome.set(outcome);
    }

    /// Uses a connection that a peer made. The newest is the best: a peer makes
    /// one when it has none, so an older one is most likely its predecessor's.
    pub(crate) fn adopt(&self, peer: SocketAddr, connection: Arc<PeerConnection>) {
        self.shard(peer).entry(peer).or_default().connection = Some(connection);
    }

    /// Forgets a connection that is of no more use.
    pub(crate) fn forget(&self, peer: SocketAddr, connection: &Arc<PeerConnection>) {
        let mut shard = self.shard(peer);
        let Some(slot) = shard.get_mut(&peer) else {
            return;
        };
        if slot.connection.as_ref().is_some_and(|held| Arc::ptr_eq(held, connection)) {
            slot.connection = None;
        }
        if slot.connection.is_none() && slot.preparation.is_none() {
            shard.remove(&peer);
        }
    }
}
