//! Bodies of responses to callers.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::Stream;
use hyper::Version;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use smol::{Task, Timer};

use crate::admission::HeldMemory;
use crate::flush::FlushCounter;

/// How long an aborted response waits for the caller's connection to write the data before the
/// abort. A caller that reads needs some milliseconds; one that doesn't must not keep the
/// connection open.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A chunk of a streamed response.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes to forward.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// The error of an aborted response. The connection is closed without the final chunk, so that the
/// caller can't mistake the response for a complete one.
#[derive(Debug)]
pub struct ResponseAborted;

impl fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response aborted before its end")
    }
}

impl std::error::Error for ResponseAborted {}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete before the head is sent.
    Whole(WholeBody),
    /// Forwarded as it arrives.
    Stream(StreamedBody),
}

/// A body that is complete before the head is sent.
#[derive(Debug)]
pub struct WholeBody {
    /// `None` once the connection has taken them.
    bytes: Option<Bytes>,
    /// Counts the bytes towards the memory limit.
    _held: Option<HeldMemory>,
}

/// A body that is forwarded as it arrives.
#[derive(Debug)]
pub struct StreamedBody {
    /// The chunk that arrived before the head was forwarded.
    first: Option<BodyChunk>,
    chunks: Pin<Box<Receiver<BodyChunk>>>,
    /// Forwards the chunks. Cancelled when the caller disconnects, since the body is dropped then.
    _relay: Task<()>,
    /// The flush counter of the caller's connection.
    flushes: Option<Arc<FlushCounter>>,
    /// Whether only the end of the connection ends this response at the caller.
    ends_with_connection: bool,
    /// Set once the response is aborted.
    abort: Option<PendingAbort>,
}

/// An abort that waits for the connection's next flush.
#[derive(Debug)]
struct PendingAbort {
    /// The flush count when the abort was noticed.
    flushes: u64,
    limit: Timer,
}

impl ResponseBody {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole(WholeBody { bytes: (!bytes.is_empty()).then_some(bytes), _held: None })
    }

    /// A complete body whose bytes count towards the memory limit.
    pub(crate) fn counted(bytes: Bytes, held: HeldMemory) -> Self {
        Self::Whole(WholeBody { bytes: (!bytes.is_empty()).then_some(bytes), _held: Some(held) })
    }

    /// A streamed body. `relay` sends the chunks after `first` and is cancelled with this body.
    pub fn stream(first: BodyChunk, chunks: Receiver<BodyChunk>, relay: Task<()>) -> Self {
        let chunks = Box::pin(chunks);
        Self::Stream(StreamedBody {
            first: Some(first),
            chunks,
            _relay: relay,
            flushes: None,
            ends_with_connection: false,
            abort: None,
        })
    }

    /// Prepares a streamed body for a caller's HTTP version; before 1.1 there are no chunks.
    pub(crate) fn with_version(mut self, version: Version) -> Self {
        if let Self::Stream(body) = &mut self {
            body.ends_with_connection = version < Version::HTTP_11;
        }
        self
    }

    /// Sets the flush counter of the connection that the response is sent over.
    pub fn with_flush_counter(mut self, flushes: &Arc<FlushCounter>) -> Self {
        if let Self::Stream(body) = &mut self {
            body.flushes = Some(flushes.clone());
        }
        self
    }
}

impl StreamedBody {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        match self.first.take() {
            Some(chunk) => Poll::Ready(Some(chunk)),
            None => self.chunks.as_mut().poll_next(context),
        }
    }

    /// Waits until the connection has written everything before the abort.
    ///
    /// When a body fails, hyper drops the connection at once with all unwritten data. If the last
    /// events and the abort arrive together, the caller would get none of these events, and a
    /// stream aborted early would look like a connection closed without a response. A flush is
    /// counted only when nothing is left to write, so the first flush after the abort covers all
    /// earlier chunks.
    fn poll_abort(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(flushes) = &self.flushes else {
            return Poll::Ready(());
        };
        let abort = self.abort.get_or_insert_with(|| PendingAbort {
            flushes: flushes.count(),
            limit: Timer::after(FLUSH_TIMEOUT),
        });
        if flushes.poll_after(abort.flushes, context).is_ready() {
            return Poll::Ready(());
        }
        Pin::new(&mut abort.limit).poll(context).map(|_| ())
    }

    fn poll_stream(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        if self.abort.is_none() {
            match ready!(self.poll_chunk(context)) {
                Some(BodyChunk::Data(bytes)) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(BodyChunk::End) => return Poll::Ready(None),
                // The relay task ended without `End`.
                None => {}
            }
        }
        ready!(self.poll_abort(context));
        if let Some(flushes) = self.flushes.as_ref().filter(|_| self.ends_with_connection) {
            flushes.request_reset();
        }
        Poll::Ready(Some(Err(ResponseAborted)))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match &mut *self {
            Self::Whole(whole) => {
                Poll::Ready(whole.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(body) => body.poll_stream(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(WholeBody { bytes: None, .. }))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => {
                SizeHint::with_exact(whole.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
