//! TCP links: each connection is carried by one task, bytes in order.

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

/// Chunks that one direction holds reverse at most before it stops reading.
const QUEUED_CHUNKS: usize = 1024;

/// The pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A TCP link: the address at which one name reaches another.
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
    /// Both sides have said all they had to say.
    Finished,
    /// Both sides are to see a reset.
    Reset,
}

/// One connection.
struct TcpConnection {
    link: TcpLink,
    breaks_before: u64,
    /// Set once a cut has swallowed something. From then on nothing more is
    /// delivered, also after the cut is healed: the receiver would see a
    /// stream with a hole and take it for whole. The connection stays silent
    /// during the cut and is reset when the cut is healed.
    lost_bytes: AtomicBool,
}

impl TcpConnection {
    fn new(link: TcpLink) -> Self {
        let breaks_before = link.breaks();
        Self { link, breaks_before, lost_bytes: AtomicBool::new(false) }
    }

    async fn relay(self, client: TcpStream) {
        // The order matters: what the first has swallowed, the second sees in the same poll.
        let end = self.relay_bytes(&client).or(self.wait_reset()).await;
        if end == RelayEnd::Reset {
            reset_on_close(&client);
        }
    }

    async fn relay_bytes(&self, client: &TcpStream) -> RelayEnd {
        if self.closed_before_open(client).await {
            return RelayEnd::Finished;
        }
        if self.has_lost_bytes() {
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

    /// While the link is cut, nothing reaches the target, not even the wish
    /// to connect. Returns true if the client went away meanwhile.
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
                    self.count_loss(length, &self.link.forward);
                }
            }
        }
    }

    async fn relay_one_way(&self, from: TcpStream, to: TcpStream, pair: &DirectedPair) -> RelayEnd {
        let _ = to.set_nodelay(true);
        let (sender, receiver) = async_channel::bounded(QUEUED_CHUNKS);
        let read = async {
            self.read_chunks(from, &sender, pair).await;
            // Keeps the channel open: the end comes through it as a chunk.
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
                self.count_loss(chunk.len(), pair);
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
                self.count_loss(chunk.len(), pair);
                continue;
            }
            match write_chunk(&mut to, &chunk).await {
                Ok(None) => pair.count_carried(chunk.len()),
                Ok(Some(end)) => return end,
                // The receiver is gone; the sender hears of it only if the way reverse is open.
                Err(_) if self.link.is_cut() => self.count_loss(chunk.len(), pair),
                Err(_) => return RelayEnd::Reset,
            }
        }
        RelayEnd::Finished
    }

    fn passes(&self, pair: &DirectedPair) -> bool {
        !pair.is_cut() && !self.has_lost_bytes()
    }

    fn has_lost_bytes(&self) -> bool {
        self.lost_bytes.load(Ordering::SeqCst)
    }

    fn count_loss(&self, bytes: usize, pair: &DirectedPair) {
        pair.count_lost(bytes);
        self.lost_bytes.store(true, Ordering::SeqCst);
    }

    /// Returns when the connection is to be reset: it was broken by order, or
    /// the cut that swallowed some of it is healed.
    async fn wait_reset(&self) -> RelayEnd {
        let is_broken = || self.link.breaks() != self.breaks_before;
        let is_healed = || self.has_lost_bytes() && !self.link.is_cut();
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

/// Writes a chunk; returns how the direction ends, if it does.
async fn write_chunk(to: &mut TcpStream, chunk: &TcpChunk) -> io::Result<Option<RelayEnd>> {
    match chunk {
        TcpChunk::Data(bytes) => to.write_all(bytes).await.map(|()| None),
        TcpChunk::End => to.close().await.map(|()| Some(RelayEnd::Finished)),
        TcpChunk::Reset => Ok(Some(RelayEnd::Reset)),
    }
}

/// Returns when both directions are finished, or one of them ends with a reset.
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

/// Resets its connection when dropped, also when the task is given up, unless told otherwise.
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

/// Makes the close of a connection a reset, which throws away what is still unsent.
fn reset_on_close(stream: &TcpStream) {
    // A connection that is gone already needs no reset.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}
