//! One answer of a stand-in, and how it is put on the connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::AsyncRead;
use sagespool_types::StoreRevision;
use serde::Serialize;
use trillium::{Body, Conn, Status};

const REVISION_HEADER: &str = "x-store-revision";
const RETRY_HEADER: &str = "retry-after-ms";

/// An answer, or the decision to break the connection instead.
#[derive(Debug)]
pub(crate) struct HttpReply {
    status: Status,
    body: Vec<u8>,
    revision: Option<StoreRevision>,
    retry_after_ms: Option<u64>,
    broken: bool,
}

#[derive(Serialize)]
struct FaultBody {
    error: String,
}

impl HttpReply {
    /// An answer with a JSON body.
    pub(crate) fn json(status: Status, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("answers have text keys and finite numbers");
        Self { status, body, revision: None, retry_after_ms: None, broken: false }
    }

    /// An answer that says what was wrong.
    pub(crate) fn fault(status: Status, error: impl ToString) -> Self {
        Self::json(status, &FaultBody { error: error.to_string() })
    }

    /// No answer: the connection ends before the first byte.
    pub(crate) fn broken() -> Self {
        let mut reply = Self::fault(Status::InternalServerError, "never sent");
        reply.broken = true;
        reply
    }

    /// The same answer with the store's revision.
    pub(crate) fn at_revision(mut self, revision: StoreRevision) -> Self {
        self.revision = Some(revision);
        self
    }

    /// The same answer with the time after which to try again.
    pub(crate) fn retry_after_ms(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// Puts the answer on the connection.
    pub(crate) fn send(self, conn: Conn) -> Conn {
        if self.broken {
            return conn.with_status(self.status).with_body(broken_body()).halt();
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

/// A body whose first read fails. The server holds the head back until the
/// body's first bytes are there, so it closes the connection with nothing sent.
struct BrokenBody;

const PROMISED_BYTES: u64 = 1;

fn broken_body() -> Body {
    Body::new_streaming(BrokenBody, Some(PROMISED_BYTES))
}

impl AsyncRead for BrokenBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}
