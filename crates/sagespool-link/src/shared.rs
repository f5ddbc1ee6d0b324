//! What all parts of one link share, and how connections come to be.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quinn::{ClientConfig, Connection, Endpoint};
use sagespool_types::ClockTime;

use crate::connection::{PeerConnection, is_refusal};
use crate::counters::TrafficMeter;
use crate::peers::{PeerAccess, PeerTable, PreparationWork, PreparedConnection};
use crate::server::{PeerHandler, serve_connection};
use crate::time::within_ticks;
use crate::{LinkError, LinkIdentity};

/// The name that a client gives a server in the handshake. Nobody looks at it.
const SERVER_NAME: &str = "sagespool";
/// The longest that a new connection may take, its first probe included.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// The longest that the peer of an idle connection may take to show that it is there.
const PROBE_LIMIT: Duration = Duration::from_millis(300);

/// The state of a link.
pub(crate) struct LinkShared {
    pub(crate) endpoint: Endpoint,
    pub(crate) handler: PeerHandler,
    pub(crate) meter: Arc<TrafficMeter>,
    pub(crate) peers: PeerTable,
    client_config: Mutex<ClientConfig>,
    /// Requests that are being handled, or whose answer isn't acknowledged yet.
    pub(crate) calls: AtomicUsize,
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
            calls: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
        }
    }

    pub(crate) fn renew(&self, identity: &LinkIdentity) {
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

    fn present_client_config(&self) -> ClientConfig {
        self.client_config.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A connection to a peer that was heard lately; makes one if there is none.
/// Every error is [`LinkError::Unreachable`].
pub(crate) async fn connection_to(
    shared: &Arc<LinkShared>,
    peer: SocketAddr,
) -> PreparedConnection {
    let preparation = match shared.peers.access(peer, ClockTime::now()) {
        PeerAccess::Ready(connection) => return Ok(connection),
        PeerAccess::Wait(preparation) => preparation,
        PeerAccess::Prepare(preparation, work) => {
            // On its own, so that a request which runs out of time doesn't take
            // the attempt away from the others that wait for it.
            smol::spawn(prepare(shared.clone(), peer, work)).detach();
            preparation
        }
    };
    let abandoned = || Err(unreachable(peer, "the attempt to connect was abandoned"));
    preparation.wait().await.unwrap_or_else(abandoned)
}

/// An error of a request that surely wasn't sent.
pub(crate) fn unreachable(peer: SocketAddr, detail: impl ToString) -> LinkError {
    LinkError::Unreachable { peer, detail: detail.to_string() }
}

async fn prepare(shared: Arc<LinkShared>, peer: SocketAddr, mut work: PreparationWork) {
    let outcome = match work.stale.take() {
        Some(stale) if answers(&stale).await => Ok(stale),
        Some(stale) => {
            shared.peers.forget(peer, &stale);
            stale.close_unused();
            connect(&shared, peer).await
        }
        None => connect(&shared, peer).await,
    };
    shared.peers.prepared(peer, work, outcome);
}

async fn answers(connection: &Arc<PeerConnection>) -> bool {
    matches!(within_ticks(PROBE_LIMIT, connection.probe()).await, Some(Ok(())))
}

async fn connect(shared: &Arc<LinkShared>, peer: SocketAddr) -> PreparedConnection {
    if shared.is_closing() {
        return Err(unreachable(peer, "this process's link is closing"));
    }
    let attempt = within_ticks(CONNECT_LIMIT, handshake(shared, peer)).await;
    attempt.unwrap_or_else(|| Err(unreachable(peer, "no answer to a handshake")))
}

/// Makes a connection and has the peer answer a probe on it.
///
/// The handshake alone doesn't say that the peer accepts this process: a client
/// of TLS 1.3 is done before the server looks at its certificate. A request
/// written at once would be in doubt although the peer refused to read it.
async fn handshake(shared: &Arc<LinkShared>, peer: SocketAddr) -> PreparedConnection {
    let connecting = shared
        .endpoint
        .connect_with(shared.present_client_config(), peer, SERVER_NAME)
        .map_err(|error| unreachable(peer, error))?;
    let quic = connecting.await.map_err(|error| {
        note_refusal(shared, &error);
        unreachable(peer, error)
    })?;
    let connection = take_in(shared, quic);
    let mut trial = ConnectionTrial { connection, passed: false };
    let probed = trial.connection.probe().await;
    if let Some(reason) = trial.connection.quic.close_reason() {
        note_refusal(shared, &reason);
    }
    probed.map_err(|detail| unreachable(peer, detail))?;
    trial.passed = true;
    Ok(trial.connection.clone())
}

/// Closes a new connection unless the peer answers on it in time.
struct ConnectionTrial {
    connection: Arc<PeerConnection>,
    passed: bool,
}

impl Drop for ConnectionTrial {
    fn drop(&mut self) {
        if !self.passed {
            self.connection.close_unused();
        }
    }
}

/// Counts a handshake that failed over a certificate or the protocol.
pub(crate) fn note_refusal(shared: &LinkShared, error: &quinn::ConnectionError) {
    if is_refusal(error) {
        shared.meter.handshake_refused();
    }
}

/// Serves what the peer asks on a new connection, whoever made it.
pub(crate) fn take_in(shared: &Arc<LinkShared>, quic: Connection) -> Arc<PeerConnection> {
    let connection = PeerConnection::new(quic, shared.meter.clone(), ClockTime::now());
    smol::spawn(serve_connection(shared.clone(), connection.clone())).detach();
    connection
}
