//! HTTP as bytes: what no client library would send.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use sagespool_testkit::load::{CallKind, PlannedCall};
use serde_json::{Value, json};

/// An answer that takes longer never comes.
const READ_LIMIT: Duration = Duration::from_secs(20);

/// An answer as it came.
#[derive(Debug, Clone)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl RawAnswer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (own, value) = line.split_once(':')?;
            own.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// The body as JSON; null if it isn't.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Sends a whole request, then nothing more, and reads until the entry closes.
pub fn exchange(entry: SocketAddr, request: &[u8]) -> RawAnswer {
    try_exchange(entry, request).expect("the entry answers")
}

/// As [`exchange`], from a process that may not serve yet.
pub fn try_exchange(process: SocketAddr, request: &[u8]) -> io::Result<RawAnswer> {
    let stream = connect(process, request)?;
    match stream.shutdown(Shutdown::Write) {
        // The entry has answered and closed before it had read the whole request.
        Err(error) if error.kind() == io::ErrorKind::NotConnected => {}
        other => other?,
    }
    read_to_close(stream)
}

/// Sends a request; it is on its way when this returns, whatever the entry does.
pub fn send_raw(entry: SocketAddr, request: &[u8]) -> TcpStream {
    connect(entry, request).expect("the entry takes connections")
}

/// Reads until the entry closes.
pub fn read_raw(stream: TcpStream) -> RawAnswer {
    read_to_close(stream).expect("the entry answers")
}

fn connect(process: SocketAddr, request: &[u8]) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(process)?;
    stream.set_read_timeout(Some(READ_LIMIT))?;
    // A process that has refused before the end may have closed already: its answer counts.
    let _ = stream.write_all(request);
    Ok(stream)
}

fn read_to_close(mut stream: TcpStream) -> io::Result<RawAnswer> {
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let broken = || read.err().unwrap_or_else(|| io::ErrorKind::UnexpectedEof.into());
    read_answer(&answer).ok_or_else(broken)
}

fn read_answer(answer: &[u8]) -> Option<RawAnswer> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(RawAnswer { status, head: head.to_owned(), body: body.to_owned() })
}

/// A call as bytes, for one whole answer on one connection.
pub fn raw_request(call: &PlannedCall) -> Vec<u8> {
    raw_call(call, false)
}

/// A call as bytes, for an answer as events on one connection.
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
