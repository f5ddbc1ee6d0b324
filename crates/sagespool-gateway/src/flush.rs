//! Knowing when a connection has written everything out.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::TcpStream;

/// Counts how often a connection had nothing left to write.
#[derive(Debug, Default)]
pub struct FlushCounter {
    flushes: AtomicU64,
    waiting: Mutex<Option<Waker>>,
}

impl FlushCounter {
    /// How many flushes there were.
    pub(crate) fn count(&self) -> u64 {
        self.flushes.load(Ordering::Acquire)
    }

    /// Waits for a flush after those that were counted. One task may wait at a time.
    pub(crate) fn poll_past(&self, counted: u64, context: &Context<'_>) -> Poll<()> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if self.count() > counted {
            return Poll::Ready(());
        }
        *waiting = Some(context.waker().clone());
        Poll::Pending
    }

    fn note(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        self.flushes.fetch_add(1, Ordering::AcqRel);
        if let Some(waker) = waiting.take() {
            waker.wake();
        }
    }
}

/// A connection whose flushes are counted. Its user flushes it only when all was written to it, as
/// the HTTP library does.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    flushes: Arc<FlushCounter>,
    /// How long the peer may take nothing of what waits to be written.
    unread_limit: Option<Duration>,
    /// Runs while the peer takes nothing.
    unread: Option<Timer>,
}

impl CountedStream {
    /// Counts a connection's flushes from now on.
    pub fn new(stream: TcpStream, flushes: Arc<FlushCounter>) -> Self {
        Self { stream, flushes, unread_limit: None, unread: None }
    }

    /// Fails a connection whose peer takes nothing for so long.
    ///
    /// Guards against callers whose machine went dark in the middle of an answer: without a word
    /// from them the system keeps the connection for a quarter of an hour, with its descriptor and
    /// all that the answer holds. One that still reads, however slowly, starts the time anew with
    /// each write.
    pub fn unread_for(mut self, limit: Duration) -> Self {
        self.unread_limit = Some(limit);
        self
    }

    /// Fails a write that waits for too long; one that was taken ends the wait.
    fn bound_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.unread = None;
            return written;
        }
        let Some(limit) = self.unread_limit else { return Poll::Pending };
        let unread = self.unread.get_or_insert_with(|| Timer::after(limit));
        ready!(Pin::new(unread).poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.bound_write(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.bound_write(written, context)
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
