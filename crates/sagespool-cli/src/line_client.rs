//! Sending a line to an entry, and to the next where one doesn't answer.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_operations::{ErrorReply, LINE_PATH, LineRequest, OperatorAnswer, OperatorError};
use trillium_client::{Client, Status};

/// Beside a command's own waiting time: asking members, reading the store, putting in force.
const ANSWER_LIMIT: Duration = Duration::from_secs(15);

/// What became of a line.
#[derive(Debug)]
pub enum LineEnd {
    /// An entry answered.
    Answer(Box<OperatorAnswer>),
    /// An entry refused.
    Refused(Box<OperatorError>),
    /// No entry answered.
    NoAnswer {
        /// Each entry, and why not.
        tried: Vec<String>,
        /// True if the line may have come to one.
        may_have_come: bool,
    },
}

/// What one entry said.
enum EntryEnd {
    Answer(Box<OperatorAnswer>),
    /// A refusal; another entry may do better with some.
    Refused(Box<OperatorError>),
    Silent {
        why: String,
        may_have_come: bool,
    },
}

/// Sends lines to entries.
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

    /// Sends a line. The next entry is tried where one can't be reached, or says that it can't serve
    /// now: a command has an id, so that two that get it do it once.
    pub async fn send(&self, request: &LineRequest) -> LineEnd {
        let mut tried = Vec::new();
        let mut refused = None;
        let mut came = false;
        for entry in &self.entries {
            match self.ask(*entry, request).await {
                EntryEnd::Answer(answer) => return LineEnd::Answer(answer),
                EntryEnd::Refused(fault) if !may_differ_elsewhere(&fault) => {
                    return LineEnd::Refused(fault);
                }
                EntryEnd::Refused(fault) => {
                    tried.push(format!("{entry}: {}", fault.message));
                    came |= fault.may_be_under_way;
                    refused = Some(fault);
                }
                EntryEnd::Silent { why, may_have_come } => {
                    tried.push(format!("{entry}: {why}"));
                    came |= may_have_come;
                }
            }
        }
        match refused {
            Some(mut fault) => {
                fault.may_be_under_way |= came;
                LineEnd::Refused(fault)
            }
            None => LineEnd::NoAnswer { tried, may_have_come: came },
        }
    }

    async fn ask(&self, entry: SocketAddr, request: &LineRequest) -> EntryEnd {
        let wait = Duration::from_millis(request.wait_ms.unwrap_or_default());
        let late = async {
            smol::Timer::after(wait + ANSWER_LIMIT).await;
            EntryEnd::Silent { why: "no answer in time".to_owned(), may_have_come: true }
        };
        self.exchange(entry, request).or(late).await
    }

    async fn exchange(&self, entry: SocketAddr, request: &LineRequest) -> EntryEnd {
        let silent = |why: String| EntryEnd::Silent { why, may_have_come: true };
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
            Err(error) => return silent(error.to_string()),
        };
        let status = conn.status();
        let text = match conn.response_body().read_string().await {
            Ok(text) => text,
            Err(error) => return silent(format!("the answer broke off: {error}")),
        };
        read_answer(status, &text)
    }
}

fn read_answer(status: Option<Status>, text: &str) -> EntryEnd {
    if status == Some(Status::Ok) {
        if let Ok(answer) = serde_json::from_str(text) {
            return EntryEnd::Answer(Box::new(answer));
        }
    } else if let Ok(reply) = serde_json::from_str::<ErrorReply>(text) {
        return EntryEnd::Refused(Box::new(reply.error));
    }
    let status = status.map_or_else(|| "no status".to_owned(), |status| status.to_string());
    let why = format!("what answers is no entry of this version ({status})");
    EntryEnd::Silent { why, may_have_come: true }
}

/// An entry that has no configuration, is leaving, or can't reach the store says nothing of others.
fn may_differ_elsewhere(fault: &OperatorError) -> bool {
    ["not-ready", "leaving", "store-unreachable"].contains(&fault.code.as_str())
}
