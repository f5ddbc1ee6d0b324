//! The shared state of one link, and how connections are opened.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quinn::{ClientConfig, Connection, Endpoint};
use sagespool_types::ClockTime;

use crate::connection::{PeerConnection, is_handshake_refusal};
use crate::counters::TrafficMeter;
use crate::peers::{ConnectionLookup, PeerTable, PreparationResult, PreparationTask};
use crate::server::{PeerHandler, serve_connection};
use crate::time::within_ticks;
use crate::{LinkError, LinkIdentity};

/// The server name that a client sends in the handshake. It isn't verified.
const SERVER_NAME: &str = "sagespool";
/// Time limit for a new connection, including its first probe.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the reply to a probe on an idle connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The state that all tasks of a link share.
pub(crate) struct LinkShared {
    pub(crate) endpoint: Endpoint,
    pub(crate) handler: PeerHandler,
    pub(crate) meter: Arc<TrafficMeter>,
    pub(crate) peers: PeerTable,
    client_config: Mutex<ClientConfig>,
    /// Requests that are being handled, or whose reply isn't acknowledged yet.
    pub(crate) open_calls: AtomicUsize,
    closing: AtomicBool,
}

impl LinkShared {
    pub(crate) fn new(
        endpoint: Endpoint,
        identity: &LinkIdentity,
        handler: PeerHandler,
        meter: Arc<TrafficMeter>,
    ) -> Self {
        Self {
            endpoint,
            handler,
            meter,
            peers: PeerTable::default(),
            client_config: Mutex::new(identity.client_config()),
            open_calls: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
        }
    }

    pub(crate) fn replace_identity(&self, identity: &LinkIdentity) {
        *self.client_config.lock().unwrap_or_else(PoisonError::into_inner) =
            identity.client_config();
        self.endpoint.set_server_config(Some(identity.server_config()));
    }

    pub(crate) fn begin_closing(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    fn current_client_config(&self) -> ClientConfig {
        self.client_config.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A connection to a peer with recent contact; opens one if there is none.
/// Every error is [`LinkError::Unreachable`].
pub(crate) async fn connection_to(shared: &Arc<LinkShared>, peer: SocketAddr) -> PreparationResult {
    let waiter = match shared.peers.get_or_prepare(peer, ClockTime::now()) {
        ConnectionLookup::Ready(connection) => return Ok(connection),
        ConnectionLookup::Wait(waiter) => waiter,
        ConnectionLookup::Prepare(waiter, task) => {
            // In a task of its own, so that a request that times out doesn't cancel
            // the preparation for the other waiters.
            smol::spawn(prepare(shared.clone(), peer, task)).detach();
            waiter
        }
    };
    let abandoned = || Err(unreachable(peer, "the attempt to connect was abandoned"));
    waiter.wait().await.unwrap_or_else(abandoned)
}

/// The error of a request that was not sent.
pub(crate) fn unreachable(peer: SocketAddr, detail: impl ToString) -> LinkError {
    LinkError::Unreachable { peer, detail: detail.to_string() }
}

async fn prepare(shared: Arc<LinkShared>, peer: SocketAddr, mut task: PreparationTask) {
    let outcome = match task.stale.take() {
        Some(stale) if responds_to_probe(&stale).await => Ok(stale),
        Some(stale) => {
            shared.peers.remove(peer, &stale);
            stale.close_unused();
            connect(&shared, peer).await
        }
        None => connect(&shared, peer).await,
    };
    shared.peers.complete_preparation(peer, task, outcome);
}

async fn responds_to_probe(connection: &Arc<PeerConnection>) -> bool {
    matches!(within_ticks(PROBE_TIMEOUT, connection.probe()).await, Some(Ok(())))
}

async fn connect(shared: &Arc<LinkShared>, peer: SocketAddr) -> PreparationResult {
    if shared.is_closing() {
        return Err(unreachable(peer, "the link of this process is closing"));
    }
    let attempt = within_ticks(CONNECT_TIMEOUT, handshake(shared, peer)).await;
    attempt.unwrap_or_else(|| Err(unreachable(peer, "the handshake or the first probe timed out")))
}

/// Opens a connection and waits for the reply to a probe on it.
///
/// The handshake alone doesn't show that the peer accepts this process: a client
/// of TLS 1.3 completes it before the server verifies the client's certificate. A
/// request written at once would be in doubt although the peer refused to read it.
async fn handshake(shared: &Arc<LinkShared>, peer: SocketAddr) -> PreparationResult {
    let connecting = shared
        .endpoint
        .connect_with(shared.current_client_config(), peer, SERVER_NAME)
        .map_err(|error| unreachable(peer, error))?;
    let quic = connecting.await.map_err(|error| {
        count_if_refused(shared, &error);
        unreachable(peer, error)
    })?;
    let connection = serve_new_connection(shared, quic);
    let mut unconfirmed = UnconfirmedConnection { connection, confirmed: false };
    let probed = unconfirmed.connection.probe().await;
    if let Some(reason) = unconfirmed.connection.quic.close_reason() {
        count_if_refused(shared, &reason);
    }
    probed.map_err(|detail| unreachable(peer, detail))?;
    unconfirmed.confirmed = true;
    Ok(unconfirmed.connection.clone())
}

/// Closes a new connection unless the peer replies on it in time.
struct UnconfirmedConnection {
    connection: Arc<PeerConnection>,
    confirmed: bool,
}

impl Drop for UnconfirmedConnection {
    fn drop(&mut self) {
        if !self.confirmed {
            self.connection.close_unused();
        }
    }
}

/// Counts the error if a handshake failed because of a certificate or the protocol.
pub(crate) fn count_if_refused(shared: &LinkShared, error: &quinn::ConnectionError) {
    if is_handshake_refusal(error) {
        shared.meter.count_refused_handshake();
    }
}

/// Serves the peer's requests on a new connection, whichever side opened it.
pub(crate) fn serve_new_connection(
    shared: &Arc<LinkShared>,
    quic: Connection,
) -> Arc<PeerConnection> {
    let connection = PeerConnection::new(quic, shared.meter.clone(), ClockTime::now());
    smol::spawn(serve_connection(shared.clone(), connection.clone())).detach();
    connection
}
