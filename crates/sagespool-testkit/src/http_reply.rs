//! HTTP replies of the fake object store and instance list.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::AsyncRead;
use sagespool_types::StoreRevision;
use serde::Serialize;
use trillium::{Body, Conn, Status};

const REVISION_HEADER: &str = "x-store-revision";
const RETRY_HEADER: &str = "retry-after-ms";

/// An HTTP reply, or an order to break the connection without one.
#[derive(Debug)]
pub(crate) struct HttpReply {
    status: Status,
    body: Vec<u8>,
    revision: Option<StoreRevision>,
    retry_after_ms: Option<u64>,
    broken: bool,
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

impl HttpReply {
    /// A reply with a JSON body.
    pub(crate) fn json(status: Status, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("answers have text keys and finite numbers");
        Self { status, body, revision: None, retry_after_ms: None, broken: false }
    }

    /// A reply with an error message, `{"error": "..."}`.
    pub(crate) fn error(status: Status, error: impl ToString) -> Self {
        Self::json(status, &ErrorBody { error: error.to_string() })
    }

    /// No reply: the connection breaks before the first byte.
    pub(crate) fn disconnect() -> Self {
        let mut reply = Self::error(Status::InternalServerError, "never sent");
        reply.broken = true;
        reply
    }

    /// Adds the revision of the store.
    pub(crate) fn at_revision(mut self, revision: StoreRevision) -> Self {
        self.revision = Some(revision);
        self
    }

    /// Adds the time to wait before a retry.
    pub(crate) fn retry_after_ms(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// Writes the reply to the connection.
    pub(crate) fn send(self, conn: Conn) -> Conn {
        if self.broken {
            return conn.with_status(self.status).with_body(failing_body()).halt();
        }
        let mut conn = conn.with_status(self.status).with_body(self.body).halt();
        conn.insert_response_header("content-type", "application/json");
        if let Some(revision) = self.revision {
            conn.insert_response_header(REVISION_HEADER, revision.to_string());
        }
        if let Some(millis) = self.retry_after_ms {
            conn.insert_response_header(RETRY_HEADER, millis.to_string());
        }
        conn
    }
}

/// A body whose first read fails. The server buffers the head until the first bytes of the body
/// are available, so it closes the connection with nothing sent.
struct FailingBody;

const DECLARED_BYTES: u64 = 1;

fn failing_body() -> Body {
    Body::new_streaming(FailingBody, Some(DECLARED_BYTES))
}

impl AsyncRead for FailingBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}
