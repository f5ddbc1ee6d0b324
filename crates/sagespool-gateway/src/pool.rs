//! Connections to upstreams.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use sagespool_forward::{UpstreamRecord, UpstreamRun};
use sagespool_link::within;
use sagespool_types::{ClockTime, UpstreamName};
use smol::Task;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// How long connecting may take: the round trip within a region is a millisecond or two, and the
/// platform's upstreams take one more. A lost packet is sent again after a second, when another
/// upstream would long have answered.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// A kept connection is used again within this time, unless the upstream told another. Upstreams
/// close idle ones by themselves, and a request that crosses the close may or may not have run.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Of the time that an upstream tells, this share is used.
const IDLE_SHARE: f64 = 0.6;
/// Idle connections kept to one upstream; upstreams take a few hundred from all instances.
const MOST_IDLE: usize = 16;

/// A connection to an upstream. Dropping it closes it at once, which tells the upstream that
/// nobody waits for the answer any more.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Requests that it has carried.
    pub(crate) carried: u32,
    /// The run of the upstream that it was opened to.
    run: UpstreamRun,
    idle_limit: Duration,
    idle_since: ClockTime,
    _driver: Task<()>,
}

impl UpstreamConnection {
    /// Takes the upstream's word on how long it keeps idle connections.
    pub(crate) fn note_idle_limit(&mut self, told: Option<Duration>) {
        if let Some(told) = told {
            self.idle_limit = told.mul_f64(IDLE_SHARE);
        }
    }
}

/// Idle connections, by upstream. Each is used for the run that it was opened to only: an upstream
/// that lost power and started again under its name says nothing on connections from before, and a
/// request sent on one would wait for its whole time.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPool {
    idle: Mutex<HashMap<UpstreamName, Vec<UpstreamConnection>>>,
}

impl UpstreamPool {
    fn idle(&self) -> MutexGuard<'_, HashMap<UpstreamName, Vec<UpstreamConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A kept connection that is still good, the one used last.
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

    /// Keeps a connection whose request has ended well.
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
        if kept.len() < MOST_IDLE {
            kept.push(connection);
        }
    }

    /// Closes what was idle for too long, and everything of upstreams that are gone.
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

/// Opens a connection.
///
/// # Errors
/// If the upstream can't be reached in time. Nothing was sent then.
pub(crate) async fn connect(upstream: &UpstreamRecord) -> io::Result<UpstreamConnection> {
    let opened = within(CONNECT_LIMIT, open_stream(upstream.address)).await;
    let stream = opened.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    let (sender, driver) =
        http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
    // What ends the connection shows at the request that it carries.
    let driver = smol::spawn(async move {
        let _ = driver.await;
    });
    Ok(UpstreamConnection {
        sender,
        carried: 0,
        run: upstream.run(),
        idle_limit: DEFAULT_IDLE,
        idle_since: ClockTime::default(),
        _driver: driver,
    })
}

async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
