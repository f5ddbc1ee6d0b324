//! An HTTP server on a loopback port that the system chooses, started and stopped by tests.

use std::error::Error;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use error_stack::{Report, ResultExt};
use trillium::Handler;
use trillium_server_common::ServerHandle;

/// A stand-in that could not start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartError {
    /// What was to start.
    pub stand: &'static str,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} does not start: it needs a free port on 127.0.0.1", self.stand)
    }
}

impl Error for StartError {}

/// A running server; dropping it shuts it down without waiting.
#[derive(Debug)]
pub(crate) struct StandServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl StandServer {
    /// Serves from the return of this call on.
    pub(crate) fn start(
        stand: &'static str,
        handler: impl Handler,
    ) -> Result<Self, Report<StartError>> {
        let failed = || StartError { stand };
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).change_context_lazy(failed)?;
        let address = listener.local_addr().change_context_lazy(failed)?;
        let listener = smol::net::TcpListener::try_from(listener).change_context_lazy(failed)?;
        let handle = trillium_smol::config()
            .with_prebound_server(listener)
            .without_signals()
            .with_nodelay()
            .spawn(handler);
        Ok(Self { address, handle })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection, and returns when the open calls have ended.
    pub(crate) async fn stop(&self) {
        self.handle.shut_down().await;
    }
}

impl Drop for StandServer {
    fn drop(&mut self) {
        drop(self.handle.shut_down());
    }
}
