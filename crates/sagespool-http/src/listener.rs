//! The HTTP listener.

use std::io;
use std::net::TcpListener;

use smol::net::TcpStream;
use trillium::Info;
use trillium_server_common::{Config, Server};
use trillium_smol::{SmolTransport, SmolUdpSocket};

use crate::SharedRuntime;

/// A bound TCP socket that accepts HTTP connections.
#[derive(Debug)]
pub struct HttpListener(smol::net::TcpListener);

impl Server for HttpListener {
    type Runtime = SharedRuntime;
    type Transport = SmolTransport<TcpStream>;
    type UdpTransport = SmolUdpSocket;

    async fn accept(&mut self) -> io::Result<Self::Transport> {
        let (stream, _) = self.0.accept().await?;
        Ok(stream.into())
    }

    fn init(&self, info: &mut Info) {
        if let Ok(address) = self.0.local_addr() {
            info.insert_shared_state(address);
        }
    }

    fn runtime() -> Self::Runtime {
        SharedRuntime
    }
}

/// Configures a server on a bound socket. It installs no signal handlers.
///
/// # Errors
/// If the socket can't be registered with the reactor.
pub fn http_server(listener: TcpListener) -> io::Result<Config<HttpListener, ()>> {
    let listener = HttpListener(listener.try_into()?);
    Ok(Config::new().with_prebound_server(listener).with_nodelay().without_signals())
}
