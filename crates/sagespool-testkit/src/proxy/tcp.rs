//! TCP links: one task relays each connection and keeps the byte order.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use error_stack::{Report, ResultExt};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use rustix::net::sockopt::set_socket_linger;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use super::table::{DirectedPair, FaultTable};
use super::threads::TaskSpawner;
use crate::loopback_server::StartError;

const CHUNK_BYTES: usize = 16 << 10;

/// Most chunks queued in one direction; when the queue is full, reading stops.
const QUEUED_CHUNKS: usize = 1024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A TCP link from one name to another.
#[derive(Clone)]
pub(super) struct TcpLink {
    table: Arc<FaultTable>,
    forward: Arc<DirectedPair>,
    reverse: Arc<DirectedPair>,
    target: SocketAddr,
}

impl TcpLink {
    pub(super) fn start(
        table: &Arc<FaultTable>,
        spawner: &TaskSpawner,
        (from, to): (&str, &str),
        target: SocketAddr,
    ) -> Result<SocketAddr, Report<StartError>> {
        let failed = || StartError { component: "a TCP link" };
        let listener =
            std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).change_context_lazy(failed)?;
        let address = listener.local_addr().change_context_lazy(failed)?;
        let listener = TcpListener::try_from(listener).change_context_lazy(failed)?;
        let forward = table.pair(from, to);
        let reverse = table.pair(to, from);
        let link = Self { table: table.clone(), forward, reverse, target };
        spawner.spawn(link.accept(listener, spawner.clone()));
        Ok(address)
    }

    async fn accept(self, listener: TcpListener, spawner: TaskSpawner) {
        loop {
            match listener.accept().await {
                Ok((client, _)) => spawner.spawn(TcpConnection::new(self.clone()).relay(client)),
                Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.forward.is_cut() || self.reverse.is_cut()
    }

    fn breaks(&self) -> u64 {
        self.forward.breaks()
    }
}

/// How a connection, or one direction of it, ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayEnd {
    /// Both sides have closed their streams.
    Finished,
    /// The connection is reset on both sides.
    Reset,
}

/// One relayed connection.
struct TcpConnection {
    link: TcpLink,
    breaks_before: u64,
    /// Set once a cut has discarded data. After that nothing is delivered, even once the cut is
    /// removed: the receiver would take a stream with a gap for a complete one. The connection
    /// stays silent during the cut and is reset when the cut is removed.
    gap: AtomicBool,
}

impl TcpConnection {
    fn new(link: TcpLink) -> Self {
        let breaks_before = link.breaks();
        Self { link, breaks_before, gap: AtomicBool::new(false) }
    }

    async fn relay(self, client: TcpStream) {
        // The order matters: a loss in the first future is visible to the second in the same poll.
        let end = self.relay_bytes(&client).or(self.wait_reset()).await;
        if end == RelayEnd::Reset {
            reset_on_close(&client);
        }
    }

    async fn relay_bytes(&self, client: &TcpStream) -> RelayEnd {
        if self.closed_before_open(client).await {
            return RelayEnd::Finished;
        }
        if self.has_gap() {
            return RelayEnd::Reset;
        }
        let Ok(server) = TcpStream::connect(self.link.target).await else {
            return RelayEnd::Reset;
        };
        let guard = ResetGuard { stream: server.clone(), armed: true };
        let forward = self.relay_one_way(client.clone(), server.clone(), &self.link.forward);
        let reverse = self.relay_one_way(server, client.clone(), &self.link.reverse);
        let end = finish_both(forward, reverse).await;
        if end == RelayEnd::Finished {
            guard.disarm();
        }
        end
    }

    /// While the link is cut, not even the connection attempt reaches the target. Returns true if
    /// the client closes the connection meanwhile.
    async fn closed_before_open(&self, client: &TcpStream) -> bool {
        let open = async {
            self.wait_until(|| !self.link.is_cut()).await;
            false
        };
        let discard_input = async {
            self.discard_input(client.clone()).await;
            true
        };
        open.or(discard_input).await
    }

