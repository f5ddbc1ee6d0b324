//! Detection of when a connection has written all its data.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use rustix::net::sockopt::set_socket_linger;
use smol::Timer;
use smol::net::TcpStream;

/// Counts the completed flushes of a connection.
#[derive(Debug, Default)]
pub struct FlushCounter {
    flushes: AtomicU64,
    waiting: Mutex<Option<Waker>>,
    /// Whether the connection is to be reset instead of closed.
    resets: AtomicBool,
}

impl FlushCounter {
    pub(crate) fn count(&self) -> u64 {
        self.flushes.load(Ordering::Acquire)
    }

    /// Waits until there are more flushes than `counted`. Only one task may wait at a time.
    pub(crate) fn poll_after(&self, counted: u64, context: &Context<'_>) -> Poll<()> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if self.count() > counted {
            return Poll::Ready(());
        }
        *waiting = Some(context.waker().clone());
        Poll::Pending
    }

    /// Makes the connection end with a reset. The end of a connection completes a response without a
    /// length and chunks, so an aborted one must not end like that.
    pub(crate) fn request_reset(&self) {
        self.resets.store(true, Ordering::Release);
    }

    fn note(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        self.flushes.fetch_add(1, Ordering::AcqRel);
        if let Some(waker) = waiting.take() {
            waker.wake();
        }
    }
}

/// A connection whose flushes are counted. It must be flushed only after all data was written to
/// it, as hyper does.
#[derive(Debug)]
pub struct FlushCountingStream {
    stream: TcpStream,
    flushes: Arc<FlushCounter>,
    /// Timeout of a blocked write; `None` for no timeout.
    write_timeout: Option<Duration>,
    /// Runs while a write is blocked.
    write_timer: Option<Timer>,
}

impl FlushCountingStream {
    /// Wraps a connection without a write timeout.
    pub fn new(stream: TcpStream, flushes: Arc<FlushCounter>) -> Self {
        Self { stream, flushes, write_timeout: None, write_timer: None }
    }

    /// Sets the timeout after which a blocked write fails.
    ///
    /// Guards against callers whose machine fails during a response: the operating system keeps
    /// such a connection for 15 minutes, with its descriptor and the buffered response. Each
    /// successful write restarts the timeout, so slow readers aren't affected.
    pub fn with_write_timeout(mut self, limit: Duration) -> Self {
        self.write_timeout = Some(limit);
        self
    }

    /// Applies the write timeout to the result of a write.
    fn apply_write_timeout(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let Some(limit) = self.write_timeout else { return Poll::Pending };
        let write_timer = self.write_timer.get_or_insert_with(|| Timer::after(limit));
        ready!(Pin::new(write_timer).poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Drop for FlushCountingStream {
    fn drop(&mut self) {
        if self.flushes.resets.load(Ordering::Acquire) {
            // Fails if the connection is closed already.
            let _ = set_socket_linger(&self.stream, Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for FlushCountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for FlushCountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.apply_write_timeout(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.apply_write_timeout(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.flushes.note();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
