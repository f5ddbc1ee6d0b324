//! Listening for HTTP.

use std::io;
use std::net::TcpListener;

use smol::net::TcpStream;
use trillium::Info;
use trillium_server_common::{Config, Server};
use trillium_smol::{SmolTransport, SmolUdpSocket};

use crate::SharedRuntime;

/// A listening socket.
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

/// A server on a bound socket, which leaves signals to the process.
///
/// # Errors
/// If the socket can't be watched.
pub fn http_server(listener: TcpListener) -> io::Result<Config<HttpListener, ()>> {
    let listener = HttpListener(listener.try_into()?);
    Ok(Config::new().with_prebound_server(listener).with_nodelay().without_signals())
}
