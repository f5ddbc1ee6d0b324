//! Changes of an engine's prompt cache that requesters receive.

#![allow(clippy::unwrap_used)]

mod harness;

use std::net::SocketAddr;
use std::time::Duration;

use harness::fleet::{TestFleet, TestPlatform};
use harness::{completion, engine, eventually};
use sagespool_messages::{DispatchEvent, PrefixCacheEvent, PrefixCacheUpdate, PrefixDigest};
use sagespool_sidecar::{CacheEvents, EngineCacheEvent, PromptCacheTracker};
use sagespool_testkit::prefix_digest;
use serde_json::{Value, json};
use smol::block_on;

fn requester(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn change(prefix: u128, is_stored: bool) -> PrefixCacheEvent {
    PrefixCacheEvent { prefix: PrefixDigest::from(prefix), is_stored }
}

fn cache_events(start: u64, events: &[(u64, u128, bool)]) -> CacheEvents {
    let events = events.iter().map(|(number, prefix, is_stored)| EngineCacheEvent {
        number: *number,
        note: change(*prefix, *is_stored),
    });
    CacheEvents { start: json!(start), events: events.collect() }
}

fn unsent(tracker: &PromptCacheTracker, requester: SocketAddr) -> Vec<(u64, PrefixCacheEvent)> {
    tracker.changes_for(requester).map_or(vec![], |changes| changes.numbered().collect())
}

#[test]
fn sent_once() {
    let tracker = PromptCacheTracker::default();
    assert_eq!(tracker.changes_for(requester(1)), None);
    tracker.apply(&cache_events(1, &[(1, 10, true), (3, 11, true)]));
    assert_eq!(tracker.poll_after(), 3);
    let both = vec![(1, change(10, true)), (2, change(11, true))];
    assert_eq!(unsent(&tracker, requester(1)), both);
    assert_eq!(unsent(&tracker, requester(1)), []);
    tracker.apply(&cache_events(1, &[(3, 11, true), (4, 10, false)]));
    assert_eq!(unsent(&tracker, requester(1)), [(3, change(10, false))]);
    let newest = vec![(2, change(11, true)), (3, change(10, false))];
    assert_eq!(unsent(&tracker, requester(2)), newest, "only the newest change of each prefix");
}

#[test]
fn restarted_engine() {
    // An engine restarts with an empty cache and numbers its events from 1. Entries must not keep
    // dispatching its old prefixes to it instead of to engines that have them cached, and a poll
    // after the old number would return no events.
    let tracker = PromptCacheTracker::default();
    tracker.apply(&cache_events(1, &[(7, 10, true), (8, 11, false)]));
    unsent(&tracker, requester(1));
    tracker.mark_unreachable();
    assert_eq!(tracker.poll_after(), 0);
    tracker.apply(&cache_events(2, &[(1, 12, true)]));
    assert_eq!(unsent(&tracker, requester(1)), [(3, change(10, false)), (4, change(12, true))]);
    assert_eq!(tracker.poll_after(), 1);
}

#[test]
fn bounded_changes() {
    let tracker = PromptCacheTracker::default();
    let events: Vec<_> = (1..=1000_u64).map(|number| (number, number.into(), true)).collect();
    tracker.apply(&cache_events(1, &events));
    let received = unsent(&tracker, requester(1));
    assert!(received.len() < 100, "{} changes on one stream", received.len());
    assert_eq!(received.last(), Some(&(1000, change(1000, true))), "the newest changes are sent");
    assert!(received.is_sorted_by_key(|(number, _)| *number));
    let bytes = received.len() * 17;
    assert!(bytes < 1000, "{bytes} bytes");
}

#[test]
fn wire_form() {
    let text = json!({
        "start": "a1",
        "events": [{"number": 4, "kind": "evicted", "prefix": format!("{:032x}", 77_u128)}],
    });
    let read: CacheEvents = serde_json::from_value(text).unwrap();
    let event = EngineCacheEvent { number: 4, note: change(77, false) };
    assert_eq!(read, CacheEvents { start: json!("a1"), events: vec![event] });
    let unknown = json!({"start": 1, "events": [{"number": 4, "kind": "moved", "prefix": "1"}]});
    assert!(serde_json::from_value::<CacheEvents>(unknown).is_err());
    assert!(serde_json::from_value::<CacheEvents>(Value::Null).is_err());
}

#[test]
fn changes_on_streams() {
    block_on(async {
        let engine = engine(|options| {
            options.cache_lag = Duration::ZERO;
            options.cache_gap_share = 0.0;
        });
        let fleet = TestFleet::start(&engine, TestPlatform::start()).await;
        fleet.ready().await;
        assert_eq!(changes_of(&fleet, 1).await, None, "nothing is cached before the first run");
        let tracker = fleet.role.dispatcher().cache();
        eventually(|| tracker.poll_after() == 1).await;
        let prefix = PrefixDigest::from(prefix_digest(harness::PROMPT));
        let stored = PrefixCacheEvent { prefix, is_stored: true };
        let changes = PrefixCacheUpdate { newest: 1, notes: vec![stored] };
        assert_eq!(changes_of(&fleet, 2).await, Some(changes));
        assert_eq!(changes_of(&fleet, 3).await, None, "sent before");
    });
}

/// The cache changes on the stream of a dispatch that runs to its end.
async fn changes_of(fleet: &TestFleet, number: u64) -> Option<PrefixCacheUpdate> {
    let mut stream = fleet.dispatch(completion(number)).await;
    let mut changes = None;
    loop {
        match stream.next().await.unwrap().unwrap() {
            DispatchEvent::CacheNews(received) => changes = Some(received),
            DispatchEvent::End(_) => return changes,
            _ => {}
        }
    }
}
