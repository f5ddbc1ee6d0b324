//! The body of a completion's answer: server-sent events at the time of their tokens.

use std::future::Future;
use std::io;
use std::io::Write;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use futures_lite::AsyncRead;

use super::answer::AnswerSeed;
use crate::stand_server::lock;

const MOST_EVENTS_A_PIECE: u32 = 64;

/// What a run has for its stream, set by the engine and read by the body.
#[derive(Default)]
pub(crate) struct RunStream {
    state: Mutex<StreamState>,
}

#[derive(Default)]
struct StreamState {
    /// Tokens of the whole answer that are there.
    available: u32,
    end: Option<StreamEnd>,
    waker: Option<Waker>,
}

/// How a stream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// With a last event that says why.
    Closed(&'static str),
    /// In the middle, as the engine is gone.
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

    /// What there is beyond a place; registers the waker if there is nothing.
    fn poll_next(&self, place: u32, cx: &Context<'_>) -> NextPiece {
        let mut state = lock(&self.state);
        if state.available > place {
            return NextPiece::Tokens(state.available);
        }
        if let Some(end) = state.end {
            return NextPiece::End(end);
        }
        state.waker = Some(cx.waker().clone());
        NextPiece::Nothing
    }
}

fn wake(waker: Option<Waker>) {
    if let Some(waker) = waker {
        waker.wake();
    }
}

enum NextPiece {
    /// Tokens up to this place.
    Tokens(u32),
    End(StreamEnd),
    Nothing,
}

/// What a stream tells its reader besides the tokens.
pub(crate) struct StreamPlan {
    pub(crate) seed: AnswerSeed,
    pub(crate) prompt_tokens: u64,
    pub(crate) resumed_from: u32,
}

type GoneFuture = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// The answer's body. When it is dropped before its end, its run is given up.
pub(crate) struct AnswerBody {
    stream: Arc<RunStream>,
    plan: StreamPlan,
    next: u32,
    closed: bool,
    piece: Vec<u8>,
    sent: usize,
    peer_gone: GoneFuture,
    give_up: Box<dyn Fn() + Send + Sync>,
}

impl AnswerBody {
    pub(crate) fn new(
        stream: Arc<RunStream>,
        plan: StreamPlan,
        peer_gone: impl Future<Output = ()> + Send + Sync + 'static,
        give_up: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Self {
            stream,
            next: plan.resumed_from,
            plan,
            closed: false,
            piece: Vec::new(),
            sent: 0,
            peer_gone: Box::pin(peer_gone),
            give_up: Box::new(give_up),
        }
    }

    fn write_tokens(&mut self, until: u32) {
        let until = until.min(self.next + MOST_EVENTS_A_PIECE);
        for place in self.next..until {
            let token = self.plan.seed.token(place);
            let event = format_args!(
                "data: {{\"index\":{place},\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n"
            );
            self.write(event);
        }
        self.next = until;
    }

    fn write_close(&mut self, reason: &str) {
        let prompt = self.plan.prompt_tokens;
        let completion = self.next;
        self.write(format_args!(
            "data: {{\"choices\":[{{\"delta\":{{}},\"finish_reason\":\"{reason}\"}}],\
             \"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{completion}}}}}\n\n\
             data: [DONE]\n\n"
        ));
        self.closed = true;
    }

    fn write(&mut self, text: std::fmt::Arguments<'_>) {
        self.piece.write_fmt(text).expect("writing to memory doesn't fail");
    }

    /// Renders the next piece; the outcome is whether there is one.
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.piece.clear();
        self.sent = 0;
        if self.closed {
            return Poll::Ready(Ok(false));
        }
        match self.stream.poll_next(self.next, cx) {
            NextPiece::Tokens(until) => self.write_tokens(until),
            NextPiece::End(StreamEnd::Closed(reason)) => self.write_close(reason),
            NextPiece::End(StreamEnd::Broken) => {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            NextPiece::Nothing => return self.poll_gone(cx),
        }
        Poll::Ready(Ok(true))
    }

    /// A caller that goes away while its request waits, or between two slow tokens, shows
    /// in no write: without this look at the connection its run would hold its slot.
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        match self.peer_gone.as_mut().poll(cx) {
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
        if self.sent == self.piece.len() {
            match self.poll_piece(cx) {
                Poll::Ready(Ok(true)) => {}
                Poll::Ready(Ok(false)) => return Poll::Ready(Ok(0)),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        let rest = &self.piece[self.sent..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.sent += count;
        Poll::Ready(Ok(count))
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        (self.give_up)();
    }
}
