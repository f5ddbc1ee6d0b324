//! One attempt's answer as it comes, for any number of readers.
//!
//! The attempt writes events, readers follow at their own pace. The log of a
//! keyed attempt keeps everything, so that a reader who comes later gets the
//! answer from its beginning. Any other log drops what its reader has read,
//! and holds the attempt back while the reader lags.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use event_listener::Event;
use sagespool_messages::DispatchEvent;
use sagespool_types::ByteCount;

use crate::shards::lock;

/// How far the slowest reader may lag before the attempt waits for it.
const READER_WINDOW: u64 = 1 << 20;

/// What an event takes besides its data, roughly.
const EVENT_OVERHEAD: u64 = 96;

/// The events of one attempt.
#[derive(Debug)]
pub struct AnswerLog {
    longest: ByteCount,
    state: Mutex<LogState>,
    changed: Event,
}

#[derive(Debug)]
struct LogState {
    events: VecDeque<Arc<DispatchEvent>>,
    dropped: usize,
    bytes: u64,
    keeps: bool,
    ended: bool,
    readers: BTreeMap<u64, usize>,
    next_reader: u64,
}

impl AnswerLog {
    /// A log that keeps the whole answer while it fits in so many bytes. With
    /// zero, it keeps only what its readers have yet to read.
    pub fn new(longest: ByteCount) -> Arc<Self> {
        let state = LogState {
            events: VecDeque::new(),
            dropped: 0,
            bytes: 0,
            keeps: longest > ByteCount::ZERO,
            ended: false,
            readers: BTreeMap::new(),
            next_reader: 0,
        };
        Arc::new(Self { longest, state: Mutex::new(state), changed: Event::new() })
    }

    /// A log with one event, the end: how a request that never started is answered.
    pub fn ended(event: DispatchEvent) -> Arc<Self> {
        let log = Self::new(ByteCount(1 << 20));
        log.push(event);
        log
    }

    /// Adds an event. Nothing follows an end.
    pub fn push(&self, event: DispatchEvent) {
        let mut state = lock(&self.state);
        if state.ended {
            return;
        }
        state.ended = matches!(event, DispatchEvent::End(_));
        state.bytes += event_bytes(&event);
        state.events.push_back(Arc::new(event));
        if state.bytes > self.longest.0 {
            state.keeps = false;
        }
        state.trim();
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Waits while the readers lag too far behind for more to be added.
    pub async fn room(&self) {
        while !lock(&self.state).has_room() {
            let changed = self.changed.listen();
            if !lock(&self.state).has_room() {
                changed.await;
            }
        }
    }

    /// True while anybody reads.
    pub fn is_read(&self) -> bool {
        !lock(&self.state).readers.is_empty()
    }

    /// Resolves when nobody reads any more.
    pub async fn abandoned(&self) {
        loop {
            let changed = self.changed.listen();
            if lock(&self.state).readers.is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// True once the last event is there.
    pub fn has_ended(&self) -> bool {
        lock(&self.state).ended
    }

    /// True if the answer is still there from its beginning.
    pub fn is_from_start(&self) -> bool {
        lock(&self.state).dropped == 0
    }

    /// What the log holds.
    pub fn bytes(&self) -> ByteCount {
        ByteCount(lock(&self.state).bytes)
    }

    /// A reader of every event from the beginning, or none if that is gone.
    pub fn reader(self: &Arc<Self>) -> Option<AnswerReader> {
        self.reader_after(|events| (events.dropped == 0).then_some(0))
    }

    /// A reader of what is added from now on.
    pub fn follower(self: &Arc<Self>) -> AnswerReader {
        let reader = self.reader_after(|state| Some(state.dropped + state.events.len()));
        reader.expect("the place after the last event always exists")
    }

    /// A reader for a caller who has the first `tokens` tokens, with `text`:
    /// pieces within that are left out. None if the answer here begins
    /// otherwise, is cut elsewhere, or hasn't come so far.
    ///
    /// Two runs of a prompt may differ. Going on in another run than the one
    /// that the caller saw would mix two answers, so the text is compared.
    pub fn reader_from(self: &Arc<Self>, tokens: u32, text: &str) -> Option<AnswerReader> {
        self.reader_after(|state| {
            let mut rest = text.as_bytes();
            if state.dropped > 0 {
                return None;
            }
            for (place, event) in state.events.iter().enumerate() {
                let DispatchEvent::Piece { at, tokens: count, data } = event.as_ref() else {
                    continue;
                };
                rest = rest.strip_prefix(data.as_slice())?;
                if at + count >= tokens {
                    return (at + count == tokens && rest.is_empty()).then_some(place + 1);
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

    /// The next event of a reader, the end of the log, or nothing yet.
    fn take(&self, reader: u64) -> Option<TakenEvent> {
        let mut state = lock(&self.state);
        let place = state.readers[&reader];
        let Some(event) = state.events.get(place - state.dropped).cloned() else {
            return state.ended.then_some(TakenEvent::Over);
        };
        state.readers.insert(reader, place + 1);
        if state.trim() {
            drop(state);
            self.changed.notify(usize::MAX);
        }
        Some(TakenEvent::Event(event))
    }

    fn leave(&self, reader: u64) {
        let mut state = lock(&self.state);
        state.readers.remove(&reader);
        state.trim();
        drop(state);
        self.changed.notify(usize::MAX);
    }
}

enum TakenEvent {
    Event(Arc<DispatchEvent>),
    Over,
}

impl TakenEvent {
    fn event(self) -> Option<Arc<DispatchEvent>> {
        match self {
            Self::Event(event) => Some(event),
            Self::Over => None,
        }
    }
}

impl LogState {
    /// Drops what every reader has read, unless all is kept. True if that made room.
    fn trim(&mut self) -> bool {
        if self.keeps {
            return false;
        }
        let had_room = self.has_room();
        let all = self.dropped + self.events.len();
        let needed = self.readers.values().copied().min().unwrap_or(all);
        while self.dropped < needed {
            let event = self.events.pop_front().expect("no reader is beyond the last event");
            self.bytes -= event_bytes(&event);
            self.dropped += 1;
        }
        !had_room && self.has_room()
    }

    fn has_room(&self) -> bool {
        self.keeps || self.bytes <= READER_WINDOW
    }
}

/// Roughly the memory that an event takes.
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
    EVENT_OVERHEAD + data as u64
}

/// Reads a log. Dropping it tells the attempt that this reader is gone.
#[derive(Debug)]
pub struct AnswerReader {
    log: Arc<AnswerLog>,
    id: u64,
}

impl AnswerReader {
    /// The next event, once it is there; none after the end.
    pub async fn next(&mut self) -> Option<Arc<DispatchEvent>> {
        loop {
            if let Some(taken) = self.log.take(self.id) {
                return taken.event();
            }
            let changed = self.log.changed.listen();
            if let Some(taken) = self.log.take(self.id) {
                return taken.event();
            }
            changed.await;
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.log.leave(self.id);
    }
}
