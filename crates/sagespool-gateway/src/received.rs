//! Bounds on the bytes that an upstream sends, and what its connection has taken.
//!
//! An upstream in trouble may send bytes without end: in a head, as interim responses, in the length
//! or the extension of a chunk, in a body. Nothing above the connection counts all of these, so the
//! connection itself does.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use sagespool_types::ByteCount;
use smol::net::TcpStream;

/// Maximum size of a response's head, with the interim responses before it and the bytes of the body
/// that are read together with it.
pub(crate) const MAX_HEAD: ByteCount = ByteCount(256 << 10);
/// Maximum size of a response that isn't streamed. Such a response is buffered before it is
/// forwarded, so that a truncated one is detected and the request can be retried.
pub(crate) const MAX_PLAIN_BODY: ByteCount = ByteCount(16 << 20);
/// Maximum size of an event of a stream.
pub(crate) const MAX_EVENT: ByteCount = ByteCount(256 << 10);
/// Bytes read without a pause before other tasks of the thread get their turn.
const BURST_BYTES: usize = 64 << 10;
/// The bytes that the HTTP client reads ahead, which count for the previous allowance.
pub(crate) const READ_AHEAD_BYTES: usize = 64 << 10;

/// How many more bytes a connection may receive.
#[derive(Debug)]
pub(crate) struct ReadAllowance {
    left: AtomicU64,
}

impl ReadAllowance {
    pub(crate) fn new(bytes: ByteCount) -> Self {
        Self { left: AtomicU64::new(bytes.0) }
    }

    /// Sets how many more bytes may be received.
    pub(crate) fn set(&self, bytes: ByteCount) {
        self.left.store(bytes.0, Ordering::Relaxed);
    }

    /// Whether the connection has failed because it received too much.
    pub(crate) fn is_exhausted(&self) -> bool {
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
pub(crate) struct WriteProgress {
    is_unwritten: AtomicBool,
}

impl WriteProgress {
    /// Whether a part of the request is still to be written.
    pub(crate) fn is_unwritten(&self) -> bool {
        self.is_unwritten.load(Ordering::Acquire)
    }

    fn set_unwritten(&self, is_unwritten: bool) {
        self.is_unwritten.store(is_unwritten, Ordering::Release);
    }
}

/// A connection to an upstream that fails once it has received more than its allowance.
///
/// Guards also against an upstream that sends as fast as this process reads: the task that reads would
/// never pause, and other callers wouldn't be served.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    allowance: Arc<ReadAllowance>,
    progress: Arc<WriteProgress>,
    /// Bytes received since the last pause.
    burst: usize,
}

impl BoundedStream {
    pub(crate) fn new(
        stream: TcpStream,
        allowance: Arc<ReadAllowance>,
        progress: Arc<WriteProgress>,
    ) -> Self {
        Self { stream, allowance, progress, burst: 0 }
    }
}

impl AsyncRead for BoundedStream {
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

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.set_unwritten(true);
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
