//! Calls by way of another process, and back to the direct way.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sagespool_platform::{
    ObjectClient, ObjectOptions, RawFailure, RawResponse, StoreError, StoreFallback,
};
use sagespool_testkit::{ObjectStand, ObjectStandOptions, StoreFaults};
use sagespool_types::StoreRevision;

const LIMIT: Duration = Duration::from_secs(20);
const ABSENT: StoreRevision = StoreRevision::ZERO;

fn start() -> (ObjectStand, ObjectClient) {
    let stand = ObjectStand::start(ObjectStandOptions::builder().build()).unwrap();
    let options = ObjectOptions::builder().address(stand.address()).call_timeout(LIMIT);
    (stand, ObjectClient::new(options.build()))
}

/// A detour that counts its calls and gives one result.
fn detour(result: Result<RawResponse, RawFailure>) -> (StoreFallback, Arc<AtomicUsize>) {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let detour = StoreFallback::new(move |_, _| {
        counted.fetch_add(1, Ordering::Relaxed);
        let result = result.clone();
        Box::pin(async move { result })
    });
    (detour, calls)
}

/// Every process is killed while the store is away, and starts before it is back. Nobody can be
/// asked to make calls, for links open only with the store's help. When the store is back, a plain
/// read must find it.
#[test]
fn nobody_else_up() {
    smol::block_on(async {
        let (stand, client) = start();
        client.put("books/1", ABSENT, &1).await.unwrap();
        let (detour, calls) = detour(Err(RawFailure::NotSent));
        assert!(client.set_fallback(detour));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        assert_eq!(client.get::<u8>("books/1").await, Err(StoreError::Unavailable));
        assert_eq!(calls.load(Ordering::Relaxed), 1);
        stand.set_faults(StoreFaults::builder().build());
        assert_eq!(client.get::<u8>("books/1").await.unwrap().unwrap().value, 1);
    });
}

/// The store turns this process away and serves another one, which makes the calls meanwhile.
#[test]
fn turned_away() {
    smol::block_on(async {
        let (stand, client) = start();
        let body = br#"{"key":"books/1","version":4,"value":7}"#.to_vec();
        let (detour, calls) = detour(Ok(RawResponse { status: 200, body: Some(body) }));
        assert!(client.set_fallback(detour));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        for _ in 0..3 {
            assert_eq!(client.get::<u8>("books/1").await.unwrap().unwrap().value, 7);
        }
        assert_eq!(calls.load(Ordering::Relaxed), 3);
    });
}

/// A write goes the other way only if it surely did nothing on the first one, and its loss there
/// leaves it as uncertain as any lost write.
#[test]
fn lost_write() {
    smol::block_on(async {
        let (stand, client) = start();
        let (detour, calls) = detour(Err(RawFailure::Lost));
        assert!(client.set_fallback(detour));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        let written = client.put("books/1", ABSENT, &1).await;
        assert_eq!(written, Err(StoreError::Uncertain));
        assert_eq!(calls.load(Ordering::Relaxed), 1);
    });
}

/// This process is too busy to take the answers of those that it asks in time. That says nothing of the
/// store: each read goes on asking.
#[test]
fn busy_asker() {
    smol::block_on(async {
        let (stand, client) = start();
        let (detour, calls) = detour(Err(RawFailure::Lost));
        assert!(client.set_fallback(detour));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        for _ in 0..20 {
            assert_eq!(client.get::<u8>("books/1").await, Err(StoreError::Unavailable));
        }
        assert_eq!(calls.load(Ordering::Relaxed), 20);
    });
}

/// The store is down for everybody. Each process of a fleet would try it for every request, directly
/// and by way of several others, which try it in turn: the calls are many times those of a quiet day.
/// After two rounds in vain a call is given up at once, and nobody is asked.
#[test]
fn nobody_served() {
    smol::block_on(async {
        let (stand, client) = start();
        client.put("books/1", ABSENT, &1).await.unwrap();
        let (detour, calls) = detour(Err(RawFailure::Unanswered));
        assert!(client.set_fallback(detour));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        for _ in 0..200 {
            assert_eq!(client.get::<u8>("books/1").await, Err(StoreError::Unavailable));
        }
        assert!(calls.load(Ordering::Relaxed) < 20, "{}", calls.load(Ordering::Relaxed));
        // Word of others that it is back opens the ways again.
        stand.set_faults(StoreFaults::builder().build());
        client.note_store_reachable();
        let before = calls.load(Ordering::Relaxed);
        let _ = client.get::<u8>("books/1").await;
        assert_eq!(calls.load(Ordering::Relaxed), before + 1);
    });
}
