//! Frames: how messages lie in a stream.
//!
//! A frame is the length of what follows (4 bytes, little-endian), a kind
//! (1 byte) and a message in postcard's encoding.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};
use quinn::{ReadError, RecvStream, VarInt};
use sagespool_messages::PeerRequest;
use sagespool_types::ByteCount;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::LinkError;
use crate::counters::TrafficClass;

/// The most bytes of kind and message that a frame holds. A longer length is
/// taken for garbage, so that no peer can make another set aside memory at will.
const FRAME_LIMIT: usize = 8 << 20;
const LENGTH_BYTES: usize = 4;
const READ_BYTES: usize = 256 << 10;

/// What a frame's message is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum FrameKind {
    /// Empty: asks whether the peer is there, and answers that it is.
    Probe = 0,
    /// A [`PeerRequest`].
    Request = 1,
    /// A `PeerReply`.
    Reply = 2,
    /// A `DispatchEvent`.
    Event = 3,
}

impl FrameKind {
    fn of(byte: u8) -> Option<Self> {
        [Self::Probe, Self::Request, Self::Reply, Self::Event]
            .into_iter()
            .find(|kind| *kind as u8 == byte)
    }
}

/// The class that a request is counted under.
pub(crate) fn request_class(request: &PeerRequest) -> TrafficClass {
    match request {
        PeerRequest::Dispatch(_) | PeerRequest::Attach(_) => TrafficClass::Payload,
        _ => TrafficClass::Control,
    }
}

/// An encoded message with its length and kind in front.
pub(crate) fn encode_frame<T: Serialize>(kind: FrameKind, message: &T) -> Result<Bytes, LinkError> {
    let mut frame = vec![0; LENGTH_BYTES];
    frame.push(kind as u8);
    let mut frame = postcard::to_extend(message, frame)
        .expect("messages hold nothing that postcard can't encode");
    let length = frame.len() - LENGTH_BYTES;
    if length > FRAME_LIMIT {
        let (size, limit) = (ByteCount(length as u64), ByteCount(FRAME_LIMIT as u64));
        return Err(LinkError::TooLarge { size, limit });
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(frame.into())
}

/// The frame of a probe.
pub(crate) fn probe_frame() -> Bytes {
    Bytes::from_static(&[1, 0, 0, 0, FrameKind::Probe as u8])
}

/// A frame as it was received.
#[derive(Debug)]
pub(crate) struct ReceivedFrame {
    pub(crate) kind: FrameKind,
    message: Bytes,
}

impl ReceivedFrame {
    /// Its size in the stream.
    pub(crate) fn size(&self) -> usize {
        LENGTH_BYTES + 1 + self.message.len()
    }

    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, FrameError> {
        match postcard::take_from_bytes(&self.message) {
            Ok((message, [])) => Ok(message),
            Ok((_, rest)) => {
                Err(FrameError::Garbage(format!("{} bytes too many in a message", rest.len())))
            }
            Err(error) => Err(FrameError::Garbage(format!("a message of another kind: {error}"))),
        }
    }
}

/// Why no frame could be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FrameError {
    /// The stream ended within a frame.
    CutShort,
    /// What is there is no frame.
    Garbage(String),
    /// The stream was given up by the peer, with its reason.
    Reset(VarInt),
    /// The stream or its connection broke.
    Broken(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CutShort => f.write_str("the stream ended within a message"),
            Self::Garbage(detail) => f.write_str(detail),
            Self::Reset(code) => write!(f, "the peer gave the stream up, code {code}"),
            Self::Broken(detail) => f.write_str(detail),
        }
    }
}

impl From<ReadError> for FrameError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Reset(code) => Self::Reset(code),
            ReadError::ConnectionLost(error) => Self::Broken(error.to_string()),
            other => Self::Broken(other.to_string()),
        }
    }
}

/// Reads frames from a stream.
#[derive(Debug)]
pub(crate) struct FrameReader {
    stream: RecvStream,
    held: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { stream, held: BytesMut::new() }
    }

    /// The next frame, or nothing at the stream's end. Cancel-safe.
    pub(crate) async fn next(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        loop {
            if let Some(frame) = self.take_held()? {
                return Ok(Some(frame));
            }
            match self.stream.read_chunk(READ_BYTES, true).await? {
                Some(chunk) => self.held.extend_from_slice(&chunk.bytes),
                None if self.held.is_empty() => return Ok(None),
                None => return Err(FrameError::CutShort),
            }
        }
    }

    fn take_held(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        let Some(prefix) = self.held.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        if length == 0 || length > FRAME_LIMIT {
            return Err(FrameError::Garbage(format!("a frame of {length} bytes")));
        }
        if self.held.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.held.advance(LENGTH_BYTES);
        let mut message = self.held.split_to(length).freeze();
        let byte = message.get_u8();
        match FrameKind::of(byte) {
            Some(kind) => Ok(Some(ReceivedFrame { kind, message })),
            None => Err(FrameError::Garbage(format!("a frame of kind {byte}"))),
        }
    }

    /// Takes note of the stream's end if it has come already. QUIC tells the
    /// sender to stop when a stream is dropped whose end was never read, which
    /// would cost a datagram for each exchange.
    pub(crate) async fn note_end(&mut self) {
        let _ = futures_lite::future::poll_once(self.stream.read_chunk(1, true)).await;
    }

    /// Tells the sender that nothing more of the stream is wanted.
    pub(crate) fn stop(&mut self, code: VarInt) {
        // Fails only if the stream is over, and then there is nothing to stop.
        let _ = self.stream.stop(code);
    }
}
