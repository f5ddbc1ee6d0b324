//! Sends an operator line to an entry, and to the next one if the first doesn't answer.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_operations::{ErrorReply, LINE_PATH, LineRequest, OperatorAnswer, OperatorError};
use trillium_client::{Client, Status};

/// In addition to a command's own wait: queries to members, store reads, rollout.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// The result of sending a line to the entries.
#[derive(Debug)]
pub enum LineOutcome {
    /// An entry answered.
    Answer(Box<OperatorAnswer>),
    /// An entry refused the line.
    Refused(Box<OperatorError>),
    /// No entry answered.
    NoAnswer {
        /// Each entry, with the reason.
        tried: Vec<String>,
        /// True if an entry may have received the line.
        may_have_arrived: bool,
    },
}

/// The result of sending a line to one entry.
enum EntryOutcome {
    Answer(Box<OperatorAnswer>),
    /// A refusal; for some reasons the next entry is tried.
    Refused(Box<OperatorError>),
    NoAnswer {
        reason: String,
        may_have_arrived: bool,
    },
}

/// Sends operator lines to entries over HTTP.
pub struct LineClient {
    client: Client,
    entries: Vec<SocketAddr>,
    token: String,
}

impl LineClient {
    /// A client of these entries, tried in this order.
    pub fn new(entries: Vec<SocketAddr>, token: String) -> Self {
        let config = trillium_smol::ClientConfig::default().with_nodelay(true);
        let client = Client::new(config).without_keepalive();
        Self { client, entries, token }
    }

    /// Sends a line. Tries the next entry if one can't be reached or can't serve the line at present.
    /// A command that reaches two entries runs once, because both get the same command id.
    pub async fn send(&self, request: &LineRequest) -> LineOutcome {
        let mut tried = Vec::new();
        let mut refused = None;
        let mut any_arrived = false;
        for entry in &self.entries {
            match self.send_to(*entry, request).await {
                EntryOutcome::Answer(answer) => return LineOutcome::Answer(answer),
                EntryOutcome::Refused(error) if !may_succeed_elsewhere(&error) => {
                    return LineOutcome::Refused(error);
                }
                EntryOutcome::Refused(error) => {
                    tried.push(format!("{entry}: {}", error.message));
                    any_arrived |= error.may_be_under_way;
                    refused = Some(error);
                }
                EntryOutcome::NoAnswer { reason, may_have_arrived } => {
                    tried.push(format!("{entry}: {reason}"));
                    any_arrived |= may_have_arrived;
                }
            }
        }
        match refused {
            Some(mut error) => {
                error.may_be_under_way |= any_arrived;
                LineOutcome::Refused(error)
            }
            None => LineOutcome::NoAnswer { tried, may_have_arrived: any_arrived },
        }
    }

    async fn send_to(&self, entry: SocketAddr, request: &LineRequest) -> EntryOutcome {
        let wait = Duration::from_millis(request.wait_ms.unwrap_or_default());
        let timeout = async {
            smol::Timer::after(wait + ANSWER_TIMEOUT).await;
            EntryOutcome::NoAnswer {
                reason: "timed out waiting for the answer".to_owned(),
                may_have_arrived: true,
            }
        };
        self.post_line(entry, request).or(timeout).await
    }

    async fn post_line(&self, entry: SocketAddr, request: &LineRequest) -> EntryOutcome {
        let no_answer = |reason: String| EntryOutcome::NoAnswer { reason, may_have_arrived: true };
        let body = serde_json::to_string(request).expect("a request is plain data");
        let sent = self
            .client
            .post(format!("http://{entry}{LINE_PATH}").as_str())
            .with_request_header("authorization", format!("Bearer {}", self.token))
            .with_request_header("content-type", "application/json")
            .with_body(body)
            .await;
        let mut conn = match sent {
            Ok(conn) => conn,
            Err(error) => return no_answer(error.to_string()),
        };
        let status = conn.status();
        let text = match conn.response_body().read_string().await {
            Ok(text) => text,
            Err(error) => return no_answer(format!("incomplete response body: {error}")),
        };
        read_answer(status, &text)
    }
}

fn read_answer(status: Option<Status>, text: &str) -> EntryOutcome {
    if status == Some(Status::Ok) {
        if let Ok(answer) = serde_json::from_str(text) {
            return EntryOutcome::Answer(Box::new(answer));
        }
    } else if let Ok(reply) = serde_json::from_str::<ErrorReply>(text) {
        return EntryOutcome::Refused(Box::new(reply.error));
    }
    let status = status.map_or_else(|| "no status".to_owned(), |status| status.to_string());
    let reason = format!("the server is not an entry of this version ({status})");
    EntryOutcome::NoAnswer { reason, may_have_arrived: true }
}

/// An entry without configuration, one that is leaving, or one that can't reach the store: these
/// reasons don't apply to other entries.
fn may_succeed_elsewhere(error: &OperatorError) -> bool {
    ["not-ready", "leaving", "store-unreachable"].contains(&error.code.as_str())
}
