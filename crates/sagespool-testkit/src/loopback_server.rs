//! An HTTP server on a loopback port assigned by the operating system.

use std::error::Error;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use error_stack::{Report, ResultExt};
use trillium::Handler;
use trillium_server_common::ServerHandle;

/// A fake server or a proxy link that could not start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartError {
    /// The component that failed to start.
    pub component: &'static str,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot start {}: it needs a free port on 127.0.0.1", self.component)
    }
}

impl Error for StartError {}

/// A running server. Dropping it starts the shutdown without waiting for it.
#[derive(Debug)]
pub(crate) struct LoopbackServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl LoopbackServer {
    /// Starts the server; it accepts connections when this call returns.
    pub(crate) fn start(
        component: &'static str,
        handler: impl Handler,
    ) -> Result<Self, Report<StartError>> {
        let failed = || StartError { component };
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

    /// Stops accepting connections, and returns when the open calls have finished.
    pub(crate) async fn stop(&self) {
        self.handle.shut_down().await;
    }
}

impl Drop for LoopbackServer {
    fn drop(&mut self) {
        drop(self.handle.shut_down());
    }
}
