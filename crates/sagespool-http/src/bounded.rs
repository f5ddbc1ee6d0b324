//! A connection that bounds the bytes that the other side sends, and tells what it has taken.
//!
//! A server in trouble may send bytes without end: in a head, as interim responses, in the length
//! or the extension of a chunk, in a body. Nothing above the connection counts all of these, so the
//! connection itself does.

use std::borrow::Cow;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use sagespool_types::ByteCount;
use trillium::Transport;

/// Bytes read without a pause before other tasks of the thread get their turn.
const BURST_BYTES: usize = 64 << 10;

/// How many more bytes a connection may receive.
#[derive(Debug)]
pub struct ReadAllowance {
    left: AtomicU64,
}

impl ReadAllowance {
    /// An allowance of so many bytes.
    pub fn new(bytes: ByteCount) -> Self {
        Self { left: AtomicU64::new(bytes.0) }
    }

    /// Sets how many more bytes may be received.
    pub fn set(&self, bytes: ByteCount) {
        self.left.store(bytes.0, Ordering::Relaxed);
    }

    /// Whether the connection has failed because it received too much.
    pub fn is_exhausted(&self) -> bool {
        self.left() == 0
    }

    fn left(&self) -> u64 {
        self.left.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        let take = |left: u64| Some(left.saturating_sub(bytes as u64));
        let _ = self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
    }
}

/// Whether a connection has taken all that was to be written to it.
#[derive(Debug, Default)]
pub struct WriteProgress {
    is_unwritten: AtomicBool,
}

impl WriteProgress {
    /// Whether a part of the request is still to be written.
    pub fn is_unwritten(&self) -> bool {
        self.is_unwritten.load(Ordering::Acquire)
    }

    fn set_unwritten(&self, is_unwritten: bool) {
        self.is_unwritten.store(is_unwritten, Ordering::Release);
    }
}

/// A connection that fails once it has received more than its allowance.
///
/// Guards also against a server that sends as fast as this process reads: the task that reads would
/// never pause, and other callers wouldn't be served.
#[derive(Debug)]
pub struct BoundedStream<S> {
    stream: S,
    allowance: Arc<ReadAllowance>,
    progress: Arc<WriteProgress>,
    /// What may be received after each write; `None` if others set the allowance.
    per_request: Option<ByteCount>,
    /// Bytes received since the last pause.
    burst: usize,
}

impl<S> BoundedStream<S> {
    /// Bounds a connection by an allowance that the caller sets.
    pub fn new(stream: S, allowance: Arc<ReadAllowance>, progress: Arc<WriteProgress>) -> Self {
        Self { stream, allowance, progress, per_request: None, burst: 0 }
    }

    /// Bounds what a connection receives after each request is written.
    pub fn per_request(stream: S, limit: ByteCount) -> Self {
        let allowance = Arc::new(ReadAllowance::new(limit));
        let progress = Arc::default();
        Self { stream, allowance, progress, per_request: Some(limit), burst: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.burst >= BURST_BYTES {
            self.burst = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let left = usize::try_from(self.allowance.left()).unwrap_or(usize::MAX);
        if left == 0 {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let most = buffer.len().min(left);
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..most]);
        match &polled {
            Poll::Ready(Ok(received)) => {
                self.allowance.take(*received);
                self.burst += received;
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.burst = 0,
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.set_unwritten(true);
        if let Some(limit) = self.per_request {
            self.allowance.set(limit);
        }
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    /// The HTTP client flushes once it has written all of its buffer, which holds the whole request.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = polled {
            self.progress.set_unwritten(false);
        }
        polled
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

impl<S: Transport> Transport for BoundedStream<S> {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.stream.set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.stream.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.stream.set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.stream.peer_addr()
    }

    fn negotiated_alpn(&self) -> Option<Cow<'_, [u8]>> {
        self.stream.negotiated_alpn()
    }
}
