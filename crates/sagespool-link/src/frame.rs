//! Frames: the encoding of messages in a stream.
//!
//! A frame consists of the length of what follows (4 bytes, little-endian), a kind
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

/// Limit for kind and message of a frame. A longer frame is malformed, so that no
/// peer can make another allocate memory at will.
const MAX_FRAME_BYTES: usize = 8 << 20;
const LENGTH_BYTES: usize = 4;
const READ_CHUNK_BYTES: usize = 256 << 10;

/// The type of a frame's message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum FrameKind {
    /// Empty: a liveness probe, and the reply to it.
    Probe = 0,
    /// A [`PeerRequest`].
    Request = 1,
    /// A `PeerReply`.
    Reply = 2,
    /// A `DispatchEvent`.
    Event = 3,
}

impl FrameKind {
    fn from_byte(byte: u8) -> Option<Self> {
        [Self::Probe, Self::Request, Self::Reply, Self::Event]
            .into_iter()
            .find(|kind| *kind as u8 == byte)
    }
}

/// The traffic class of a request.
pub(crate) fn request_class(request: &PeerRequest) -> TrafficClass {
    match request {
        PeerRequest::Dispatch(_) | PeerRequest::Attach(_) => TrafficClass::Payload,
        _ => TrafficClass::Control,
    }
}

/// Encodes a message as a frame.
pub(crate) fn encode_frame<T: Serialize>(kind: FrameKind, message: &T) -> Result<Bytes, LinkError> {
    let mut frame = vec![0; LENGTH_BYTES];
    frame.push(kind as u8);
    let mut frame = postcard::to_extend(message, frame)
        .expect("messages hold only types that postcard can encode");
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        let (size, limit) = (ByteCount(length as u64), ByteCount(MAX_FRAME_BYTES as u64));
        return Err(LinkError::TooLarge { size, limit });
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(frame.into())
}

/// The frame of a probe, and of the reply to one.
pub(crate) fn probe_frame() -> Bytes {
    Bytes::from_static(&[1, 0, 0, 0, FrameKind::Probe as u8])
}

/// A received frame, its message not yet decoded.
#[derive(Debug)]
pub(crate) struct ReceivedFrame {
    pub(crate) kind: FrameKind,
    message: Bytes,
}

impl ReceivedFrame {
    /// The bytes that the frame takes up in the stream.
    pub(crate) fn size(&self) -> usize {
        LENGTH_BYTES + 1 + self.message.len()
    }

    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, FrameError> {
        match postcard::take_from_bytes(&self.message) {
            Ok((message, [])) => Ok(message),
            Ok((_, rest)) => {
                Err(FrameError::Malformed(format!("{} trailing bytes after a message", rest.len())))
            }
            Err(error) => Err(FrameError::Malformed(format!("can't decode a message: {error}"))),
        }
    }
}

/// The failure to read a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FrameError {
    /// The stream ended within a frame.
    Truncated,
    /// The bytes are not a valid frame.
    Malformed(String),
    /// The peer reset the stream, with this code.
    Reset(VarInt),
    /// The stream or its connection failed.
    ReadFailed(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("the stream ended within a message"),
            Self::Malformed(detail) => f.write_str(detail),
            Self::Reset(code) => write!(f, "the peer reset the stream with code {code}"),
            Self::ReadFailed(detail) => f.write_str(detail),
        }
    }
}

impl From<ReadError> for FrameError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Reset(code) => Self::Reset(code),
            ReadError::ConnectionLost(error) => Self::ReadFailed(error.to_string()),
            other => Self::ReadFailed(other.to_string()),
        }
    }
}

/// Reads frames from a stream.
#[derive(Debug)]
pub(crate) struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// The next frame, or `None` at the end of the stream. Cancel-safe.
    pub(crate) async fn next(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        loop {
            if let Some(frame) = self.take_buffered()? {
                return Ok(Some(frame));
            }
            match self.stream.read_chunk(READ_CHUNK_BYTES, true).await? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk.bytes),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(FrameError::Truncated),
            }
        }
    }

    fn take_buffered(&mut self) -> Result<Option<ReceivedFrame>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return Err(FrameError::Malformed(format!("invalid frame length: {length} bytes")));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let mut message = self.buffer.split_to(length).freeze();
        let byte = message.get_u8();
        match FrameKind::from_byte(byte) {
            Some(kind) => Ok(Some(ReceivedFrame { kind, message })),
            None => Err(FrameError::Malformed(format!("unknown frame kind {byte}"))),
        }
    }

    /// Reads the end of the stream if it has arrived already. When a stream is
    /// dropped before its end was read, QUIC sends STOP_SENDING, which would cost
    /// a datagram for each exchange.
    pub(crate) async fn poll_end(&mut self) {
        let _ = futures_lite::future::poll_once(self.stream.read_chunk(1, true)).await;
    }

    /// Cancels the rest of the stream at the sender.
    pub(crate) fn stop(&mut self, code: VarInt) {
        // Fails only if the stream has ended already.
        let _ = self.stream.stop(code);
    }
}
