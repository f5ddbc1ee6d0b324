//! The response body of a completion: server-sent events, sent as their tokens are generated.

use std::future::Future;
use std::io;
use std::io::Write;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use futures_lite::AsyncRead;

use super::answer::AnswerSeed;
use crate::restartable_server::lock;

const MAX_EVENTS_PER_CHUNK: u32 = 64;

/// Progress of a run, written by the engine and read by the response body.
#[derive(Default)]
pub(crate) struct RunStream {
    state: Mutex<StreamState>,
}

#[derive(Default)]
struct StreamState {
    /// Generated tokens, counted from the start of the whole answer.
    available: u32,
    end: Option<StreamEnd>,
    waker: Option<Waker>,
}

/// How a stream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// With a final event that carries this finish reason.
    Closed(&'static str),
    /// Without a final event: the connection breaks.
    Broken,
}

impl RunStream {
    pub(crate) fn make_available(&self, available: u32) {
        let mut state = lock(&self.state);
        state.available = available;
        wake(state.waker.take());
    }

    pub(crate) fn end(&self, end: StreamEnd) {
        let mut state = lock(&self.state);
        state.end.get_or_insert(end);
        wake(state.waker.take());
    }

    /// The tokens from an index on, or the end; registers the waker if there is neither yet.
    fn poll_next(&self, index: u32, cx: &Context<'_>) -> StreamPoll {
        let mut state = lock(&self.state);
        if state.available > index {
            return StreamPoll::Tokens(state.available);
        }
        if let Some(end) = state.end {
            return StreamPoll::End(end);
        }
        state.waker = Some(cx.waker().clone());
        StreamPoll::Pending
    }
}

fn wake(waker: Option<Waker>) {
    if let Some(waker) = waker {
        waker.wake();
    }
}

enum StreamPoll {
    /// Tokens up to this index (exclusive) are available.
    Tokens(u32),
    End(StreamEnd),
    Pending,
}

/// Parameters of a stream besides its tokens.
pub(crate) struct StreamParams {
    pub(crate) seed: AnswerSeed,
    pub(crate) prompt_tokens: u64,
    pub(crate) resumed_from: u32,
}

type DisconnectFuture = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// The response body. Dropping it before the end stops its run.
pub(crate) struct AnswerBody {
    stream: Arc<RunStream>,
    params: StreamParams,
    next: u32,
    closed: bool,
    chunk: Vec<u8>,
    sent: usize,
    disconnected: DisconnectFuture,
    on_drop: Box<dyn Fn() + Send + Sync>,
}

impl AnswerBody {
    pub(crate) fn new(
        stream: Arc<RunStream>,
        params: StreamParams,
        disconnected: impl Future<Output = ()> + Send + Sync + 'static,
        on_drop: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Self {
            stream,
            next: params.resumed_from,
            params,
            closed: false,
            chunk: Vec::new(),
            sent: 0,
            disconnected: Box::pin(disconnected),
            on_drop: Box::new(on_drop),
        }
    }

    fn write_tokens(&mut self, until: u32) {
        let until = until.min(self.next + MAX_EVENTS_PER_CHUNK);
        for index in self.next..until {
            let token = self.params.seed.token(index);
            let event = format_args!(
                "data: {{\"index\":{index},\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n"
            );
            self.write(event);
        }
        self.next = until;
    }

    fn write_close(&mut self, reason: &str) {
        let prompt = self.params.prompt_tokens;
        let completion = self.next;
        self.write(format_args!(
            "data: {{\"choices\":[{{\"delta\":{{}},\"finish_reason\":\"{reason}\"}}],\
             \"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{completion}}}}}\n\n\
             data: [DONE]\n\n"
        ));
        self.closed = true;
    }

    fn write(&mut self, text: std::fmt::Arguments<'_>) {
        self.chunk.write_fmt(text).expect("writing to memory doesn't fail");
    }

    /// Renders the next chunk; the result is false at the end of the stream.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.chunk.clear();
        self.sent = 0;
        if self.closed {
            return Poll::Ready(Ok(false));
        }
        match self.stream.poll_next(self.next, cx) {
            StreamPoll::Tokens(until) => self.write_tokens(until),
            StreamPoll::End(StreamEnd::Closed(reason)) => self.write_close(reason),
            StreamPoll::End(StreamEnd::Broken) => {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            StreamPoll::Pending => return self.poll_disconnected(cx),
        }
        Poll::Ready(Ok(true))
    }

    /// A disconnect is not noticed by a write while the request waits or between two slow tokens;
    /// without this check its run would keep occupying a slot.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        match self.disconnected.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for AnswerBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.sent == self.chunk.len() {
            match self.poll_chunk(cx) {
                Poll::Ready(Ok(true)) => {}
                Poll::Ready(Ok(false)) => return Poll::Ready(Ok(0)),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        let rest = &self.chunk[self.sent..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.sent += count;
        Poll::Ready(Ok(count))
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        (self.on_drop)();
    }
}