    async fn discard_input(&self, mut client: TcpStream) {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            match client.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(length) => {
                    self.link.forward.count_entered(length);
                    self.record_loss(length, &self.link.forward);
                }
            }
        }
    }

    async fn relay_one_way(&self, from: TcpStream, to: TcpStream, pair: &DirectedPair) -> RelayEnd {
        let _ = to.set_nodelay(true);
        let (sender, receiver) = async_channel::bounded(QUEUED_CHUNKS);
        let read = async {
            self.read_chunks(from, &sender, pair).await;
            // Keeps the channel open: the end of the stream is sent through it as a chunk.
            future::pending::<RelayEnd>().await
        };
        read.or(self.write_chunks(to, receiver, pair)).await
    }

    async fn read_chunks(
        &self,
        mut from: TcpStream,
        sender: &Sender<QueuedChunk>,
        pair: &DirectedPair,
    ) {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let chunk = match from.read(&mut buffer).await {
                Ok(0) => TcpChunk::End,
                Ok(length) => TcpChunk::Data(buffer[..length].to_vec()),
                Err(_) => TcpChunk::Reset,
            };
            let is_last = !matches!(chunk, TcpChunk::Data(_));
            pair.count_entered(chunk.len());
            if self.passes(pair) {
                let due = Instant::now() + pair.faults().delay;
                let _ = sender.send(QueuedChunk { due, chunk }).await;
            } else {
                self.record_loss(chunk.len(), pair);
            }
            if is_last {
                return;
            }
        }
    }

    async fn write_chunks(
        &self,
        mut to: TcpStream,
        receiver: Receiver<QueuedChunk>,
        pair: &DirectedPair,
    ) -> RelayEnd {
        while let Ok(QueuedChunk { due, chunk }) = receiver.recv().await {
            if due > Instant::now() {
                Timer::at(due).await;
            }
            if !self.passes(pair) {
                self.record_loss(chunk.len(), pair);
                continue;
            }
            match write_chunk(&mut to, &chunk).await {
                Ok(None) => pair.count_carried(chunk.len()),
                Ok(Some(end)) => return end,
                // The receiver is gone; the sender notices only if the reverse direction is open.
                Err(_) if self.link.is_cut() => self.record_loss(chunk.len(), pair),
                Err(_) => return RelayEnd::Reset,
            }
        }
        RelayEnd::Finished
    }

    fn passes(&self, pair: &DirectedPair) -> bool {
        !pair.is_cut() && !self.has_gap()
    }

    fn has_gap(&self) -> bool {
        self.gap.load(Ordering::SeqCst)
    }

    fn record_loss(&self, bytes: usize, pair: &DirectedPair) {
        pair.count_lost(bytes);
        self.gap.store(true, Ordering::SeqCst);
    }

    /// Returns when the connection has to be reset: after `break_connections`, or when the cut that
    /// discarded some of its data is removed.
    async fn wait_reset(&self) -> RelayEnd {
        let is_broken = || self.link.breaks() != self.breaks_before;
        let is_healed = || self.has_gap() && !self.link.is_cut();
        self.wait_until(|| is_broken() || is_healed()).await;
        RelayEnd::Reset
    }

    async fn wait_until(&self, condition: impl Fn() -> bool) {
        loop {
            let changed = self.link.table.listen();
            if condition() {
                return;
            }
            changed.await;
        }
    }
}

enum TcpChunk {
    Data(Vec<u8>),
    End,
    Reset,
}

impl TcpChunk {
    fn len(&self) -> usize {
        match self {
            Self::Data(bytes) => bytes.len(),
            Self::End | Self::Reset => 0,
        }
    }
}

struct QueuedChunk {
    due: Instant,
    chunk: TcpChunk,
}

/// Writes a chunk; returns the end of the direction if the chunk ends it.
async fn write_chunk(to: &mut TcpStream, chunk: &TcpChunk) -> io::Result<Option<RelayEnd>> {
    match chunk {
        TcpChunk::Data(bytes) => to.write_all(bytes).await.map(|()| None),
        TcpChunk::End => to.close().await.map(|()| Some(RelayEnd::Finished)),
        TcpChunk::Reset => Ok(Some(RelayEnd::Reset)),
    }
}

/// Returns when both directions are finished or one of them is reset.
async fn finish_both(
    forward: impl Future<Output = RelayEnd>,
    reverse: impl Future<Output = RelayEnd>,
) -> RelayEnd {
    let finished_or_error = |end| match end {
        RelayEnd::Finished => Ok(()),
        RelayEnd::Reset => Err(()),
    };
    let forward = async { finished_or_error(forward.await) };
    let reverse = async { finished_or_error(reverse.await) };
    match future::try_zip(forward, reverse).await {
        Ok(_) => RelayEnd::Finished,
        Err(()) => RelayEnd::Reset,
    }
}

/// Resets its connection when dropped, also if the task is cancelled, unless disarmed.
struct ResetGuard {
    stream: TcpStream,
    armed: bool,
}

impl ResetGuard {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for ResetGuard {
    fn drop(&mut self) {
        if self.armed {
            reset_on_close(&self.stream);
        }
    }
}

/// Makes closing a connection reset it, which discards unsent data.
fn reset_on_close(stream: &TcpStream) {
    // Fails if the connection is gone already and needs no reset.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}
