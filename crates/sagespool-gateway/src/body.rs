//! Bodies of answers to callers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use futures_lite::Stream;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use smol::Task;

/// A piece of a streamed answer.
#[derive(Debug)]
pub(crate) enum BodyPiece {
    /// Bytes to pass on.
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// The answer broke off. Its connection is closed without the mark of a complete answer, so that
/// the caller can't take it for whole.
#[derive(Debug)]
pub(crate) struct AnswerCut;

impl fmt::Display for AnswerCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for AnswerCut {}

/// The body of an answer: known as a whole, or passed on as it arrives.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Whole(Option<Bytes>),
    Stream {
        /// What came before the answer's head was passed on.
        first: Option<BodyPiece>,
        pieces: Pin<Box<Receiver<BodyPiece>>>,
        /// Passes the answer on. It ends when the caller goes, because the body is dropped then.
        _relay: Task<()>,
    },
}

impl AnswerBody {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }

    pub(crate) fn stream(first: BodyPiece, pieces: Receiver<BodyPiece>, relay: Task<()>) -> Self {
        Self::Stream { first: Some(first), pieces: Box::pin(pieces), _relay: relay }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream { first, pieces, .. } => {
                let polled = match first.take() {
                    Some(piece) => Poll::Ready(Some(piece)),
                    None => pieces.as_mut().poll_next(context),
                };
                polled.map(|piece| match piece {
                    Some(BodyPiece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(BodyPiece::End) => None,
                    // The relay ended without saying that the answer is complete.
                    None => Some(Err(AnswerCut)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}
