//! What askers are told of the engine's prompt cache.
//!
//! Who dispatches here hears on the stream of its dispatch what changed since its last one. So
//! an entry hears of the caches that it uses, as often as it uses them, without any message of
//! its own; see `docs/design/PREFIXES.md` for the ways that were weighed.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Mutex;

use sagespool_messages::{PrefixCacheEvent, PrefixCacheUpdate};

use crate::shards::lock;
use crate::upstream::CacheFeed;

/// Changes that are remembered, of one prefix only the newest.
const MOST_NOTES: usize = 512;
/// Changes that one asker is told at a time: half a kilobyte.
const MOST_TOLD: usize = 32;
/// Askers that are remembered; more than the entries that dispatch to one sidecar.
const MOST_ASKERS: usize = 4096;

/// The newest changes of the engine's cache, and who has been told of them.
#[derive(Debug, Default)]
pub struct CacheRelay {
    state: Mutex<RelayState>,
}

#[derive(Debug, Default)]
struct RelayState {
    /// The engine's start that its numbers belong to.
    start: Option<serde_json::Value>,
    /// The newest of the engine's numbers.
    seen: u64,
    /// The number of the newest note.
    newest: u64,
    notes: VecDeque<(u64, PrefixCacheEvent)>,
    told: HashMap<SocketAddr, u64>,
    /// The engine could not be asked since: it may have started again.
    has_lost_touch: bool,
}

impl RelayState {
    fn push(&mut self, note: PrefixCacheEvent) {
        self.notes.retain(|(_, known)| known.prefix != note.prefix);
        if self.notes.len() == MOST_NOTES {
            self.notes.pop_front();
        }
        self.newest += 1;
        self.notes.push_back((self.newest, note));
    }

    /// An engine that started again has lost its cache, and counts its changes anew.
    fn restarted(&mut self) {
        self.seen = 0;
        let stored = self.notes.iter().filter(|(_, note)| note.is_stored);
        let lost: Vec<PrefixCacheEvent> =
            stored.map(|(_, note)| PrefixCacheEvent { is_stored: false, ..*note }).collect();
        for note in lost {
            self.push(note);
        }
    }
}

impl CacheRelay {
    /// The number after which to ask the engine for changes.
    pub fn ask_after(&self) -> u64 {
        let state = lock(&self.state);
        if state.has_lost_touch { 0 } else { state.seen }
    }

    /// The engine could not be asked. If it starts again meanwhile, it numbers its changes from
    /// 1, and would say nothing for long if it were asked for those after an old number.
    pub fn lost_touch(&self) {
        lock(&self.state).has_lost_touch = true;
    }

    /// Takes in what the engine tells; what is known already changes nothing.
    pub fn take(&self, feed: &CacheFeed) {
        let mut state = lock(&self.state);
        state.has_lost_touch = false;
        let known = state.start.replace(feed.start.clone());
        if known.is_some_and(|known| known != feed.start) {
            state.restarted();
        }
        for event in &feed.events {
            if event.number > state.seen {
                state.seen = event.number;
                state.push(event.note);
            }
        }
    }

    /// What an asker has not been told yet, the newest of it if it is much.
    pub fn news_for(&self, asker: SocketAddr) -> Option<PrefixCacheUpdate> {
        let mut state = lock(&self.state);
        let newest = state.newest;
        if state.told.len() >= MOST_ASKERS && !state.told.contains_key(&asker) {
            state.told.clear();
        }
        let told = state.told.insert(asker, newest).unwrap_or(0);
        let untold = state.notes.iter().rev().take_while(|(number, _)| *number > told);
        let mut notes: Vec<PrefixCacheEvent> =
            untold.take(MOST_TOLD).map(|(_, note)| *note).collect();
        notes.reverse();
        (!notes.is_empty()).then_some(PrefixCacheUpdate { newest, notes })
    }
}
