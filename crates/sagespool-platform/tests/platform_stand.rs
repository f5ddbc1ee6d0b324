//! The clients against the testkit's platform: both follow one contract.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use futures_lite::future::zip;
use sagespool_messages::MemberRole;
use sagespool_platform::{
    InstanceClient, ListedState, ObjectClient, ObjectOptions, StoreError, UpdateChoice,
    update_object,
};
use sagespool_testkit::{
    FakeInstanceList, FakeObjectStore, InstanceEntry, InstanceListOptions, InstanceState,
    ObjectStoreOptions, StoreFaults,
};
use sagespool_types::{RequestRate, StoreRevision};

const ABSENT: StoreRevision = StoreRevision::ZERO;
const TIMEOUT: Duration = Duration::from_secs(20);

fn start(history_limit: usize) -> (FakeObjectStore, ObjectClient) {
    let options = ObjectStoreOptions::builder().history_limit(history_limit).build();
    let stand = FakeObjectStore::start(options).unwrap();
    let options = ObjectOptions::builder().address(stand.address()).call_timeout(TIMEOUT);
    let client = ObjectClient::new(options.build());
    (stand, client)
}

#[test]
fn store_calls() {
    smol::block_on(async {
        let (stand, client) = start(2);
        let first = client.put("books/1", ABSENT, &1).await.unwrap();
        let conflict = Err(StoreError::Conflict { present: first });
        assert_eq!(client.put("books/1", ABSENT, &2).await, conflict);
        let second = client.put("books/1", first, &2).await.unwrap();
        let other = client.put("claims/1", ABSENT, &3).await.unwrap();
        assert_eq!(client.get::<u8>("books/1").await.unwrap().unwrap().value, 2);
        assert_eq!(client.get::<u8>("books/2").await, Ok(None));

        let listing = client.list::<u8>("books/").await.unwrap();
        assert_eq!(listing.revision, other);
        assert_eq!(listing.items.len(), 1);
        assert_eq!(listing.items[0].1.version, second);

        let gone = client.watch::<u8>("books/", ABSENT, TIMEOUT).await;
        assert_eq!(gone, Err(StoreError::HistoryGone));
        let watched = client.watch::<u8>("books/", other, TIMEOUT);
        let (watched, deleted) = zip(watched, client.delete("books/1", second)).await;
        deleted.unwrap();
        let changes = watched.unwrap().changes;
        assert_eq!((changes[0].key.as_str(), changes[0].value), ("books/1", None));
        let absent = Err(StoreError::Conflict { present: ABSENT });
        assert_eq!(client.delete("books/1", second).await, absent);
        assert_eq!(client.seen_revision(), stand.revision());
    });
}

#[test]
fn store_faults() {
    // The client's error for a failed write, compared with the state of the store.
    smol::block_on(async {
        let (stand, client) = start(100);
        let put = async |faults, key: &str| {
            stand.set_faults(faults);
            let put = client.put(key, ABSENT, &1).await.unwrap_err();
            let read = client.get::<u8>(key).await;
            (put, read, stand.object(key).is_some())
        };
        let outage = put(StoreFaults::builder().outage(true).build(), "a").await;
        let unavailable = StoreError::Unavailable;
        assert_eq!(outage, (unavailable.clone(), Err(unavailable.clone()), false));
        let lost_call = put(StoreFaults::builder().lose_call_share(1.0).build(), "a").await;
        assert_eq!(lost_call, (StoreError::Uncertain, Err(unavailable), false));
        let (error, read, exists) =
            put(StoreFaults::builder().lose_answer_share(1.0).build(), "a").await;
        assert_eq!((error, exists), (StoreError::Uncertain, true));
        assert_eq!(read.unwrap().unwrap().value, 1);

        let slow = StoreFaults::builder().writes_per_second(RequestRate(1)).build();
        stand.set_faults(slow);
        for number in 0..100 {
            let key = format!("b/{number}");
            if let Err(error) = client.put(&key, ABSENT, &1).await {
                assert!(matches!(error, StoreError::RateLimited { .. }), "{error}");
                assert!(stand.object(&key).is_none());
                return;
            }
        }
        panic!("none of 100 writes was over the rate limit");
    });
}

#[test]
fn racing_updates() {
    // Concurrent updates of one object while 30 % of the responses are lost. Each change must be applied
    // exactly once: none overwritten, none duplicated.
    const RACERS: usize = 6;
    const ROUNDS: usize = 5;
    const TRIES: usize = 1000;
    smol::block_on(async {
        let (stand, client) = start(1000);
        stand.set_faults(StoreFaults::builder().lose_answer_share(0.3).build());
        let race = |racer: usize| {
            let client = client.clone();
            smol::spawn(async move {
                for round in 0..ROUNDS {
                    let name = format!("{racer}-{round}");
                    let add = |names: &mut Vec<String>| {
                        if names.contains(&name) {
                            return UpdateChoice::Keep;
                        }
                        names.push(name.clone());
                        UpdateChoice::Write
                    };
                    let mut done = false;
                    for _ in 0..TRIES {
                        done = update_object(&client, "a", TIMEOUT, add).await.is_ok();
                        if done {
                            break;
                        }
                    }
                    assert!(done, "{name} was never stored");
                }
            })
        };
        let racers: Vec<_> = (0..RACERS).map(race).collect();
        for racer in racers {
            racer.await;
        }
        let mut names = client.get::<Vec<String>>("a").await.unwrap().unwrap().value;
        names.sort();
        let all = (0..RACERS).flat_map(|racer| (0..ROUNDS).map(move |r| format!("{racer}-{r}")));
        assert_eq!(names, all.collect::<Vec<_>>());
    });
}

#[test]
fn instances_listed() {
    smol::block_on(async {
        let stand = FakeInstanceList::start(InstanceListOptions::builder().build()).unwrap();
        let entry = |state| InstanceEntry {
            instance: "side-1".parse().unwrap(),
            role: MemberRole::Sidecar,
            region: "muscat".parse().unwrap(),
            centre: "seeb".parse().unwrap(),
            address: "127.0.0.1:7000".parse().unwrap(),
            state,
        };
        let client = InstanceClient::new(stand.address(), None);
        stand.set(entry(InstanceState::Live));
        let listing = client.list(None, Duration::ZERO).await.unwrap();
        assert_eq!(listing.instances[0].state, ListedState::Live);

        let leaving = async { stand.mark_leaving(&"side-1".parse().unwrap()) };
        let (listing, ()) = zip(client.list(Some(listing.revision), TIMEOUT), leaving).await;
        assert_eq!(listing.unwrap().instances[0].state, ListedState::Leaving);
    });
}
