//! An HTTP server for fakes that can crash and restart on the same port.
//!
//! A crash has to look to its peers like the death of the process: every open connection breaks
//! at once, and the port refuses connections.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use smol::{Async, Timer};
use socket2::{Domain, Socket, Type};
use trillium::{Conn, Handler};
use trillium_server_common::{Acceptor, Binding, ServerHandle, Transport};
use trillium_smol::{SmolRuntime, SmolTransport, async_net};

const BACKLOG: i32 = 4096;
const MAX_CONNECTIONS: usize = 100_000;
const MIN_PURGE_SIZE: usize = 64;

/// Why a fake server can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenError {
    /// The port could not be bound or listened on.
    Listen,
}

impl fmt::Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("can't listen on a loopback port")
    }
}

impl std::error::Error for ListenError {}

/// Locks a mutex whose holders never panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

/// Runs an action on a fake after a delay, unless the fake is dropped before.
pub(crate) fn run_after<S: Send + Sync + 'static>(
    server: &Arc<S>,
    time: Duration,
    action: impl FnOnce(&Arc<S>) + Send + 'static,
) {
    let server = Arc::downgrade(server);
    SmolRuntime::default().spawn(async move {
        Timer::after(time).await;
        if let Some(server) = server.upgrade() {
            action(&server);
        }
    });
}

/// A server with a fixed address, which can be stopped and started repeatedly.
pub(crate) struct RestartableServer {
    /// Reserves the port while the server does not listen.
    _reserved: Socket,
    address: SocketAddr,
    serving: Mutex<Option<ServingState>>,
}

struct ServingState {
    listener: TcpListener,
    connections: Arc<ConnectionTable>,
    handle: ServerHandle,
}

impl RestartableServer {
    /// Reserves a port assigned by the operating system.
    ///
    /// The reserving socket is bound but never listens. During a crash the port therefore refuses
    /// connections but is not assigned to anyone else, so that a restart always finds it free.
    pub(crate) fn reserve() -> Result<Self, Report<ListenError>> {
        let (reserved, address) = reserve_port().change_context(ListenError::Listen)?;
        Ok(Self { _reserved: reserved, address, serving: Mutex::new(None) })
    }

    /// The address, also while stopped.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts serving; does nothing if already started.
    pub(crate) fn serve(&self, handler: impl Handler) -> Result<(), Report<ListenError>> {
        let mut serving = lock(&self.serving);
        if serving.is_some() {
            return Ok(());
        }
        let listener = self.listen().change_context(ListenError::Listen)?;
        let accepting = listener.try_clone().change_context(ListenError::Listen)?;
        let accepting =
            async_net::TcpListener::try_from(accepting).change_context(ListenError::Listen)?;
        let connections = Arc::new(ConnectionTable::default());
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_max_connections(Some(MAX_CONNECTIONS))
            .with_acceptor(TrackedAcceptor(connections.clone()))
            .with_shared_state(connections.clone())
            .with_prebound_server(accepting)
            .spawn(handler);
        *serving = Some(ServingState { listener, connections, handle });
        Ok(())
    }

    /// Breaks every connection and refuses new ones from this call on.
    pub(crate) fn stop(&self) {
        let Some(serving) = lock(&self.serving).take() else {
            return;
        };
        // `shutdown` ends the listening state at once, even if the accept loop still holds
        // duplicates of the descriptor.
        let listener = Socket::from(serving.listener);
        let _ = listener.shutdown(Shutdown::Both);
        serving.handle.shut_down();
        serving.connections.break_all();
    }

    fn listen(&self) -> io::Result<TcpListener> {
        let socket = reusable_socket()?;
        socket.bind(&self.address.into())?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    }
}

fn reusable_socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    Ok(socket)
}

fn reserve_port() -> io::Result<(Socket, SocketAddr)> {
    let socket = reusable_socket()?;
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any_port.into())?;
    let address = socket.local_addr()?;
    let address = address.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, address))
}

/// The open connections of one server start.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    state: Mutex<TableState>,
}

#[derive(Default)]
struct TableState {
    closed: bool,
    purge_at: usize,
    // Weak, so that a connection closes when the server drops it.
    streams: HashMap<SocketAddr, Weak<Async<TcpStream>>>,
}

impl ConnectionTable {
    fn add(&self, stream: &Arc<Async<TcpStream>>) -> io::Result<()> {
        let peer = stream.get_ref().peer_addr()?;
        let mut state = lock(&self.state);
        // A connection accepted just before a crash can get here after it.
        if state.closed {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if state.streams.len() >= state.purge_at {
            state.streams.retain(|_, stream| stream.strong_count() > 0);
            state.purge_at = (state.streams.len() * 2).max(MIN_PURGE_SIZE);
        }
        state.streams.insert(peer, Arc::downgrade(stream));
        Ok(())
    }

    fn find(&self, peer: SocketAddr) -> Option<Arc<Async<TcpStream>>> {
        lock(&self.state).streams.get(&peer)?.upgrade()
    }

    fn break_all(&self) {
        let mut state = lock(&self.state);
        state.closed = true;
        let streams = std::mem::take(&mut state.streams);
        for stream in streams.into_values().filter_map(|stream| stream.upgrade()) {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
    }
}

/// The TCP connection of a request.
pub(crate) fn connection_of(conn: &Conn) -> Option<Arc<Async<TcpStream>>> {
    let table = conn.shared_state::<Arc<ConnectionTable>>()?;
    let inner: &trillium_http::Conn<Box<dyn trillium::Transport>> = conn.as_ref();
    let peer = inner.transport().peer_addr().ok()??;
    table.find(peer)
}

/// Breaks the TCP connection of a request.
pub(crate) fn break_connection(conn: &Conn) {
    if let Some(stream) = connection_of(conn) {
        let _ = stream.get_ref().shutdown(Shutdown::Both);
    }
}

/// Completes when the peer has closed the connection.
pub(crate) async fn peer_closed(stream: Arc<Async<TcpStream>>) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        // The peer has sent more data; its close is not visible until that is read.
        Ok(_) => std::future::pending().await,
    }
}

#[derive(Clone)]
struct TrackedAcceptor(Arc<ConnectionTable>);

impl<U: Transport + Clone> Acceptor<Binding<SmolTransport<async_net::TcpStream>, U>>
    for TrackedAcceptor
{
    type Output = Binding<SmolTransport<async_net::TcpStream>, U>;
    type Error = io::Error;

    async fn accept(&self, input: Self::Output) -> io::Result<Self::Output> {
        if let Some(transport) = input.get_tcp() {
            let stream: Arc<Async<TcpStream>> = transport.clone().into_inner().into();
            self.0.add(&stream)?;
        }
        Ok(input)
    }

    fn is_secure(&self) -> bool {
        false
    }
}
