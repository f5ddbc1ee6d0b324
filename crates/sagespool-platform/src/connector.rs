//! Connecting, with failures that are told from those of a sent request.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future::or;
use sagespool_http::SharedRuntime;
use smol::Timer;
use trillium_server_common::{Connector, Destination, Url};
use trillium_smol::ClientConfig;

/// Connects within a limit, and marks each failure to connect: after it, surely
/// nothing was sent.
#[derive(Debug, Clone)]
pub(crate) struct MarkedConnector {
    connector: ClientConfig,
    limit: Duration,
}

/// The mark.
#[derive(Debug)]
struct ConnectFailure(io::Error);

impl fmt::Display for ConnectFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't connect: {}", self.0)
    }
}

impl Error for ConnectFailure {}

/// True if an error carries the mark.
pub(crate) fn is_connect_failure(error: &trillium_client::Error) -> bool {
    let trillium_client::Error::Io(error) = error else {
        return false;
    };
    error.get_ref().is_some_and(|inner| inner.is::<ConnectFailure>())
}

impl MarkedConnector {
    pub(crate) fn new(limit: Duration) -> Self {
        Self { connector: ClientConfig::new().with_nodelay(true), limit }
    }

    async fn connect_in_time(
        &self,
        destination: Destination,
    ) -> io::Result<<ClientConfig as Connector>::Transport> {
        let timer = async {
            Timer::after(self.limit).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        or(self.connector.connect_to(destination), timer)
            .await
            .map_err(|error| io::Error::new(error.kind(), ConnectFailure(error)))
    }
}

impl Connector for MarkedConnector {
    type Transport = <ClientConfig as Connector>::Transport;
    type Runtime = SharedRuntime;
    type Udp = <ClientConfig as Connector>::Udp;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.connect_in_time(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        self.connect_in_time(destination).await
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.connector.resolve(host, port).await
    }

    fn runtime(&self) -> Self::Runtime {
        SharedRuntime
    }
}
