//! The events of one attempt's answer, for any number of readers.
//!
//! The attempt appends events, and each reader reads them at its own pace. The
//! log of a keyed attempt retains all events, so that a later reader gets the
//! answer from its beginning. Any other log drops events that all readers have
//! read, and applies backpressure to the attempt while a reader lags.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use event_listener::Event;
use sagespool_messages::DispatchEvent;
use sagespool_types::ByteCount;

use crate::shards::lock;

/// Unread bytes above which the attempt waits for the slowest reader.
const READER_WINDOW_BYTES: u64 = 1 << 20;

/// Approximate memory of an event without its data.
const EVENT_OVERHEAD_BYTES: u64 = 96;

/// The events of one attempt.
#[derive(Debug)]
pub struct AnswerLog {
    max_bytes: ByteCount,
    state: Mutex<LogState>,
    changed: Event,
}

#[derive(Debug)]
struct LogState {
    events: VecDeque<Arc<DispatchEvent>>,
    dropped: usize,
    bytes: u64,
    retains_all: bool,
    ended: bool,
    readers: BTreeMap<u64, usize>,
    next_reader: u64,
}

impl AnswerLog {
    /// A log that retains the whole answer while it fits in `max_bytes`. With
    /// zero, it retains only events that a reader has not read yet.
    pub fn new(max_bytes: ByteCount) -> Arc<Self> {
        let state = LogState {
            events: VecDeque::new(),
            dropped: 0,
            bytes: 0,
            retains_all: max_bytes > ByteCount::ZERO,
            ended: false,
            readers: BTreeMap::new(),
            next_reader: 0,
        };
        Arc::new(Self { max_bytes, state: Mutex::new(state), changed: Event::new() })
    }

    /// A log that holds a single event, the end of a request that never started.
    pub fn with_end(event: DispatchEvent) -> Arc<Self> {
        let log = Self::new(ByteCount(1 << 20));
        log.push(event);
        log
    }

