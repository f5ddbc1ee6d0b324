//! Connections to the upstream, and which calls were connected.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_http::{BoundedStream, SharedRuntime};
use sagespool_types::ByteCount;
use smol::Timer;
use trillium_server_common::{Connector, Destination, Url};
use trillium_smol::{ClientConfig, SmolTransport, SmolUdpSocket, async_net};

use crate::shards::lock;

/// The upstream runs on the same instance, where connecting takes microseconds
/// unless its backlog is full.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest response. Services' bodies pass through, and the client bounds streams itself; the bound is
/// for what neither keeps, such as interim responses.
const MAX_RESPONSE: ByteCount = ByteCount(4 << 30);

/// Opens connections to one address, regardless of the host in the URL.
///
/// The host carries the id of the call instead, so that the connector can
/// record which calls were connected. A call without a connection certainly did
/// not run, whether it failed or was dropped.
#[derive(Debug, Clone)]
pub(super) struct UpstreamConnector {
    address: SocketAddr,
    shared: Arc<CallState>,
}

#[derive(Debug, Default)]
struct CallState {
    next: AtomicU64,
    connected: Mutex<HashSet<String>>,
}

impl UpstreamConnector {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, shared: Arc::default() }
    }

    /// Assigns an id to the next call.
    pub(super) fn next_call(&self) -> CallId {
        let number = self.shared.next.fetch_add(1, Ordering::Relaxed);
        CallId { host: format!("call-{number}"), shared: Arc::clone(&self.shared) }
    }
}

/// Id of one call.
#[derive(Debug)]
pub(super) struct CallId {
    host: String,
    shared: Arc<CallState>,
}

impl CallId {
    /// The id, as the host of the call's URL.
    pub(super) fn host(&self) -> &str {
        &self.host
    }

    /// Whether the call was connected, so that it may have run.
    pub(super) fn was_connected(&self) -> bool {
        lock(&self.shared.connected).contains(&self.host)
    }
}

impl Drop for CallId {
    fn drop(&mut self) {
        lock(&self.shared.connected).remove(&self.host);
    }
}

impl Connector for UpstreamConnector {
    type Transport = BoundedStream<SmolTransport<async_net::TcpStream>>;
    type Runtime = SharedRuntime;
    type Udp = SmolUdpSocket;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.connect_to(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        let upstream = Destination::new_with_socket_addrs(false, [self.address]);
        let config = ClientConfig::new().with_nodelay(true);
        let connect = config.connect_to(upstream);
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let transport = connect.or(timeout).await?;
        if let Some(host) = destination.host() {
            lock(&self.shared.connected).insert(host.to_owned());
        }
        Ok(BoundedStream::per_request(transport, MAX_RESPONSE))
    }

    fn runtime(&self) -> Self::Runtime {
        SharedRuntime
    }

    async fn resolve(&self, _host: &str, _port: u16) -> io::Result<Vec<SocketAddr>> {
        Ok(vec![self.address])
    }
}
