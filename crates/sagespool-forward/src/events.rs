//! Splits an event stream into complete events.

/// Length of what ends an event, less one: it may begin in an earlier chunk.
const END_BYTES: usize = 3;

/// Buffers the bytes of an event stream and returns complete events only.
///
/// An upstream may stop in the middle of an event. The partial event must not reach the caller if
/// another upstream resumes the stream after the last complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    /// Length of the start of `partial` in which no event ends.
    searched: usize,
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
        // The bytes before were searched with an earlier chunk. A long event would otherwise be searched
        // once for each of its chunks.
        let mut from = self.searched;
        while let Some(end) = event_end(&self.partial[from..]) {
            let end = from + end - taken;
            let event = &self.partial[taken..taken + end];
            if let Some(id) = event_id(event) {
                complete.last_id = Some(id);
            }
            complete.count += 1;
            taken += end;
            from = taken;
        }
        self.searched = self.partial.len().saturating_sub(END_BYTES).max(taken) - taken;
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
    // One pass: a search for each form of line end would read the rest once for each event.
    let line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    line_ends.map(|(at, _)| at).find_map(|at| {
        let (line, rest) = (&bytes[..at], &bytes[at + 1..]);
        if rest.starts_with(b"\n") {
            return Some(at + 2);
        }
        (line.ends_with(b"\r") && rest.starts_with(b"\r\n")).then_some(at + 3)
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    // Bytes elsewhere in the event may be of any encoding.
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
