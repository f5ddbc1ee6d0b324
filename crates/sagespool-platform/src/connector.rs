//! Connects with a timeout, and marks connect errors to distinguish them from errors after sending.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future::or;
use sagespool_http::{BoundedStream, SharedRuntime};
use sagespool_types::ByteCount;
use smol::Timer;
use trillium_server_common::{Connector, Destination, Url};
use trillium_smol::ClientConfig;

/// Connects within a timeout. Each failure is a [`ConnectError`], which means that nothing was sent.
#[derive(Debug, Clone)]
pub(crate) struct TimeoutConnector {
    connector: ClientConfig,
    timeout: Duration,
    /// What a response may have, with its head and its framing.
    max_response: ByteCount,
}

/// Marks an I/O error as a failure to connect.
#[derive(Debug)]
struct ConnectError(io::Error);

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot connect: {}", self.0)
    }
}

impl Error for ConnectError {}

/// Whether the connection could not be opened, so that nothing was sent.
pub(crate) fn is_connect_error(error: &trillium_client::Error) -> bool {
    let trillium_client::Error::Io(error) = error else {
        return false;
    };
    error.get_ref().is_some_and(|inner| inner.is::<ConnectError>())
}

impl TimeoutConnector {
    pub(crate) fn new(timeout: Duration, max_response: ByteCount) -> Self {
        Self { connector: ClientConfig::new().with_nodelay(true), timeout, max_response }
    }

    async fn connect_with_timeout(
        &self,
        destination: Destination,
    ) -> io::Result<<Self as Connector>::Transport> {
        let timer = async {
            Timer::after(self.timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connected = or(self.connector.connect_to(destination), timer).await;
        let stream =
            connected.map_err(|error| io::Error::new(error.kind(), ConnectError(error)))?;
        Ok(BoundedStream::per_request(stream, self.max_response))
    }
}

impl Connector for TimeoutConnector {
    type Transport = BoundedStream<<ClientConfig as Connector>::Transport>;
    type Runtime = SharedRuntime;
    type Udp = <ClientConfig as Connector>::Udp;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.connect_with_timeout(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        self.connect_with_timeout(destination).await
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.connector.resolve(host, port).await
    }

    fn runtime(&self) -> Self::Runtime {
        SharedRuntime
    }
}
