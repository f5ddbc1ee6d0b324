//! Calls to fake upstreams, shared by several test files.

#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::{AsyncReadExt, future};
use serde_json::{Value, json};
use smol::Timer;
use trillium_client::{Client, Conn, ResponseBody};
use trillium_smol::ClientConfig;

pub const MODEL: &str = "sage-large";

const WAIT_LIMIT: Duration = Duration::from_secs(30);
const POLL_PERIOD: Duration = Duration::from_millis(2);

/// Runs a test on the current thread.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    smol::block_on(test)
}

/// Waits until a condition holds; fails the test if it never does.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let waited = async {
        while !holds() {
            Timer::after(POLL_PERIOD).await;
        }
    };
    within(what, waited).await;
}

/// Waits for a future; fails the test if it never ends.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let limit = async {
        Timer::after(WAIT_LIMIT).await;
        panic!("{what} did not happen within {WAIT_LIMIT:?}");
    };
    future::or(future, limit).await
}

/// Whether a future is still pending after 50 ms.
pub async fn is_pending(future: impl Future) -> bool {
    let ended = async {
        future.await;
        false
    };
    let held = async {
        Timer::after(Duration::from_millis(50)).await;
        true
    };
    future::or(ended, held).await
}

/// A client that closes its connection when an answer is dropped.
pub fn client() -> Client {
    Client::new(ClientConfig::default()).without_keepalive()
}

pub fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Status and body of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct TestAnswer {
    pub status: u16,
    pub body: String,
}

impl TestAnswer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the answer is JSON")
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Result<TestAnswer, String> {
    send("GET", address, path, &[], "").await
}

pub async fn post(address: SocketAddr, path: &str, body: &Value) -> Result<TestAnswer, String> {
    send("POST", address, path, &[], &body.to_string()).await
}

/// A call with headers; the error is that of a connection that broke or was refused.
pub async fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Result<TestAnswer, String> {
    let mut conn = within(path, call(method, address, path, headers, body)).await?;
    let status = conn.status().map_or(0, |status| status as u16);
    let body = within(path, conn.response_body().read_string()).await;
    Ok(TestAnswer { status, body: body.map_err(|error| error.to_string())? })
}

async fn call(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Result<Conn, String> {
    let method: trillium::Method = method.parse().expect("the method is known");
    let mut conn = client().build_conn(method, url(address, path)).with_body(body.to_owned());
    for (name, value) in headers {
        conn = conn.with_request_header(*name, value.to_string());
    }
    conn.await.map_err(|error| error.to_string())
}

/// The body of a completion call.
pub fn completion(prompt: &str, max_tokens: u32) -> Value {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens,
        "stream": true,
    })
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    Token { index: u64, text: String },
    Finish { reason: String, prompt_tokens: u64, completion_tokens: u64 },
    Done,
}

/// A completion's stream, read event by event.
pub struct TokenStream {
    body: ResponseBody<'static>,
    text: Vec<u8>,
}

impl TokenStream {
    /// The next event; none at a clean end, an error where the stream breaks.
    pub async fn next(&mut self) -> Result<Option<StreamEvent>, String> {
        within("an event", self.read_event()).await
    }

    async fn read_event(&mut self) -> Result<Option<StreamEvent>, String> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            let mut piece = [0; 4096];
            let read = self.body.read(&mut piece).await.map_err(|error| error.to_string())?;
            if read == 0 {
                assert!(self.text.is_empty(), "the stream ended within an event");
                return Ok(None);
            }
            self.text.extend_from_slice(&piece[..read]);
        }
    }

    fn take_event(&mut self) -> Option<StreamEvent> {
        let end = self.text.windows(2).position(|pair| pair == b"\n\n")?;
        let event: Vec<u8> = self.text.drain(..end + 2).collect();
        let event = String::from_utf8(event).expect("events are UTF-8");
        let data = event.trim_end().strip_prefix("data: ").expect("an event has data");
        Some(read_event(data))
    }

    /// Reads to the end of the stream.
    pub async fn read_to_end(mut self) -> Result<Vec<StreamEvent>, String> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await? {
            events.push(event);
        }
        Ok(events)
    }
}

fn read_event(data: &str) -> StreamEvent {
    if data == "[DONE]" {
        return StreamEvent::Done;
    }
    let event: Value = serde_json::from_str(data).expect("an event's data is JSON");
    let choice = &event["choices"][0];
    if let Some(reason) = choice["finish_reason"].as_str() {
        let count = |name: &str| event["usage"][name].as_u64().expect("usage has counts");
        return StreamEvent::Finish {
            reason: reason.to_owned(),
            prompt_tokens: count("prompt_tokens"),
            completion_tokens: count("completion_tokens"),
        };
    }
    StreamEvent::Token {
        index: event["index"].as_u64().expect("a token has an index"),
        text: choice["delta"]["content"].as_str().expect("a token has text").to_owned(),
    }
}

/// Sends a completion call; the error is the status and body of a refusal.
pub async fn complete(
    address: SocketAddr,
    headers: &[(&'static str, &str)],
    body: &Value,
) -> Result<TokenStream, TestAnswer> {
    let body = body.to_string();
    let called = call("POST", address, "/v1/chat/completions", headers, &body);
    let mut conn = within("the answer's head", called).await.expect("the engine answers");
    let status = conn.status().map_or(0, |status| status as u16);
    if status != 200 {
        let body = conn.response_body().read_string().await.expect("a refusal has a body");
        return Err(TestAnswer { status, body });
    }
    let body = conn.take_response_body().expect("an answer has a body");
    Ok(TokenStream { body, text: Vec::new() })
}

/// The joined texts of a stream's tokens, which must be numbered without a gap from `from` on.
pub fn joined_tokens(events: &[StreamEvent], from: u64) -> String {
    let mut text = String::new();
    let mut expected = from;
    for event in events {
        if let StreamEvent::Token { index, text: token } = event {
            assert_eq!(*index, expected, "token numbers have a gap");
            expected += 1;
            text += token;
        }
    }
    text
}

/// A fast engine with one model and additional settings.
#[allow(unused_macros, reason = "not every test file uses it")]
macro_rules! engine {
    ($($setting:ident: $value:expr),* $(,)?) => {{
        let options = sagespool_testkit::EngineOptions::builder()
            .name("engine-1".parse().unwrap())
            .models(vec![calls::MODEL.parse().unwrap()])
            .first_token_base(std::time::Duration::from_millis(1))
            $(.$setting($value))*
            .build();
        sagespool_testkit::FakeEngine::start(options).unwrap()
    }};
}
