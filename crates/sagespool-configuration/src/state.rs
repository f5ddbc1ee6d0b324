//! What a follower knows, under one lock.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_membership::ConfigBook;
use sagespool_messages::{ConfigScope, FLEET_OBJECT_KEY, StoreWord};
use sagespool_types::{ClockTime, IncarnationId, StoreRevision};

/// Someone has something newer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayHint {
    pub(crate) address: SocketAddr,
    pub(crate) newest: StoreRevision,
}

/// What a follower knows.
#[derive(Debug)]
pub(crate) struct FollowState {
    pub(crate) book: ConfigBook,
    /// False until the first whole configuration; till then nothing is put in force.
    pub(crate) in_force: bool,
    /// The store itself has confirmed the book, or was read whole.
    pub(crate) from_store: bool,
    /// What a member has in force and this process waits for, as it was logged.
    pub(crate) waits_for: Option<StoreRevision>,
    /// When the store last answered this process.
    own_word: Option<ClockTime>,
    /// Another process's newest word of the store, and when this process was told.
    heard_word: Option<(StoreWord, ClockTime)>,
    hint: Option<RelayHint>,
}

impl FollowState {
    pub(crate) fn new(scope: ConfigScope) -> Self {
        Self {
            book: ConfigBook::new(scope),
            in_force: false,
            from_store: false,
            waits_for: None,
            own_word: None,
            heard_word: None,
            hint: None,
        }
    }

    /// The store tells all that is newer than what is here; to be called under the same lock as
    /// its objects are taken in, else the book could be put in force without them.
    pub(crate) fn confirm(&mut self, now: ClockTime) {
        self.own_word = Some(now);
        self.from_store = true;
    }

    /// Notes that someone has something; true if this process lacks it.
    pub(crate) fn note(&mut self, hint: RelayHint) -> bool {
        if hint.newest <= self.book.complete() {
            return false;
        }
        if self.hint.is_none_or(|held| held.newest <= hint.newest) {
            self.hint = Some(hint);
        }
        true
    }

    /// Whom to ask for what is newer, if there still is something newer.
    pub(crate) fn take_hint(&mut self) -> Option<RelayHint> {
        let hint = self.hint.take()?;
        (hint.newest > self.book.complete()).then_some(hint)
    }

    /// Notes another process's word of the store.
    pub(crate) fn hear_word(&mut self, word: StoreWord, own: IncarnationId, now: ClockTime) {
        // A process that took over for silent watchers would take its own word, passed back by a
        // neighbour, for theirs, and would stop.
        if word.by == own {
            return;
        }
        if self.silence(now).is_none_or(|silence| word.age < silence) {
            self.heard_word = Some((word, now));
        }
    }

    /// For how long no other process is known to have had a word of the store.
    pub(crate) fn silence(&self, now: ClockTime) -> Option<Duration> {
        self.heard_word.map(|(word, at)| word.age + now.since(at))
    }

    /// The newest word to pass on.
    pub(crate) fn word(&self, own: IncarnationId, now: ClockTime) -> Option<StoreWord> {
        let own_word = self.own_word.map(|at| StoreWord { by: own, age: now.since(at) });
        let heard =
            self.heard_word.map(|(word, at)| StoreWord { age: word.age + now.since(at), ..word });
        [own_word, heard].into_iter().flatten().min_by_key(|word| word.age)
    }

    /// True if the book holds a whole configuration.
    pub(crate) fn is_whole(&self) -> bool {
        self.book.is_filled() && self.book.objects().any(|object| object.key == FLEET_OBJECT_KEY)
    }
}
