//! Configuration objects received from the store and from neighbours.

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, quickcheck};
use sagespool_membership::ConfigReplica;
use sagespool_messages::{ConfigObject, ConfigQuery, ConfigReply, ConfigScope, FLEET_OBJECT_KEY};
use sagespool_types::StoreRevision;

const REPLICAS: usize = 3;
const KEYS: u8 = 4;

/// Changes of the store, and exchanges with processes that read it or each other.
#[derive(Debug, Clone, Copy)]
enum Step {
    Put(u8),
    Delete(u8),
    List(usize),
    Follow(usize),
    Relay {
        from: usize,
        to: usize,
    },
    /// A reply sent now that arrives at the end.
    Late {
        from: usize,
        to: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let replica = |g: &mut Gen| usize::arbitrary(g) % REPLICAS;
        let key = |g: &mut Gen| u8::arbitrary(g) % KEYS;
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Put(key(g)),
            2 => Self::Delete(key(g)),
            3 => Self::List(replica(g)),
            4 => Self::Follow(replica(g)),
            5 | 6 => Self::Relay { from: replica(g), to: replica(g) },
            _ => Self::Late { from: replica(g), to: replica(g) },
        }
    }
}

fn key(number: u8) -> String {
    format!("configuration/branches/{number}")
}

#[derive(Default)]
struct Store {
    revision: u64,
    /// The last change of each key.
    changes: BTreeMap<String, ConfigObject>,
}

impl Store {
    fn change(&mut self, number: u8, is_there: bool) {
        self.revision += 1;
        let value = is_there.then(|| self.revision.to_string());
        let version = StoreRevision(self.revision);
        self.changes.insert(key(number), ConfigObject { key: key(number), version, value });
    }

    fn present(&self) -> Vec<ConfigObject> {
        self.changes.values().filter(|object| object.value.is_some()).cloned().collect()
    }

    fn after(&self, revision: StoreRevision) -> Vec<ConfigObject> {
        self.changes.values().filter(|object| object.version > revision).cloned().collect()
    }
}

/// All parts of a reply, one object each.
fn parts(from: &ConfigReplica, mut query: ConfigQuery) -> Vec<(ConfigQuery, ConfigReply)> {
    let mut parts = Vec::new();
    while let Some(reply) = from.reply(&query, 1) {
        let next = reply.next;
        parts.push((query, reply));
        let Some(next) = next else { break };
        query.after = next;
    }
    parts
}

/// A replica and the versions that its owner has applied.
struct Process {
    replica: ConfigReplica,
    versions: BTreeMap<String, StoreRevision>,
    went_back: bool,
}

impl Process {
    fn apply(&mut self, changed: Vec<ConfigObject>) {
        for object in changed {
            let before = self.versions.insert(object.key, object.version);
            self.went_back |= before.is_some_and(|before| before >= object.version);
        }
    }

    fn take(&mut self, parts: Vec<(ConfigQuery, ConfigReply)>) {
        for (query, reply) in parts {
            let changed = self.replica.apply_reply(&query, reply);
            self.apply(changed);
        }
    }

    fn list(&mut self, store: &Store) {
        let changed = self.replica.apply_listing(StoreRevision(store.revision), store.present());
        self.apply(changed);
    }
}

quickcheck! {
    /// For any order, source and delay of reads, no object goes back to an older version, and a
    /// process that then queries one that has read the store holds exactly the store's objects.
    fn same_as_store(steps: Vec<Step>) -> bool {
        let mut store = Store::default();
        let new = || Process {
            replica: ConfigReplica::new(ConfigScope::All),
            versions: BTreeMap::new(),
            went_back: false,
        };
        let mut processes: Vec<Process> = (0..REPLICAS).map(|_| new()).collect();
        let mut late = Vec::new();
        store.change(0, true);
        for step in steps {
            match step {
                Step::Put(number) => store.change(number, true),
                Step::Delete(number) => store.change(number, false),
                Step::List(index) => processes[index].list(&store),
                Step::Follow(index) => {
                    let process = &mut processes[index];
                    if process.replica.is_filled() {
                        let after = process.replica.complete();
                        let revision = StoreRevision(store.revision);
                        let changed = process.replica.apply_changes(after, revision, store.after(after));
                        process.apply(changed);
                    }
                }
                Step::Relay { from, to } => {
                    let reply = parts(&processes[from].replica, processes[to].replica.query());
                    processes[to].take(reply);
                }
                Step::Late { from, to } => {
                    late.push((to, parts(&processes[from].replica, processes[to].replica.query())));
                }
            }
        }
        processes[0].list(&store);
        for index in 1..REPLICAS {
            let reply = parts(&processes[0].replica, processes[index].replica.query());
            processes[index].take(reply);
        }
        for (index, reply) in late {
            processes[index].take(reply);
        }
        let is_same = |process: &Process| {
            process.replica.objects().cloned().collect::<Vec<_>>() == store.present()
        };
        processes.iter().all(|process| !process.went_back && is_same(process))
    }
}

fn object(key: &str, version: u64) -> ConfigObject {
    ConfigObject { key: key.to_owned(), version: StoreRevision(version), value: Some("{}".into()) }
}

#[test]
fn no_reply_from_incomplete_replica() {
    // One process is still reading, and one holds the fleet's object alone. If they replied to a
    // query for everything, the receiver would take the missing branches for deleted.
    let query_all = ConfigReplica::new(ConfigScope::All).query();
    let mut reading = ConfigReplica::new(ConfigScope::All);
    let part = ConfigReply {
        as_of: StoreRevision(9),
        objects: vec![object(FLEET_OBJECT_KEY, 3)],
        next: Some(StoreRevision(3)),
        present: None,
        word: None,
    };
    reading.apply_reply(&query_all, part);
    assert_eq!(reading.reply(&query_all, 1), None);

    let mut sidecar = ConfigReplica::new(ConfigScope::Fleet);
    let listed = vec![object(FLEET_OBJECT_KEY, 3), object(&key(1), 4)];
    assert_eq!(sidecar.apply_listing(StoreRevision(9), listed).len(), 1, "what a sidecar follows");
    assert_eq!(sidecar.reply(&query_all, 1), None);
    let query_fleet = ConfigReplica::new(ConfigScope::Fleet).query();
    let reply = sidecar.reply(&query_fleet, 1).expect("a sidecar passes the fleet's object on");
    assert_eq!(reply.objects, [object(FLEET_OBJECT_KEY, 3)]);
}

#[test]
fn partial_reply() {
    // A part of a reply brings version 8 of a branch's object, and the rest is lost. The object
    // of version 6 is still missing, so the next query must start before it. A delayed reply of
    // another neighbour then brings version 7 of the branch's object, which must not replace
    // version 8.
    let mut replica = ConfigReplica::new(ConfigScope::All);
    replica.apply_listing(StoreRevision(5), vec![object(FLEET_OBJECT_KEY, 5)]);
    let query = replica.query();
    let part = ConfigReply {
        as_of: StoreRevision(9),
        objects: vec![object(&key(1), 8)],
        next: Some(StoreRevision(8)),
        present: None,
        word: None,
    };
    assert_eq!(replica.apply_reply(&query, part).len(), 1);
    assert_eq!(replica.query().after, StoreRevision(5));
    let late = ConfigReply {
        as_of: StoreRevision(7),
        objects: vec![object(&key(1), 7)],
        next: None,
        present: None,
        word: None,
    };
    assert_eq!(replica.apply_reply(&query, late), []);
}
