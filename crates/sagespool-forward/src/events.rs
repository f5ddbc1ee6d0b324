//! Splitting a stream into whole events.

/// Collects the bytes of an event stream and gives out whole events only.
///
/// Guards against joining pieces of two runs: an upstream may stop in the middle of an event, and
/// what it began must not reach the caller if another upstream goes on after the last whole one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: Vec<u8>,
}

/// The whole events that a piece of a stream completes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WholeEvents {
    /// Their bytes, with the empty line after each.
    pub bytes: Vec<u8>,
    /// How many there are.
    pub count: u64,
    /// The id of the last one that has an id.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) -> WholeEvents {
        self.rest.extend_from_slice(bytes);
        let mut whole = WholeEvents::default();
        let mut taken = 0;
        while let Some(end) = event_end(&self.rest[taken..]) {
            let event = &self.rest[taken..taken + end];
            if let Some(id) = event_id(event) {
                whole.last_id = Some(id);
            }
            whole.count += 1;
            taken += end;
        }
        let rest = self.rest.split_off(taken);
        whole.bytes = std::mem::replace(&mut self.rest, rest);
        whole
    }

    /// What came after the last whole event, when the stream has ended by itself.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.rest)
    }
}

/// The length of the first event with the empty line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = find(bytes, b"\n\n").map(|at| at + 2);
    let marked = find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (plain, marked) {
        (Some(plain), Some(marked)) => Some(plain.min(marked)),
        (plain, marked) => plain.or(marked),
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
