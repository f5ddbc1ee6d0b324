//! The configuration's objects as a process has them, and what it tells neighbours of them.

use std::collections::{BTreeMap, BTreeSet};

use sagespool_messages::{ConfigAsk, ConfigObject, ConfigReply, ConfigScope};
use sagespool_types::StoreRevision;

use crate::{AppliedVersions, VersionOffer};

/// The objects that a process follows, each at the newest version that it was offered.
///
/// Objects come from listings and watches of the store and from neighbours, in any order and
/// however late. No version of an object is taken after a newer one ([`AppliedVersions`]). What
/// came by each way says up to which revision the process now has *everything* (`complete`); an
/// object that was offered alone doesn't raise it, else a change before it would never be asked for.
#[derive(Debug)]
pub struct ConfigBook {
    scope: ConfigScope,
    versions: AppliedVersions,
    /// Objects that are there, and those known to be gone, with the version.
    objects: BTreeMap<String, ConfigObject>,
    complete: StoreRevision,
    /// From here on every deletion is among the objects. Before, the book was not followed.
    floor: StoreRevision,
    is_filled: bool,
}

impl ConfigBook {
    /// Nothing known.
    pub fn new(scope: ConfigScope) -> Self {
        Self {
            scope,
            versions: AppliedVersions::new(),
            objects: BTreeMap::new(),
            complete: StoreRevision::ZERO,
            floor: StoreRevision::ZERO,
            is_filled: false,
        }
    }

    /// What is followed.
    pub fn scope(&self) -> ConfigScope {
        self.scope
    }

    /// True once all objects have been read, from the store or from a neighbour.
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

    /// Every object that is there.
    pub fn objects(&self) -> impl Iterator<Item = &ConfigObject> {
        self.objects.values().filter(|object| object.value.is_some())
    }

    /// Takes in one object; true if it is newer than what was here.
    ///
    /// Guards against an answer that is late by more than a deletion: its object isn't known here any
    /// more, so no newer version would speak against it, and it would come back. Everything up to
    /// `complete` is here or gone, so nothing up to there is taken.
    fn offer(&mut self, object: &ConfigObject) -> bool {
        if !self.scope.covers(&object.key) || object.version <= self.complete {
            return false;
        }
        if self.versions.offer(&object.key, object.version) != VersionOffer::Apply {
            return false;
        }
        self.objects.insert(object.key.clone(), object.clone());
        true
    }

    /// Takes in all objects as of a revision, read from the store. What is new.
    pub fn list(&mut self, revision: StoreRevision, items: Vec<ConfigObject>) -> Vec<ConfigObject> {
        let present = items.iter().map(|object| object.key.clone()).collect();
        let mut news = self.offer_all(items);
        news.extend(self.drop_absent(&present, revision));
        self.filled(revision);
        news
    }

    /// Takes in what changed in the store after `after`, complete up to `revision`. What is new.
    pub fn follow(
        &mut self,
        after: StoreRevision,
        revision: StoreRevision,
        changes: Vec<ConfigObject>,
    ) -> Vec<ConfigObject> {
        let news = self.offer_all(changes);
        if after <= self.complete {
            self.complete = self.complete.max(revision);
        }
        news
    }

    fn offer_all(&mut self, objects: Vec<ConfigObject>) -> Vec<ConfigObject> {
        objects.into_iter().filter(|object| self.offer(object)).collect()
    }

    /// Objects that weren't there any more at a revision.
    ///
    /// Guards against a deletion that happened while nobody here watched: the object would stay in
    /// force for ever. Only versions up to that revision are dropped; a later one was put after it.
    fn drop_absent(
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

    /// All was read as of a revision: of what went away before, nothing is known.
    fn filled(&mut self, revision: StoreRevision) {
        self.is_filled = true;
        self.complete = self.complete.max(revision);
        self.floor = self.floor.max(revision);
    }

    /// A question to a neighbour for what is new; the first part of its answer.
    pub fn ask(&self) -> ConfigAsk {
        ConfigAsk { scope: self.scope, after: self.complete, complete: self.complete }
    }

    /// The answer to a neighbour, of `most_bytes` or one object more; nothing if this book doesn't
    /// have all that is asked for. Parts go by versions: an object that changes between two parts
    /// gets a version above both, so none is left out.
    pub fn reply(&self, ask: &ConfigAsk, most_bytes: usize) -> Option<ConfigReply> {
        // A book that isn't filled yet, or with fewer objects, would have objects taken for gone.
        if !self.is_filled || (ask.scope == ConfigScope::All && self.scope == ConfigScope::Fleet) {
            return None;
        }
        let newer = self.objects.values().filter(|object| object.version > ask.after);
        let mut newer: Vec<_> = newer.filter(|object| ask.scope.covers(&object.key)).collect();
        newer.sort_by_key(|object| object.version);
        let (mut objects, mut bytes) = (Vec::new(), 0);
        let count = newer.len();
        for object in newer {
            if bytes >= most_bytes {
                break;
            }
            bytes += object.value.as_ref().map_or(0, String::len);
            objects.push(object.clone());
        }
        let next = objects.last().filter(|_| objects.len() < count).map(|last| last.version);
        let tells_present = next.is_none() && ask.complete < self.floor;
        let present = tells_present.then(|| {
            let keys = self.objects().map(|object| object.key.clone());
            keys.filter(|key| ask.scope.covers(key)).collect()
        });
        Some(ConfigReply { as_of: self.complete, objects, next, present, word: None })
    }

    /// Takes in a neighbour's answer, or a part of it. What is new.
    pub fn take_reply(&mut self, ask: &ConfigAsk, reply: ConfigReply) -> Vec<ConfigObject> {
        let ConfigReply { as_of, objects, next, present, .. } = reply;
        let mut news = self.offer_all(objects);
        if next.is_some() {
            return news;
        }
        if let Some(present) = present {
            news.extend(self.drop_absent(&present.into_iter().collect(), as_of));
            self.filled(as_of);
        } else if ask.complete <= self.complete {
            self.complete = self.complete.max(as_of);
        }
        news
    }
}
