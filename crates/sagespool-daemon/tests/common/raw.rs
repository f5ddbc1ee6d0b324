//! HTTP as raw bytes, for requests that client libraries don't send.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use sagespool_testkit::load::{CallKind, PlannedCall};
use serde_json::{Value, json};

/// Timeout of each read of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A response, split into its parts.
#[derive(Debug, Clone)]
pub struct RawResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl RawResponse {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (own, value) = line.split_once(':')?;
            own.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// The body as JSON; null if it isn't valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Sends a request, shuts the write side down, and reads until the entry closes the connection.
pub fn exchange(entry: SocketAddr, request: &[u8]) -> RawResponse {
    try_exchange(entry, request).expect("the entry answers")
}

/// As [`exchange`], but returns an error if the process doesn't serve.
pub fn try_exchange(process: SocketAddr, request: &[u8]) -> io::Result<RawResponse> {
    let stream = connect(process, request)?;
    match stream.shutdown(Shutdown::Write) {
        // The entry has responded and closed before it read the whole request.
        Err(error) if error.kind() == io::ErrorKind::NotConnected => {}
        other => other?,
    }
    read_to_close(stream)
}

/// Sends a request and returns without waiting for the response.
pub fn send_raw(entry: SocketAddr, request: &[u8]) -> TcpStream {
    connect(entry, request).expect("the entry takes connections")
}

/// Reads the response until the entry closes the connection.
pub fn read_raw(stream: TcpStream) -> RawResponse {
    read_to_close(stream).expect("the entry answers")
}

fn connect(process: SocketAddr, request: &[u8]) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(process)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    // The write may fail if the process has responded early and closed. Its response can still be read.
    let _ = stream.write_all(request);
    Ok(stream)
}

fn read_to_close(mut stream: TcpStream) -> io::Result<RawResponse> {
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let broken = || read.err().unwrap_or_else(|| io::ErrorKind::UnexpectedEof.into());
    parse_response(&answer).ok_or_else(broken)
}

fn parse_response(answer: &[u8]) -> Option<RawResponse> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(RawResponse { status, head: head.to_owned(), body: body.to_owned() })
}

/// The bytes of a call for one whole answer, on a connection of its own.
pub fn raw_request(call: &PlannedCall) -> Vec<u8> {
    raw_call(call, false)
}

/// The bytes of a call for an answer as events, on a connection of its own.
pub fn raw_stream(call: &PlannedCall) -> Vec<u8> {
    raw_call(call, true)
}

fn raw_call(call: &PlannedCall, stream: bool) -> Vec<u8> {
    let (path, body) = match &call.kind {
        CallKind::Completion { model, prompt, max_tokens, .. } => {
            let messages = json!([{"role": "user", "content": prompt}]);
            let body = json!({
                "model": model,
                "messages": messages,
                "max_tokens": max_tokens,
                "stream": stream,
            });
            ("/v1/chat/completions".to_owned(), body.to_string())
        }
        CallKind::Service { service, path, .. } => {
            (format!("/services/{service}{path}"), format!("letter {}", call.marker))
        }
    };
    let key = call.key.as_ref().map(|key| format!("idempotency-key: {key}\r\n"));
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         authorization: Bearer {}\r\n{}content-length: {}\r\n\r\n",
        call.token,
        key.unwrap_or_default(),
        body.len()
    );
    format!("{head}{body}").into_bytes()
}
