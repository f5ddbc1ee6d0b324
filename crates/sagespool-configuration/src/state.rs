//! What a follower knows, under one lock.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_membership::ConfigReplica;
use sagespool_messages::{ConfigScope, FLEET_OBJECT_KEY, StoreWord};
use sagespool_types::{ClockTime, IncarnationId, StoreRevision};

/// Someone has something newer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionHint {
    pub(crate) address: SocketAddr,
    pub(crate) newest: StoreRevision,
}

/// What a follower knows.
#[derive(Debug)]
pub(crate) struct FollowerState {
    pub(crate) replica: ConfigReplica,
    /// False until the first whole configuration; till then nothing is put in force.
    pub(crate) in_force: bool,
    /// The store itself has confirmed the book, or was read whole.
    pub(crate) confirmed_by_store: bool,
    /// What a member has in force and this process waits for, as it was logged.
    pub(crate) logged_wait: Option<StoreRevision>,
    /// When the store last answered this process.
    last_contact: Option<ClockTime>,
    /// Another process's newest word of the store, and when this process was told.
    peer_contact: Option<(StoreWord, ClockTime)>,
    hint: Option<VersionHint>,
}

impl FollowerState {
    pub(crate) fn new(scope: ConfigScope) -> Self {
        Self {
            replica: ConfigReplica::new(scope),
            in_force: false,
            confirmed_by_store: false,
            logged_wait: None,
            last_contact: None,
            peer_contact: None,
            hint: None,
        }
    }

    /// The store tells all that is newer than what is here; to be called under the same lock as
    /// its objects are taken in, else the book could be put in force without them.
    pub(crate) fn record_store_contact(&mut self, now: ClockTime) {
        self.last_contact = Some(now);
        self.confirmed_by_store = true;
    }

    /// Notes that someone has something; true if this process lacks it.
    pub(crate) fn record_hint(&mut self, hint: VersionHint) -> bool {
        if hint.newest <= self.replica.complete() {
            return false;
        }
        if self.hint.is_none_or(|held| held.newest <= hint.newest) {
            self.hint = Some(hint);
        }
        true
    }

    /// Whom to ask for what is newer, if there still is something newer.
    pub(crate) fn take_hint(&mut self) -> Option<VersionHint> {
        let hint = self.hint.take()?;
        (hint.newest > self.replica.complete()).then_some(hint)
    }

    /// Notes another process's word of the store.
    pub(crate) fn record_peer_contact(
        &mut self,
        word: StoreWord,
        own: IncarnationId,
        now: ClockTime,
    ) {
        // A process that took over for silent watchers would take its own word, passed back by a
        // neighbour, for theirs, and would stop.
        if word.by == own {
            return;
        }
        if self.store_silence(now).is_none_or(|store_silence| word.age < store_silence) {
            self.peer_contact = Some((word, now));
        }
    }

    /// For how long no other process is known to have had a word of the store.
    pub(crate) fn store_silence(&self, now: ClockTime) -> Option<Duration> {
        self.peer_contact.map(|(word, at)| word.age + now.since(at))
    }

    /// The newest word to pass on.
    pub(crate) fn newest_contact(&self, own: IncarnationId, now: ClockTime) -> Option<StoreWord> {
        let last_contact = self.last_contact.map(|at| StoreWord { by: own, age: now.since(at) });
        let heard =
            self.peer_contact.map(|(word, at)| StoreWord { age: word.age + now.since(at), ..word });
        [last_contact, heard].into_iter().flatten().min_by_key(|word| word.age)
    }

    /// True if the book holds a whole configuration.
    pub(crate) fn has_configuration(&self) -> bool {
        self.replica.is_filled()
            && self.replica.objects().any(|object| object.key == FLEET_OBJECT_KEY)
    }
}
