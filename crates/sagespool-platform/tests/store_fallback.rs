//! Calls through the fallback, and the return to direct calls.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sagespool_platform::{
    ObjectClient, ObjectOptions, RawFailure, RawResponse, StoreError, StoreFallback,
};
use sagespool_testkit::{FakeObjectStore, ObjectStoreOptions, StoreFaults};
use sagespool_types::StoreRevision;
use smol::Timer;

const TIMEOUT: Duration = Duration::from_secs(20);
/// The time within which calls must succeed again, far above what they take.
const RETURN_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
const ABSENT: StoreRevision = StoreRevision::ZERO;

fn start() -> (FakeObjectStore, ObjectClient) {
    let stand = FakeObjectStore::start(ObjectStoreOptions::builder().build()).unwrap();
    let options = ObjectOptions::builder().address(stand.address()).call_timeout(TIMEOUT);
    (stand, ObjectClient::new(options.build()))
}

/// A fallback that counts its calls and always returns one result.
fn counting_fallback(result: Result<RawResponse, RawFailure>) -> (StoreFallback, Arc<AtomicUsize>) {
    let calls = Arc::new(AtomicUsize::new(0));
    let counter = calls.clone();
    let fallback = StoreFallback::new(move |_| {
        counter.fetch_add(1, Ordering::Relaxed);
        let result = result.clone();
        Box::pin(async move { result })
    });
    (fallback, calls)
}

/// All processes are restarted during a store outage. No peer can take calls, since links need the
/// store to open. Once the store is available again, a plain read must succeed.
#[test]
fn no_peer_reachable() {
    smol::block_on(async {
        let (stand, client) = start();
        client.put("books/1", ABSENT, &1).await.unwrap();
        let (fallback, calls) = counting_fallback(Err(RawFailure::NotSent));
        assert!(client.set_fallback(fallback));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        assert_eq!(client.get::<u8>("books/1").await, Err(StoreError::Unavailable));
        assert_eq!(calls.load(Ordering::Relaxed), 1);
        stand.set_faults(StoreFaults::builder().build());
        assert_eq!(client.get::<u8>("books/1").await.unwrap().unwrap().value, 1);
    });
}

/// The store rejects this process and serves another one, which makes the calls meanwhile.
#[test]
fn direct_calls_rejected() {
    smol::block_on(async {
        let (stand, client) = start();
        let body = br#"{"key":"books/1","version":4,"value":7}"#.to_vec();
        let (fallback, calls) =
            counting_fallback(Ok(RawResponse { status: 200, body: Some(body) }));
        assert!(client.set_fallback(fallback));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        for _ in 0..3 {
            assert_eq!(client.get::<u8>("books/1").await.unwrap().unwrap().value, 7);
        }
        assert_eq!(calls.load(Ordering::Relaxed), 3);
    });
}

/// A write uses the fallback only if it is known to have had no effect directly. If its reply is lost
/// there, it is as uncertain as any lost write.
#[test]
fn write_lost_in_fallback() {
    smol::block_on(async {
        let (stand, client) = start();
        let (fallback, calls) = counting_fallback(Err(RawFailure::Lost));
        assert!(client.set_fallback(fallback));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        let written = client.put("books/1", ABSENT, &1).await;
        assert_eq!(written, Err(StoreError::Uncertain));
        assert_eq!(calls.load(Ordering::Relaxed), 1);
    });
}

/// This process is too busy to receive the replies of its peers in time. This is no evidence of a store
/// outage: each read keeps using the fallback.
#[test]
fn peer_replies_lost() {
    smol::block_on(async {
        let (stand, client) = start();
        let (fallback, calls) = counting_fallback(Err(RawFailure::Lost));
        assert!(client.set_fallback(fallback));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        for _ in 0..20 {
            assert_eq!(client.get::<u8>("books/1").await, Err(StoreError::Unavailable));
        }
        assert_eq!(calls.load(Ordering::Relaxed), 20);
    });
}

/// A process starts while the store rejects it, and no peer's call gets a response. It follows nothing yet,
/// so no watch tries the direct connection. Guards against a start that never ends although the store
/// serves this process again.
#[test]
fn no_watch_yet() {
    smol::block_on(async {
        for relayed in [
            Err(RawFailure::Lost),
            Err(RawFailure::Unanswered),
            Ok(RawResponse { status: 503, body: None }),
        ] {
            let (stand, client) = start();
            client.put("books/1", ABSENT, &1).await.unwrap();
            let (fallback, _) = counting_fallback(relayed.clone());
            assert!(client.set_fallback(fallback));
            stand.set_faults(StoreFaults::builder().outage(true).build());
            assert_eq!(client.get::<u8>("books/1").await, Err(StoreError::Unavailable));
            stand.set_faults(StoreFaults::builder().build());
            let end = Instant::now() + RETURN_TIMEOUT;
            while client.get::<u8>("books/1").await.is_err() {
                assert!(Instant::now() < end, "{relayed:?}");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    });
}

/// The store is down for the whole fleet. Guards against a multiple of the normal call rate: each
/// process would call it for every request, directly and through several peers, which call it in
/// turn. After two failures of direct call and fallback, calls fail at once without either.
#[test]
fn store_down_for_all() {
    smol::block_on(async {
        let (stand, client) = start();
        client.put("books/1", ABSENT, &1).await.unwrap();
        let (fallback, calls) = counting_fallback(Err(RawFailure::Unanswered));
        assert!(client.set_fallback(fallback));
        stand.set_faults(StoreFaults::builder().outage(true).build());
        for _ in 0..200 {
            assert_eq!(client.get::<u8>("books/1").await, Err(StoreError::Unavailable));
        }
        assert!(calls.load(Ordering::Relaxed) < 20, "{}", calls.load(Ordering::Relaxed));
        // A peer's report that the store answers again ends the backoff.
        stand.set_faults(StoreFaults::builder().build());
        client.note_store_reachable();
        let before = calls.load(Ordering::Relaxed);
        let _ = client.get::<u8>("books/1").await;
        assert_eq!(calls.load(Ordering::Relaxed), before + 1);
    });
}
