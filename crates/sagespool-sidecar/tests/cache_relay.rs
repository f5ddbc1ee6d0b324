//! What askers hear of an engine's prompt cache.

#![allow(clippy::unwrap_used)]

mod bench;

use std::net::SocketAddr;
use std::time::Duration;

use bench::fleet::{PlatformStands, TestFleet};
use bench::{completion, engine, eventually};
use sagespool_messages::{DispatchEvent, PrefixCacheEvent, PrefixCacheUpdate, PrefixDigest};
use sagespool_sidecar::{CacheFeed, CacheRelay, EngineCacheEvent};
use sagespool_testkit::prefix_digest;
use serde_json::{Value, json};
use smol::block_on;

fn asker(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn note(prefix: u128, is_stored: bool) -> PrefixCacheEvent {
    PrefixCacheEvent { prefix: PrefixDigest::from(prefix), is_stored }
}

fn feed(start: u64, events: &[(u64, u128, bool)]) -> CacheFeed {
    let events = events.iter().map(|(number, prefix, is_stored)| EngineCacheEvent {
        number: *number,
        note: note(*prefix, *is_stored),
    });
    CacheFeed { start: json!(start), events: events.collect() }
}

fn told(relay: &CacheRelay, asker: SocketAddr) -> Vec<(u64, PrefixCacheEvent)> {
    relay.news_for(asker).map_or(vec![], |news| news.numbered().collect())
}

#[test]
fn told_once() {
    let relay = CacheRelay::default();
    assert_eq!(relay.news_for(asker(1)), None);
    relay.take(&feed(1, &[(1, 10, true), (3, 11, true)]));
    assert_eq!(relay.ask_after(), 3);
    let both = vec![(1, note(10, true)), (2, note(11, true))];
    assert_eq!(told(&relay, asker(1)), both);
    assert_eq!(told(&relay, asker(1)), []);
    relay.take(&feed(1, &[(3, 11, true), (4, 10, false)]));
    assert_eq!(told(&relay, asker(1)), [(3, note(10, false))]);
    let newest = vec![(2, note(11, true)), (3, note(10, false))];
    assert_eq!(told(&relay, asker(2)), newest, "of one prefix only the newest");
}

#[test]
fn lost_cache() {
    // An engine crashes and starts again with an empty cache, and counts its changes from 1.
    // Entries that still believed its old prefixes cached would go on sending them there, past
    // engines that have them; a sidecar that asked on after the old number would hear nothing.
    let relay = CacheRelay::default();
    relay.take(&feed(1, &[(7, 10, true), (8, 11, false)]));
    told(&relay, asker(1));
    relay.lost_touch();
    assert_eq!(relay.ask_after(), 0);
    relay.take(&feed(2, &[(1, 12, true)]));
    assert_eq!(told(&relay, asker(1)), [(3, note(10, false)), (4, note(12, true))]);
    assert_eq!(relay.ask_after(), 1);
}

#[test]
fn bounded_news() {
    let relay = CacheRelay::default();
    let events: Vec<_> = (1..=1000_u64).map(|number| (number, number.into(), true)).collect();
    relay.take(&feed(1, &events));
    let heard = told(&relay, asker(1));
    assert!(heard.len() < 100, "{} notes on one stream", heard.len());
    assert_eq!(heard.last(), Some(&(1000, note(1000, true))), "the newest are told");
    assert!(heard.is_sorted_by_key(|(number, _)| *number));
    let bytes = heard.len() * 17;
    assert!(bytes < 1000, "{bytes} bytes");
}

#[test]
fn wire_form() {
    let text = json!({
        "start": "a1",
        "events": [{"number": 4, "kind": "evicted", "prefix": format!("{:032x}", 77_u128)}],
    });
    let read: CacheFeed = serde_json::from_value(text).unwrap();
    let event = EngineCacheEvent { number: 4, note: note(77, false) };
    assert_eq!(read, CacheFeed { start: json!("a1"), events: vec![event] });
    let unknown = json!({"start": 1, "events": [{"number": 4, "kind": "moved", "prefix": "1"}]});
    assert!(serde_json::from_value::<CacheFeed>(unknown).is_err());
    assert!(serde_json::from_value::<CacheFeed>(Value::Null).is_err());
}

#[test]
fn news_on_streams() {
    block_on(async {
        let engine = engine(|options| {
            options.cache_lag = Duration::ZERO;
            options.cache_gap_share = 0.0;
        });
        let fleet = TestFleet::start(&engine, PlatformStands::start()).await;
        fleet.ready().await;
        assert_eq!(news_of(&fleet, 1).await, None, "nothing is cached before the first run");
        let relay = fleet.role.dispatcher().cache();
        eventually(|| relay.ask_after() == 1).await;
        let prefix = PrefixDigest::from(prefix_digest(bench::PROMPT));
        let stored = PrefixCacheEvent { prefix, is_stored: true };
        let news = PrefixCacheUpdate { newest: 1, notes: vec![stored] };
        assert_eq!(news_of(&fleet, 2).await, Some(news));
        assert_eq!(news_of(&fleet, 3).await, None, "told before");
    });
}

/// The news on the stream of a dispatch that runs to its end.
async fn news_of(fleet: &TestFleet, number: u64) -> Option<PrefixCacheUpdate> {
    let mut stream = fleet.dispatch(completion(number)).await;
    let mut news = None;
    loop {
        match stream.next().await.unwrap().unwrap() {
            DispatchEvent::CacheNews(told) => news = Some(told),
            DispatchEvent::End(_) => return news,
            _ => {}
        }
    }
}
