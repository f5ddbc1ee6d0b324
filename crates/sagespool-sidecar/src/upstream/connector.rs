//! Connections to the upstream, and whether a call got one.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_http::SharedRuntime;
use smol::Timer;
use trillium_server_common::{Connector, Destination, Url};
use trillium_smol::{ClientConfig, SmolTransport, SmolUdpSocket, async_net};

use crate::shards::lock;

/// The upstream stands on the same instance: a connection takes microseconds,
/// unless its backlog is full.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Opens connections to one address, whatever host a URL names.
///
/// The host names the call instead, so that the connector can note which
/// calls got a connection: one that didn't has surely not run, whether it
/// failed or was given up meanwhile.
#[derive(Debug, Clone)]
pub(super) struct UpstreamConnector {
    address: SocketAddr,
    shared: Arc<SharedCalls>,
}

#[derive(Debug, Default)]
struct SharedCalls {
    next: AtomicU64,
    connected: Mutex<HashSet<String>>,
}

impl UpstreamConnector {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, shared: Arc::default() }
    }

    /// A name for the next call.
    pub(super) fn call(&self) -> CallName {
        let number = self.shared.next.fetch_add(1, Ordering::Relaxed);
        CallName { host: format!("call-{number}"), shared: Arc::clone(&self.shared) }
    }
}

/// Names one call.
#[derive(Debug)]
pub(super) struct CallName {
    host: String,
    shared: Arc<SharedCalls>,
}

impl CallName {
    /// The name, as the host of the call's URL.
    pub(super) fn host(&self) -> &str {
        &self.host
    }

    /// True from when the call had a connection: from then on it may have run.
    pub(super) fn had_connection(&self) -> bool {
        lock(&self.shared.connected).contains(&self.host)
    }
}

impl Drop for CallName {
    fn drop(&mut self) {
        lock(&self.shared.connected).remove(&self.host);
    }
}

impl Connector for UpstreamConnector {
    type Transport = SmolTransport<async_net::TcpStream>;
    type Runtime = SharedRuntime;
    type Udp = SmolUdpSocket;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.connect_to(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        let dialled = Destination::new_with_socket_addrs(false, [self.address]);
        let config = ClientConfig::new().with_nodelay(true);
        let connect = config.connect_to(dialled);
        let limit = async {
            Timer::after(CONNECT_LIMIT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let transport = connect.or(limit).await?;
        if let Some(host) = destination.host() {
            lock(&self.shared.connected).insert(host.to_owned());
        }
        Ok(transport)
    }

    fn runtime(&self) -> Self::Runtime {
        SharedRuntime
    }

    async fn resolve(&self, _host: &str, _port: u16) -> io::Result<Vec<SocketAddr>> {
        Ok(vec![self.address])
    }
}
