//! Publishes changes of the engine's prompt cache to requesters.
//!
//! The stream of each dispatch carries the changes since the requester's last dispatch. An entry
//! thus gets updates on the caches that it uses, as often as it uses them, without extra
//! messages. `docs/design/PREFIXES.md` compares the alternatives.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Mutex;

use sagespool_messages::{PrefixCacheEvent, PrefixCacheUpdate};

use crate::shards::lock;
use crate::upstream::CacheEvents;

/// Most changes that are kept, only the newest of each prefix.
const MAX_CHANGES: usize = 512;
/// Most changes on one stream: half a kilobyte.
const MAX_CHANGES_PER_STREAM: usize = 32;
/// Most requesters that are tracked; more than the entries that dispatch to one sidecar.
const MAX_REQUESTERS: usize = 4096;

/// The newest changes of the engine's prompt cache, and the last one sent to each requester.
#[derive(Debug, Default)]
pub struct PromptCacheTracker {
    state: Mutex<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    /// Identifies the start of the engine that the event numbers belong to.
    start: Option<serde_json::Value>,
    /// Number of the engine's newest event.
    last_event: u64,
    /// Number of the newest change.
    newest: u64,
    changes: VecDeque<(u64, PrefixCacheEvent)>,
    /// Number of the last change sent to each requester.
    sent: HashMap<SocketAddr, u64>,
    /// The last poll failed, so the engine may have restarted.
    was_unreachable: bool,
}

impl TrackerState {
    fn push(&mut self, event: PrefixCacheEvent) {
        self.changes.retain(|(_, known)| known.prefix != event.prefix);
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.newest += 1;
        self.changes.push_back((self.newest, event));
    }

    /// Marks all stored prefixes as evicted. A restarted engine has an empty cache and numbers its
    /// events from 1 again.
    fn mark_restarted(&mut self) {
        self.last_event = 0;
        let stored = self.changes.iter().filter(|(_, event)| event.is_stored);
        let evicted: Vec<PrefixCacheEvent> =
            stored.map(|(_, event)| PrefixCacheEvent { is_stored: false, ..*event }).collect();
        for event in evicted {
            self.push(event);
        }
    }
}

impl PromptCacheTracker {
    /// The event number after which to poll the engine.
    pub fn poll_after(&self) -> u64 {
        let state = lock(&self.state);
        if state.was_unreachable { 0 } else { state.last_event }
    }

    /// Notes a failed poll; the next one starts from 0. If the engine has restarted, it numbers its
    /// events from 1, and a poll after an old number would return nothing for a long time.
    pub fn mark_unreachable(&self) {
        lock(&self.state).was_unreachable = true;
    }

    /// Applies events from the engine. Known events are ignored.
    pub fn apply(&self, polled: &CacheEvents) {
        let mut state = lock(&self.state);
        state.was_unreachable = false;
        let known = state.start.replace(polled.start.clone());
        if known.is_some_and(|known| known != polled.start) {
            state.mark_restarted();
        }
        for event in &polled.events {
            if event.number > state.last_event {
                state.last_event = event.number;
                state.push(event.note);
            }
        }
    }

    /// The changes that were not sent to a requester yet; `None` if there are none. Above the limit
    /// of a stream, only the newest are sent.
    pub fn changes_for(&self, requester: SocketAddr) -> Option<PrefixCacheUpdate> {
        let mut state = lock(&self.state);
        let newest = state.newest;
        if state.sent.len() >= MAX_REQUESTERS && !state.sent.contains_key(&requester) {
            state.sent.clear();
        }
        let sent = state.sent.insert(requester, newest).unwrap_or(0);
        let unsent = state.changes.iter().rev().take_while(|(number, _)| *number > sent);
        let mut events: Vec<PrefixCacheEvent> =
            unsent.take(MAX_CHANGES_PER_STREAM).map(|(_, event)| *event).collect();
        events.reverse();
        (!events.is_empty()).then_some(PrefixCacheUpdate { newest, notes: events })
    }
}
