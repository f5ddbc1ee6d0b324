//! A platform that follows a script, one step per request.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "these are tests")]

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use sagespool_platform::{ObjectClient, ObjectOptions};

/// What a scripted platform does with a request.
#[derive(Debug, Clone)]
pub enum PlatformStep {
    /// Responds with a status, a body and extra header lines.
    Answer(u16, &'static str, &'static [&'static str]),
    /// Responds, then closes the connection without `Connection: close`.
    AnswerAndHangUp(u16, &'static str),
    /// Reads the request and closes the connection.
    HangUp,
    /// Closes the connection within the body of a response with this status.
    HangUpInBody(u16),
    /// Reads the request and never responds.
    Silence,
}

/// Responds with status 200 and a body.
pub fn done(body: &'static str) -> PlatformStep {
    PlatformStep::Answer(200, body, &[])
}

/// A request as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenRequest {
    /// Method, path and query.
    pub line: String,
    /// Header lines, in lower case.
    pub headers: Vec<String>,
    pub body: String,
}

/// A platform that follows a script; the last step is repeated for all further requests.
pub struct ScriptedPlatform {
    pub address: SocketAddr,
    state: Arc<Mutex<ScriptState>>,
}

#[derive(Default)]
struct ScriptState {
    steps: VecDeque<PlatformStep>,
    requests: Vec<SeenRequest>,
    connections: usize,
    hung_up: usize,
    silent: Vec<TcpStream>,
}

impl ScriptedPlatform {
    pub fn start(steps: impl IntoIterator<Item = PlatformStep>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let steps = steps.into_iter().collect();
        let state = Arc::new(Mutex::new(ScriptState { steps, ..ScriptState::default() }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let shared = shared.clone();
                shared.lock().unwrap().connections += 1;
                thread::spawn(move || serve(stream.unwrap(), &shared));
            }
        });
        Self { address, state }
    }

    pub fn client(&self) -> ObjectClient {
        let timeout = Duration::from_secs(20);
        ObjectClient::new(
            ObjectOptions::builder().address(self.address).call_timeout(timeout).build(),
        )
    }

    pub fn requests(&self) -> Vec<SeenRequest> {
        self.state.lock().unwrap().requests.clone()
    }

    pub fn lines(&self) -> Vec<String> {
        self.requests().into_iter().map(|request| request.line).collect()
    }

    /// Waits until the platform has closed `count` connections.
    pub fn until_hung_up(&self, count: usize) {
        for _ in 0..10_000 {
            if self.state.lock().unwrap().hung_up == count {
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
        panic!("the platform has not closed {count} connections");
    }

    pub fn connections(&self) -> usize {
        self.state.lock().unwrap().connections
    }
}

fn serve(stream: TcpStream, state: &Mutex<ScriptState>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        let step = {
            let mut state = state.lock().unwrap();
            state.requests.push(request);
            match state.steps.len() {
                1 => state.steps[0].clone(),
                _ => state.steps.pop_front().unwrap(),
            }
        };
        if !perform(&step, &stream) {
            // The client may have closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
            state.lock().unwrap().hung_up += 1;
            return;
        }
        if let PlatformStep::Silence = step {
            return state.lock().unwrap().silent.push(stream);
        }
    }
}

/// Performs a step. False if the connection is to be closed.
fn perform(step: &PlatformStep, mut stream: &TcpStream) -> bool {
    let mut respond = |status: u16, length: usize, body: &str, headers: &[&str]| {
        let headers: String = headers.iter().map(|line| format!("{line}\r\n")).collect();
        let head =
            format!("HTTP/1.1 {status} Scripted\r\ncontent-length: {length}\r\n{headers}\r\n");
        stream.write_all(format!("{head}{body}").as_bytes()).is_ok()
    };
    match step {
        PlatformStep::Answer(status, body, headers) => respond(*status, body.len(), body, headers),
        PlatformStep::AnswerAndHangUp(status, body) => {
            respond(*status, body.len(), body, &[]);
            false
        }
        PlatformStep::HangUp => false,
        PlatformStep::HangUpInBody(status) => {
            respond(*status, 100, "{\"version\":", &[]);
            false
        }
        PlatformStep::Silence => true,
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<SeenRequest> {
    let mut next_line = || {
        let mut line = String::new();
        let size = reader.read_line(&mut line).ok()?;
        (size > 0).then(|| line.trim_end().to_owned())
    };
    let line = next_line()?.strip_suffix(" HTTP/1.1")?.to_owned();
    let mut headers = Vec::new();
    loop {
        match next_line()? {
            header if header.is_empty() => break,
            header => headers.push(header.to_lowercase()),
        }
    }
    let length = headers.iter().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    reader.read_exact(&mut body).ok()?;
    Some(SeenRequest { line, headers, body: String::from_utf8(body).unwrap() })
}
