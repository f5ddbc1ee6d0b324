//! Splits an event stream into complete events.

/// Buffers the bytes of an event stream and returns complete events only.
///
/// An upstream may stop in the middle of an event. The partial event must not reach the caller if
/// another upstream resumes the stream after the last complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
}

/// The events that a chunk of a stream completes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CompleteEvents {
    /// Their bytes, including the empty line after each event.
    pub bytes: Vec<u8>,
    /// Number of events.
    pub count: u64,
    /// Id of the last event that has one.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds a chunk of the stream and returns the events that it completes.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        self.partial.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        let mut taken = 0;
        while let Some(end) = event_end(&self.partial[taken..]) {
            let event = &self.partial[taken..taken + end];
            if let Some(id) = event_id(event) {
                complete.last_id = Some(id);
            }
            complete.count += 1;
            taken += end;
        }
        let partial = self.partial.split_off(taken);
        complete.bytes = std::mem::replace(&mut self.partial, partial);
        complete
    }

    /// The bytes after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        &self.partial
    }
}

/// Length of the first event, including the empty line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
