//! The HTTP client of the load tool: sends a call and checks that the answer belongs to it.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use sagespool_types::{ClockTime, TokenCount};
use serde_json::{Value, json};
use trillium_client::{Client, Conn};

use super::{CallKind, CallOutcome, PlannedCall, SendRecord};
use crate::{answer_text, service_answer};

/// Time after a call's deadline at which the connection is closed.
const DEADLINE_GRACE: Duration = Duration::from_secs(3);

/// Sends each call on a new connection, as callers behind a balancer do.
#[derive(Debug, Clone)]
pub struct LoadCaller {
    client: Client,
}

impl Default for LoadCaller {
    fn default() -> Self {
        Self::new()
    }
}

struct ParsedAnswer {
    request: Option<String>,
    first_token: Option<Duration>,
    outcome: CallOutcome,
}

impl LoadCaller {
    /// Uses no keep-alive, and sets `TCP_NODELAY`.
    pub fn new() -> Self {
        let config = trillium_smol::ClientConfig::default().with_nodelay(true);
        Self { client: Client::new(config).without_keepalive() }
    }

    /// Sends a call to an address and waits for its outcome; `entry` is recorded only.
    pub async fn send(&self, call: &PlannedCall, entry: usize, address: SocketAddr) -> SendRecord {
        let sent = ClockTime::now();
        let limit = call.deadline + DEADLINE_GRACE;
        let answer = futures_lite::future::or(self.exchange(call, address, sent), async {
            smol::Timer::after(limit).await;
            let outcome = CallOutcome::Broken("no answer in time".into());
            ParsedAnswer { request: None, first_token: None, outcome }
        })
        .await;
        SendRecord {
            entry,
            sent,
            ended: ClockTime::now(),
            first_token: answer.first_token,
            request: answer.request,
            outcome: answer.outcome,
        }
    }

    fn request(&self, call: &PlannedCall, address: SocketAddr) -> Conn {
        let conn = match &call.kind {
            CallKind::Completion { model, prompt, max_tokens, stream, .. } => {
                let body = json!({
                    "model": model,
                    "messages": [{"role": "user", "content": prompt}],
                    "max_tokens": max_tokens,
                    "stream": stream,
                });
                self.client
                    .post(format!("http://{address}/v1/chat/completions").as_str())
                    .with_body(body.to_string())
            }
            CallKind::Service { service, method, path, .. } => {
                let url = format!("http://{address}/services/{service}{path}");
                match *method {
                    "POST" => self.client.post(url.as_str()).with_body(service_body(call)),
                    _ => self.client.get(url.as_str()),
                }
            }
        };
        let conn = conn
            .with_request_header("authorization", format!("Bearer {}", call.token))
            .with_request_header("sagespool-deadline-ms", call.deadline.as_millis().to_string());
        let conn = match &call.key {
            Some(key) => conn.with_request_header("idempotency-key", key.clone()),
            None => conn,
        };
        match &call.class {
            Some(class) => conn.with_request_header("sagespool-class", class.clone()),
            None => conn,
        }
    }

    async fn exchange(
        &self,
        call: &PlannedCall,
        address: SocketAddr,
        sent: ClockTime,
    ) -> ParsedAnswer {
        let broken = |detail: String| ParsedAnswer {
            request: None,
            first_token: None,
            outcome: CallOutcome::Broken(detail),
        };
        let mut conn = match self.request(call, address).await {
            Ok(conn) => conn,
            Err(error) => return broken(error.to_string()),
        };
        let request = conn.response_headers().get_str("sagespool-request-id").map(str::to_owned);
        let status = conn.status().map_or(0, |status| status as u16);
        if status != 200 {
            let outcome = read_refusal(&mut conn, status).await;
            return ParsedAnswer { request, first_token: None, outcome };
        }
        let (first_token, outcome) = match &call.kind {
            CallKind::Completion { stream: true, .. } => read_events(&mut conn, call, sent).await,
            CallKind::Completion { .. } => (None, read_whole(&mut conn, call).await),
            CallKind::Service { .. } => (None, read_service(&mut conn, call).await),
        };
        ParsedAnswer { request, first_token, outcome }
    }
}

fn service_body(call: &PlannedCall) -> String {
    format!("letter {}", call.marker)
}

