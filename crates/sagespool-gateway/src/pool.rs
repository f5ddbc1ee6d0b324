//! The pool of connections to upstreams.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use rustix::net::sockopt::socket_error;
use sagespool_forward::{UpstreamRecord, UpstreamRun};
use sagespool_http::{BoundedStream, ReadAllowance, WriteProgress};
use sagespool_link::within;
use sagespool_types::{ClockTime, UpstreamName};
use smol::Task;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::received::{MAX_HEAD, READ_AHEAD_BYTES};

/// Connect timeout. The round trip within a region takes 1 to 2 ms and upstreams take one more. TCP
/// resends a lost SYN only after 1 s, by which time another upstream would have responded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum idle time of a reused connection, unless the upstream names its own. Upstreams close
/// idle connections, and it is unknown whether a request sent during the close has run.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of the idle timeout named by an upstream after which a connection isn't reused.
const IDLE_SHARE: f64 = 0.6;
/// Maximum idle connections per upstream; upstreams accept a few hundred from all instances.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// A connection to an upstream. Dropping it closes it immediately, which cancels the request at the
/// upstream.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Number of requests sent on it.
    pub(crate) requests_sent: u32,
    /// The run of the upstream that it was opened to.
    run: UpstreamRun,
    idle_limit: Duration,
    idle_since: ClockTime,
    /// What it may receive.
    pub(crate) allowance: Arc<ReadAllowance>,
    progress: Arc<WriteProgress>,
    /// Shares the driver's socket, to tell a close from a reset after the driver has ended.
    socket: TcpStream,
    _driver: Task<()>,
}

impl UpstreamConnection {
    /// Applies the idle timeout that the upstream names, if any.
    pub(crate) fn note_idle_limit(&mut self, timeout: Option<Duration>) {
        if let Some(timeout) = timeout {
            self.idle_limit = timeout.mul_f64(IDLE_SHARE);
        }
    }

    /// Whether the upstream's connection ended before it had taken the whole request: a part wasn't
    /// written, or was answered by a reset after the upstream had closed its side.
    pub(crate) fn cut_request(&self) -> bool {
        self.progress.is_unwritten() || !matches!(socket_error(&self.socket), Ok(Ok(())))
    }
}

/// Idle connections by upstream. Each is reused only for the run that it was opened to: an upstream
/// that restarted after a power loss doesn't reset connections of its previous run, and a request
/// sent on one would wait until its timeout.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPool {
    idle: Mutex<HashMap<UpstreamName, Vec<UpstreamConnection>>>,
}

impl UpstreamPool {
    fn idle(&self) -> MutexGuard<'_, HashMap<UpstreamName, Vec<UpstreamConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used connection that can be reused.
    pub(crate) fn take(
        &self,
        upstream: &UpstreamRecord,
        now: ClockTime,
    ) -> Option<UpstreamConnection> {
        let mut idle = self.idle();
        let kept = idle.get_mut(&upstream.name)?;
        let run = upstream.run();
        while let Some(connection) = kept.pop() {
            let fresh = now.since(connection.idle_since) < connection.idle_limit;
            if fresh && connection.run == run && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a successful request.
    pub(crate) fn keep(
        &self,
        upstream: &UpstreamName,
        mut connection: UpstreamConnection,
        now: ClockTime,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = now;
        let mut idle = self.idle();
        let kept = idle.entry(upstream.clone()).or_default();
        kept.retain(|other| !other.sender.is_closed());
        if kept.len() < MAX_IDLE_CONNECTIONS {
            kept.push(connection);
        }
    }

    /// Closes connections that were idle for too long, and all connections to unlisted upstreams.
    pub(crate) fn sweep(&self, is_listed: impl Fn(&UpstreamName) -> bool, now: ClockTime) {
        let mut idle = self.idle();
        idle.retain(|upstream, kept| {
            kept.retain(|connection| {
                let fresh = now.since(connection.idle_since) < connection.idle_limit;
                fresh && !connection.sender.is_closed()
            });
            !kept.is_empty() && is_listed(upstream)
        });
    }
}

/// Opens a connection to an upstream.
///
/// # Errors
/// If it isn't established within the timeout. No request was sent then.
pub(crate) async fn connect(upstream: &UpstreamRecord) -> io::Result<UpstreamConnection> {
    let opened = within(CONNECT_TIMEOUT, open_stream(upstream.address)).await;
    let stream = opened.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    let allowance = Arc::new(ReadAllowance::new(MAX_HEAD));
    let progress = Arc::new(WriteProgress::default());
    let socket = stream.clone();
    let stream = BoundedStream::new(stream, allowance.clone(), progress.clone());
    let stream = FuturesIo::new(stream);
    let mut client = http1::Builder::new();
    client.max_buf_size(READ_AHEAD_BYTES);
    let (sender, driver) = client.handshake(stream).await.map_err(io::Error::other)?;
    // A connection error is reported to the request in flight.
    let driver = smol::spawn(async move {
        let _ = driver.await;
    });
    Ok(UpstreamConnection {
        sender,
        requests_sent: 0,
        run: upstream.run(),
        idle_limit: DEFAULT_IDLE_TIMEOUT,
        idle_since: ClockTime::default(),
        allowance,
        progress,
        socket,
        _driver: driver,
    })
}

async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
