//! A follower's state, guarded by one lock.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_membership::ConfigReplica;
use sagespool_messages::{ConfigScope, FLEET_OBJECT_KEY, LastStoreContact};
use sagespool_types::{ClockTime, IncarnationId, StoreRevision};

/// A member that has a newer version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionHint {
    pub(crate) address: SocketAddr,
    pub(crate) newest: StoreRevision,
}

/// The state of a follower.
#[derive(Debug)]
pub(crate) struct FollowerState {
    pub(crate) replica: ConfigReplica,
    /// False until the first complete configuration; nothing is applied before.
    pub(crate) in_force: bool,
    /// The replica was read from the store or confirmed by it.
    pub(crate) confirmed_by_store: bool,
    /// The version that another member has in force and that was logged as awaited.
    pub(crate) logged_wait: Option<StoreRevision>,
    /// When the store last answered this process.
    last_contact: Option<ClockTime>,
    /// The most recent contact of another process with the store, and when it was reported here.
    peer_contact: Option<(LastStoreContact, ClockTime)>,
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

    /// Records that the store returned everything newer than the replica. To be called under the
    /// same lock as the objects are stored, else the replica could be applied without them.
    pub(crate) fn record_store_contact(&mut self, now: ClockTime) {
        self.last_contact = Some(now);
        self.confirmed_by_store = true;
    }

    /// Records that a member has a version; true if it is newer than the replica.
    pub(crate) fn record_hint(&mut self, hint: VersionHint) -> bool {
        if hint.newest <= self.replica.complete() {
            return false;
        }
        if self.hint.is_none_or(|held| held.newest <= hint.newest) {
            self.hint = Some(hint);
        }
        true
    }

    /// The member to query, if it still has a newer version.
    pub(crate) fn take_hint(&mut self) -> Option<VersionHint> {
        let hint = self.hint.take()?;
        (hint.newest > self.replica.complete()).then_some(hint)
    }

    /// Records another process's contact with the store.
    pub(crate) fn record_peer_contact(
        &mut self,
        contact: LastStoreContact,
        own: IncarnationId,
        now: ClockTime,
    ) {
        // A process that took over for silent watchers would receive its own contact back from a
        // neighbour, take it for theirs, and stop watching.
        if contact.by == own {
            return;
        }
        if self.store_silence(now).is_none_or(|store_silence| contact.age < store_silence) {
            self.peer_contact = Some((contact, now));
        }
    }

    /// The time since another process is known to have reached the store; `None` if unknown.
    pub(crate) fn store_silence(&self, now: ClockTime) -> Option<Duration> {
        self.peer_contact.map(|(contact, at)| contact.age + now.since(at))
    }

    /// The most recent known contact with the store, to be sent to neighbours.
    pub(crate) fn newest_contact(
        &self,
        own: IncarnationId,
        now: ClockTime,
    ) -> Option<LastStoreContact> {
        let last_contact =
            self.last_contact.map(|at| LastStoreContact { by: own, age: now.since(at) });
        let heard = self
            .peer_contact
            .map(|(contact, at)| LastStoreContact { age: contact.age + now.since(at), ..contact });
        [last_contact, heard].into_iter().flatten().min_by_key(|contact| contact.age)
    }

    /// True if the replica holds a complete configuration.
    pub(crate) fn has_configuration(&self) -> bool {
        self.replica.is_filled()
            && self.replica.objects().any(|object| object.key == FLEET_OBJECT_KEY)
    }
}