fn tokens_of(value: &Value) -> TokenCount {
    TokenCount(value.as_u64().unwrap_or_default())
}

/// The expected text of the call's answer.
fn own_text(call: &PlannedCall) -> String {
    match &call.kind {
        CallKind::Completion { model, prompt, length, .. } => {
            answer_text(model.as_str(), prompt, *length)
        }
        CallKind::Service { path, method, .. } => {
            let body = if *method == "POST" { service_body(call) } else { String::new() };
            service_answer(path, body.as_bytes())
        }
    }
}

async fn read_text(conn: &mut Conn) -> Result<String, CallOutcome> {
    conn.response_body().read_string().await.map_err(|error| CallOutcome::Broken(error.to_string()))
}

fn refusal_of(body: &Value) -> Option<CallOutcome> {
    let error = body.get("error")?;
    let reason = error.get("reason")?.as_str()?.to_owned();
    let run_state = error.get("run_state")?.as_str()?.to_owned();
    Some(CallOutcome::Refused { reason, run_state, billed: tokens_of(&error["billed"]) })
}

async fn read_refusal(conn: &mut Conn, status: u16) -> CallOutcome {
    let text = match read_text(conn).await {
        Ok(text) => text,
        Err(broken) => return broken,
    };
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    refusal_of(&body).unwrap_or_else(|| {
        let code = body["error"]["code"].as_str().unwrap_or("no code").to_owned();
        CallOutcome::Invalid { status, code }
    })
}

async fn read_whole(conn: &mut Conn, call: &PlannedCall) -> CallOutcome {
    let text = match read_text(conn).await {
        Ok(text) => text,
        Err(broken) => return broken,
    };
    let Ok(body) = serde_json::from_str::<Value>(&text) else {
        return CallOutcome::Broken("answer is not valid JSON".into());
    };
    let content = body["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    let is_own = content == own_text(call);
    CallOutcome::Whole { billed: tokens_of(&body["sagespool"]["billed"]), is_own }
}

async fn read_service(conn: &mut Conn, call: &PlannedCall) -> CallOutcome {
    let billed = conn.response_headers().get_str("sagespool-billed").unwrap_or("0").to_owned();
    match read_text(conn).await {
        Ok(text) => CallOutcome::Whole {
            billed: billed.parse().unwrap_or_default(),
            is_own: text == own_text(call),
        },
        Err(broken) => broken,
    }
}

/// Parser state for an answer that is a stream of server-sent events.
#[derive(Default)]
struct EventReader {
    text: String,
    billed: TokenCount,
    done: bool,
    refused: Option<CallOutcome>,
    error_next: bool,
}

impl EventReader {
    fn parse_line(&mut self, line: &str) {
        if line == "event: error" {
            self.error_next = true;
            return;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if std::mem::take(&mut self.error_next) {
            self.refused = refusal_of(&value);
            return;
        }
        if let Some(content) = value["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(content);
        }
        if let Some(billed) = value["sagespool"].get("billed") {
            self.billed = tokens_of(billed);
        }
    }

    fn outcome(self, call: &PlannedCall) -> CallOutcome {
        if let Some(refused) = self.refused {
            return refused;
        }
        if !self.done {
            return CallOutcome::Broken("event stream ended before [DONE]".into());
        }
        CallOutcome::Whole { billed: self.billed, is_own: self.text == own_text(call) }
    }
}

async fn read_events(
    conn: &mut Conn,
    call: &PlannedCall,
    sent: ClockTime,
) -> (Option<Duration>, CallOutcome) {
    let mut reader = EventReader::default();
    let mut first_token = None;
    let mut pending = Vec::new();
    let mut buffer = vec![0; 16 * 1024];
    let mut body = conn.response_body();
    loop {
        let read = match body.read(&mut buffer).await {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) => return (first_token, CallOutcome::Broken(error.to_string())),
        };
        pending.extend_from_slice(&buffer[..read]);
        while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            reader.parse_line(String::from_utf8_lossy(&line).trim_end());
        }
        if first_token.is_none() && !reader.text.is_empty() {
            first_token = Some(ClockTime::now().since(sent));
        }
        if reader.done || reader.refused.is_some() {
            break;
        }
    }
    (first_token, reader.outcome(call))
}
