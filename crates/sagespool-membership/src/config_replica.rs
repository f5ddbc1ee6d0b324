//! A process's replica of the configuration objects, and its exchange with neighbours.

use std::collections::{BTreeMap, BTreeSet};

use sagespool_messages::{ConfigObject, ConfigQuery, ConfigReply, ConfigScope};
use sagespool_types::StoreRevision;

use crate::{AppliedVersions, VersionOutcome};

/// The objects that a process follows, each at the newest version offered.
///
/// Objects arrive from listings and watches of the store and from neighbours, in any order and
/// with any delay. No version of an object is accepted after a newer one ([`AppliedVersions`]).
/// `complete` is the revision up to which *all* changes are here. An object that was offered alone
/// doesn't raise it, else an earlier change would never be queried.
#[derive(Debug)]
pub struct ConfigReplica {
    scope: ConfigScope,
    versions: AppliedVersions,
    /// Existing objects and known deletions, with their versions.
    objects: BTreeMap<String, ConfigObject>,
    complete: StoreRevision,
    /// Every deletion after this revision is among the objects. Earlier ones may be missing.
    deletions_since: StoreRevision,
    is_filled: bool,
}

impl ConfigReplica {
    /// An empty replica.
    pub fn new(scope: ConfigScope) -> Self {
        Self {
            scope,
            versions: AppliedVersions::new(),
            objects: BTreeMap::new(),
            complete: StoreRevision::ZERO,
            deletions_since: StoreRevision::ZERO,
            is_filled: false,
        }
    }

    /// Which objects are followed.
    pub fn scope(&self) -> ConfigScope {
        self.scope
    }

    /// True once all objects have been read, from the store or a neighbour.
    pub fn is_filled(&self) -> bool {
        self.is_filled
    }

    /// The revision up to which every change is here.
    pub fn complete(&self) -> StoreRevision {
        self.complete
    }

    /// The newest version of any object.
    pub fn newest(&self) -> StoreRevision {
        StoreRevision(self.versions.in_force().0)
    }

    /// All existing objects.
    pub fn objects(&self) -> impl Iterator<Item = &ConfigObject> {
        self.objects.values().filter(|object| object.value.is_some())
    }

    /// Stores one object; true if it is newer than the stored one.
    ///
    /// Rejects versions up to `complete`, where every change is stored or deleted already. A
    /// delayed reply may bring an object that was deleted in the meantime and has no record here:
    /// no newer version would reject it, and it would return.
    fn offer(&mut self, object: &ConfigObject) -> bool {
        if !self.scope.covers(&object.key) || object.version <= self.complete {
            return false;
        }
        if self.versions.offer(&object.key, object.version) != VersionOutcome::Apply {
            return false;
        }
        self.objects.insert(object.key.clone(), object.clone());
        true
    }

    /// Applies a listing of the store at a revision; returns the changed objects.
    pub fn apply_listing(
        &mut self,
        revision: StoreRevision,
        items: Vec<ConfigObject>,
    ) -> Vec<ConfigObject> {
        let present = items.iter().map(|object| object.key.clone()).collect();
        let mut changed = self.offer_all(items);
        changed.extend(self.remove_absent(&present, revision));
        self.mark_filled(revision);
        changed
    }

    /// Applies all changes of the store after `after` up to `revision`; returns the changed
    /// objects.
    pub fn apply_changes(
        &mut self,
        after: StoreRevision,
        revision: StoreRevision,
        changes: Vec<ConfigObject>,
    ) -> Vec<ConfigObject> {
        let changed = self.offer_all(changes);
        if after <= self.complete {
            self.complete = self.complete.max(revision);
        }
        changed
    }

    fn offer_all(&mut self, objects: Vec<ConfigObject>) -> Vec<ConfigObject> {
        objects.into_iter().filter(|object| self.offer(object)).collect()
    }

    /// Deletes stored objects that didn't exist any more at a revision.
    ///
    /// Guards against a deletion that was missed while not watching: the object would stay in
    /// force for ever. Only versions below that revision are deleted; later ones were written
    /// after it.
    fn remove_absent(
        &mut self,
        present: &BTreeSet<String>,
        revision: StoreRevision,
    ) -> Vec<ConfigObject> {
        let absent = self.objects().filter(|object| !present.contains(&object.key));
        let gone = absent.filter(|object| object.version < revision).map(|object| ConfigObject {
            version: revision,
            value: None,
            ..object.clone()
        });
        let gone: Vec<_> = gone.collect();
        self.offer_all(gone)
    }

    /// Records that all objects were read at a revision. Earlier deletions are unknown.
    fn mark_filled(&mut self, revision: StoreRevision) {
        self.is_filled = true;
        self.complete = self.complete.max(revision);
        self.deletions_since = self.deletions_since.max(revision);
    }

    /// The query to a neighbour for newer objects; further parts of the reply change `after`.
    pub fn query(&self) -> ConfigQuery {
        ConfigQuery { scope: self.scope, after: self.complete, complete: self.complete }
    }

    /// The reply to a neighbour, of `max_bytes` plus at most one object; `None` if this replica
    /// doesn't hold everything that is queried. Parts are ordered by version: an object that
    /// changes between two parts gets a version above both, so none is left out.
    pub fn reply(&self, query: &ConfigQuery, max_bytes: usize) -> Option<ConfigReply> {
        // With an incomplete replica the receiver would take missing objects for deleted.
        if !self.is_filled || (query.scope == ConfigScope::All && self.scope == ConfigScope::Fleet)
        {
            return None;
        }
        let newer = self.objects.values().filter(|object| object.version > query.after);
        let mut newer: Vec<_> = newer.filter(|object| query.scope.covers(&object.key)).collect();
        newer.sort_by_key(|object| object.version);
        let (mut objects, mut bytes) = (Vec::new(), 0);
        let count = newer.len();
        for object in newer {
            if bytes >= max_bytes {
                break;
            }
            bytes += object.value.as_ref().map_or(0, String::len);
            objects.push(object.clone());
        }
        let next = objects.last().filter(|_| objects.len() < count).map(|last| last.version);
        let sends_present = next.is_none() && query.complete < self.deletions_since;
        let present = sends_present.then(|| {
            let keys = self.objects().map(|object| object.key.clone());
            keys.filter(|key| query.scope.covers(key)).collect()
        });
        Some(ConfigReply { as_of: self.complete, objects, next, present, word: None })
    }

    /// Applies a neighbour's reply, or a part of it; returns the changed objects.
    pub fn apply_reply(&mut self, query: &ConfigQuery, reply: ConfigReply) -> Vec<ConfigObject> {
        let ConfigReply { as_of, objects, next, present, .. } = reply;
        let mut changed = self.offer_all(objects);
        if next.is_some() {
            return changed;
        }
        if let Some(present) = present {
            changed.extend(self.remove_absent(&present.into_iter().collect(), as_of));
            self.mark_filled(as_of);
        } else if query.complete <= self.complete {
            self.complete = self.complete.max(as_of);
        }
        changed
    }
}