    /// Appends an event. Events after an end are ignored.
    pub fn push(&self, event: DispatchEvent) {
        let mut state = lock(&self.state);
        if state.ended {
            return;
        }
        state.ended = matches!(event, DispatchEvent::End(_));
        state.bytes += event_bytes(&event);
        state.events.push_back(Arc::new(event));
        if state.bytes > self.max_bytes.0 {
            state.retains_all = false;
        }
        state.trim();
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Waits while unread events fill the reader window.
    pub async fn wait_for_room(&self) {
        while !lock(&self.state).has_room() {
            let changed = self.changed.listen();
            if !lock(&self.state).has_room() {
                changed.await;
            }
        }
    }

    /// Whether the log has a reader.
    pub fn has_readers(&self) -> bool {
        !lock(&self.state).readers.is_empty()
    }

    /// Resolves when the log has no reader.
    pub async fn readers_gone(&self) {
        loop {
            let changed = self.changed.listen();
            if lock(&self.state).readers.is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// Whether the end was appended.
    pub fn has_ended(&self) -> bool {
        lock(&self.state).ended
    }

    /// Whether the log still holds the answer from its beginning.
    pub fn has_start(&self) -> bool {
        lock(&self.state).dropped == 0
    }

    /// Approximate memory of the events in the log.
    pub fn bytes(&self) -> ByteCount {
        ByteCount(lock(&self.state).bytes)
    }

    /// A reader of every event from the beginning; `None` if that was dropped.
    pub fn reader(self: &Arc<Self>) -> Option<AnswerReader> {
        self.reader_after(|events| (events.dropped == 0).then_some(0))
    }

    /// A reader of the events that are appended from now on.
    pub fn reader_of_new(self: &Arc<Self>) -> AnswerReader {
        let reader = self.reader_after(|state| Some(state.dropped + state.events.len()));
        reader.expect("the position after the last event always exists")
    }

    /// A reader that skips the first `tokens` tokens, which the caller already
    /// has as `text`. `None` if the answer here begins with other text, has no
    /// event boundary at that token, or has not reached it yet.
    ///
    /// Two runs of a prompt may differ. Resuming in another run than the one
    /// that the caller read would mix two answers, so the text is compared.
    pub fn resume_reader(self: &Arc<Self>, tokens: u32, text: &str) -> Option<AnswerReader> {
        self.reader_after(|state| {
            let mut rest = text.as_bytes();
            if state.dropped > 0 {
                return None;
            }
            for (position, event) in state.events.iter().enumerate() {
                let DispatchEvent::Piece { at, tokens: count, data } = event.as_ref() else {
                    continue;
                };
                rest = rest.strip_prefix(data.as_slice())?;
                if at + count >= tokens {
                    return (at + count == tokens && rest.is_empty()).then_some(position + 1);
                }
            }
            None
        })
    }

    fn reader_after(
        self: &Arc<Self>,
        find: impl FnOnce(&LogState) -> Option<usize>,
    ) -> Option<AnswerReader> {
        let mut state = lock(&self.state);
        let next = find(&state)?;
        let id = state.next_reader;
        state.next_reader += 1;
        state.readers.insert(id, next);
        Some(AnswerReader { log: Arc::clone(self), id })
    }

    /// The next event of a reader; `None` if it was not appended yet.
    fn next_event(&self, reader: u64) -> Option<NextEvent> {
        let mut state = lock(&self.state);
        let position = state.readers[&reader];
        let Some(event) = state.events.get(position - state.dropped).cloned() else {
            return state.ended.then_some(NextEvent::Over);
        };
        state.readers.insert(reader, position + 1);
        if state.trim() {
            drop(state);
            self.changed.notify(usize::MAX);
        }
        Some(NextEvent::Event(event))
    }

    fn remove_reader(&self, reader: u64) {
        let mut state = lock(&self.state);
        state.readers.remove(&reader);
        state.trim();
        drop(state);
        self.changed.notify(usize::MAX);
    }
}

enum NextEvent {
    Event(Arc<DispatchEvent>),
    Over,
}

impl NextEvent {
    fn event(self) -> Option<Arc<DispatchEvent>> {
        match self {
            Self::Event(event) => Some(event),
            Self::Over => None,
        }
    }
}

impl LogState {
    /// Drops events that every reader has read, unless all are retained. Returns whether this
    /// freed room in a full reader window.
    fn trim(&mut self) -> bool {
        if self.retains_all {
            return false;
        }
        let had_room = self.has_room();
        let all = self.dropped + self.events.len();
        let needed = self.readers.values().copied().min().unwrap_or(all);
        while self.dropped < needed {
            let event = self.events.pop_front().expect("no reader position is past the last event");
            self.bytes -= event_bytes(&event);
            self.dropped += 1;
        }
        !had_room && self.has_room()
    }

    fn has_room(&self) -> bool {
        self.retains_all || self.bytes <= READER_WINDOW_BYTES
    }
}

/// Approximate memory of an event.
fn event_bytes(event: &DispatchEvent) -> u64 {
    let data = match event {
        DispatchEvent::Piece { data, .. } => data.len(),
        DispatchEvent::Head { headers, .. } => {
            headers.iter().map(|pair| pair.name.len() + pair.value.len()).sum()
        }
        DispatchEvent::Started
        | DispatchEvent::End(_)
        | DispatchEvent::CacheNews(_)
        | DispatchEvent::Beside(_) => 0,
    };
    EVENT_OVERHEAD_BYTES + data as u64
}

/// A reader of a log. Dropping it wakes the attempt if it waits for readers.
#[derive(Debug)]
pub struct AnswerReader {
    log: Arc<AnswerLog>,
    id: u64,
}

impl AnswerReader {
    /// Waits for the next event; `None` after the end.
    pub async fn next(&mut self) -> Option<Arc<DispatchEvent>> {
        loop {
            if let Some(next) = self.log.next_event(self.id) {
                return next.event();
            }
            let changed = self.log.changed.listen();
            if let Some(next) = self.log.next_event(self.id) {
                return next.event();
            }
            changed.await;
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.log.remove_reader(self.id);
    }
}
