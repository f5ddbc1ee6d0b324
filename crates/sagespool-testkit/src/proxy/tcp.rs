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

/// Chunks that one direction holds back at most before it stops reading.
const QUEUED_CHUNKS: usize = 1024;

/// The pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A TCP link: the address at which one name reaches another.
#[derive(Clone)]
pub(super) struct TcpLink {
    table: Arc<FaultTable>,
    there: Arc<DirectedPair>,
    back: Arc<DirectedPair>,
    target: SocketAddr,
}

impl TcpLink {
    pub(super) fn start(
        table: &Arc<FaultTable>,
        spawner: &TaskSpawner,
        (from, to): (&str, &str),
        target: SocketAddr,
    ) -> Result<SocketAddr, Report<StartError>> {
        let failed = || StartError { stand: "a TCP link" };
        let listener =
            std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).change_context_lazy(failed)?;
        let address = listener.local_addr().change_context_lazy(failed)?;
        let listener = TcpListener::try_from(listener).change_context_lazy(failed)?;
        let there = table.pair(from, to);
        let back = table.pair(to, from);
        let link = Self { table: table.clone(), there, back, target };
        spawner.spawn(link.accept(listener, spawner.clone()));
        Ok(address)
    }

    async fn accept(self, listener: TcpListener, spawner: TaskSpawner) {
        loop {
            match listener.accept().await {
                Ok((client, _)) => spawner.spawn(TcpCarrier::new(self.clone()).carry(client)),
                Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.there.is_cut() || self.back.is_cut()
    }

    fn breaks(&self) -> u64 {
        self.there.breaks()
    }
}

/// How a connection, or one direction of it, ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CarryEnd {
    /// Both sides have said all they had to say.
    Finished,
    /// Both sides are to see a reset.
    Reset,
}

/// One connection.
struct TcpCarrier {
    link: TcpLink,
    breaks_before: u64,
    /// Set once a cut has swallowed something. From then on nothing more is
    /// delivered, also after the cut is healed: the receiver would see a
    /// stream with a hole and take it for whole. The connection stays silent
    /// during the cut and is reset when the cut is healed.
    holed: AtomicBool,
}

impl TcpCarrier {
    fn new(link: TcpLink) -> Self {
        let breaks_before = link.breaks();
        Self { link, breaks_before, holed: AtomicBool::new(false) }
    }

    async fn carry(self, client: TcpStream) {
        // The order matters: what the first has swallowed, the second sees in the same poll.
        let end = self.carry_bytes(&client).or(self.reset_due()).await;
        if end == CarryEnd::Reset {
            reset_on_close(&client);
        }
    }

    async fn carry_bytes(&self, client: &TcpStream) -> CarryEnd {
        if self.client_left_before_open(client).await {
            return CarryEnd::Finished;
        }
        if self.is_holed() {
            return CarryEnd::Reset;
        }
        let Ok(server) = TcpStream::connect(self.link.target).await else {
            return CarryEnd::Reset;
        };
        let guard = ResetGuard { stream: server.clone(), armed: true };
        let there = self.carry_one_way(client.clone(), server.clone(), &self.link.there);
        let back = self.carry_one_way(server, client.clone(), &self.link.back);
        let end = finish_both(there, back).await;
        if end == CarryEnd::Finished {
            guard.disarm();
        }
        end
    }

    /// While the link is cut, nothing reaches the target, not even the wish
    /// to connect. Returns true if the client went away meanwhile.
    async fn client_left_before_open(&self, client: &TcpStream) -> bool {
        let open = async {
            self.wait_until(|| !self.link.is_cut()).await;
            false
        };
        let swallow = async {
            self.swallow(client.clone()).await;
            true
        };
        open.or(swallow).await
    }

    async fn swallow(&self, mut client: TcpStream) {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            match client.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(length) => {
                    self.link.there.count_entered(length);
                    self.lose(length, &self.link.there);
                }
            }
        }
    }

    async fn carry_one_way(&self, from: TcpStream, to: TcpStream, pair: &DirectedPair) -> CarryEnd {
        let _ = to.set_nodelay(true);
        let (entrance, exit) = async_channel::bounded(QUEUED_CHUNKS);
        let read = async {
            self.read_chunks(from, &entrance, pair).await;
            // Keeps the channel open: the end comes through it as a chunk.
            future::pending::<CarryEnd>().await
        };
        read.or(self.write_chunks(to, exit, pair)).await
    }

    async fn read_chunks(
        &self,
        mut from: TcpStream,
        entrance: &Sender<QueuedChunk>,
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
                let _ = entrance.send(QueuedChunk { due, chunk }).await;
            } else {
                self.lose(chunk.len(), pair);
            }
            if is_last {
                return;
            }
        }
    }

    async fn write_chunks(
        &self,
        mut to: TcpStream,
        exit: Receiver<QueuedChunk>,
        pair: &DirectedPair,
    ) -> CarryEnd {
        while let Ok(QueuedChunk { due, chunk }) = exit.recv().await {
            if due > Instant::now() {
                Timer::at(due).await;
            }
            if !self.passes(pair) {
                self.lose(chunk.len(), pair);
                continue;
            }
            match write_chunk(&mut to, &chunk).await {
                Ok(None) => pair.count_carried(chunk.len()),
                Ok(Some(end)) => return end,
                // The receiver is gone; the sender hears of it only if the way back is open.
                Err(_) if self.link.is_cut() => self.lose(chunk.len(), pair),
                Err(_) => return CarryEnd::Reset,
            }
        }
        CarryEnd::Finished
    }

    fn passes(&self, pair: &DirectedPair) -> bool {
        !pair.is_cut() && !self.is_holed()
    }

    fn is_holed(&self) -> bool {
        self.holed.load(Ordering::SeqCst)
    }

    fn lose(&self, bytes: usize, pair: &DirectedPair) {
        pair.count_lost(bytes);
        self.holed.store(true, Ordering::SeqCst);
    }

    /// Returns when the connection is to be reset: it was broken by order, or
    /// the cut that swallowed some of it is healed.
    async fn reset_due(&self) -> CarryEnd {
        let is_broken = || self.link.breaks() != self.breaks_before;
        let is_mended = || self.is_holed() && !self.link.is_cut();
        self.wait_until(|| is_broken() || is_mended()).await;
        CarryEnd::Reset
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
async fn write_chunk(to: &mut TcpStream, chunk: &TcpChunk) -> io::Result<Option<CarryEnd>> {
    match chunk {
        TcpChunk::Data(bytes) => to.write_all(bytes).await.map(|()| None),
        TcpChunk::End => to.close().await.map(|()| Some(CarryEnd::Finished)),
        TcpChunk::Reset => Ok(Some(CarryEnd::Reset)),
    }
}

/// Returns when both directions are finished, or one of them ends with a reset.
async fn finish_both(
    there: impl Future<Output = CarryEnd>,
    back: impl Future<Output = CarryEnd>,
) -> CarryEnd {
    let finished_or_error = |end| match end {
        CarryEnd::Finished => Ok(()),
        CarryEnd::Reset => Err(()),
    };
    let there = async { finished_or_error(there.await) };
    let back = async { finished_or_error(back.await) };
    match future::try_zip(there, back).await {
        Ok(_) => CarryEnd::Finished,
        Err(()) => CarryEnd::Reset,
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
