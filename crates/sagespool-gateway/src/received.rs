//! Bounds on the bytes that an upstream sends.

use sagespool_types::ByteCount;

/// Maximum size of a response's head, with the interim responses before it and the bytes of the body
/// that are read together with it.
pub(crate) const MAX_HEAD: ByteCount = ByteCount(256 << 10);
/// Maximum size of a response that isn't streamed. Such a response is buffered before it is
/// forwarded, so that a truncated one is detected and the request can be retried.
pub(crate) const MAX_PLAIN_BODY: ByteCount = ByteCount(16 << 20);
/// Maximum size of an event of a stream.
pub(crate) const MAX_EVENT: ByteCount = ByteCount(256 << 10);
/// The bytes that the HTTP client reads ahead, which count for the previous allowance.
pub(crate) const READ_AHEAD_BYTES: usize = 64 << 10;
