//! HTTP as bytes: what no client library would send.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

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
    let mut stream = TcpStream::connect(entry).expect("the entry takes connections");
    stream.set_read_timeout(Some(READ_LIMIT)).expect("the limit isn't zero");
    // An entry that has refused before the end may have closed already: its answer counts.
    let _ = stream.write_all(request);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    read_answer(&answer).unwrap_or_else(|| panic!("no answer, but {read:?} and {answer:?}"))
}

fn read_answer(answer: &[u8]) -> Option<RawAnswer> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(RawAnswer { status, head: head.to_owned(), body: body.to_owned() })
}
