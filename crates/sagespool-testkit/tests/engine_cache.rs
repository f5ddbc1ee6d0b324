//! The contract of the fake model engine: cached prefixes and cache events.

#[macro_use]
mod calls;

use std::time::Duration;

use calls::{complete, completion, get, run, within};
use sagespool_testkit::{CacheChange, CacheEvent, FakeEngine, PrefixCounts};

const HOUR: Duration = Duration::from_secs(3600);

#[test]
fn cached_prefix() {
    run(async {
        let engine = engine!(cached_prefixes: 1, prompt_token_time: HOUR, capacity: 2);
        let shared = "dossier ".repeat(32);
        let first = format!("{shared} one");
        engine.set_slow_factor(1e-6);
        complete(engine.address(), &[], &completion(&first, 2))
            .await
            .unwrap()
            .read_to_end()
            .await
            .unwrap();
        engine.set_slow_factor(1.0);
        let fresh = completion("mark:a/1 another dossier", 2);
        let _fresh = complete(engine.address(), &[], &fresh).await.unwrap();
        let second = completion(&format!("{shared} two"), 2);
        let stream = complete(engine.address(), &[], &second).await.unwrap();
        assert_eq!(stream.read_to_end().await.unwrap().len(), 4, "a cached prefix takes no time");
        let runs = engine.run_log().runs_of(&"mark:a/1".parse().unwrap());
        assert_eq!(runs[0].first_at, None, "an uncached prefix takes its time");
    });
}

#[test]
fn prefix_counts() {
    run(async {
        let engine = engine!(cached_prefixes: 1);
        for prompt in ["one", "one", "two", "one", "one"] {
            let stream = complete(engine.address(), &[], &completion(prompt, 1)).await.unwrap();
            stream.read_to_end().await.unwrap();
        }
        assert_eq!(engine.prefix_counts(), PrefixCounts { hits: 2, misses: 3 });
        engine.crash();
        engine.restart().unwrap();
        let stream = complete(engine.address(), &[], &completion("one", 1)).await.unwrap();
        stream.read_to_end().await.unwrap();
        let counts = engine.prefix_counts();
        assert_eq!(counts, PrefixCounts { hits: 2, misses: 4 }, "a crash clears only the cache");
    });
}

async fn cache_events(engine: &FakeEngine, query: &str) -> Vec<CacheEvent> {
    let path = format!("/cache-events?{query}");
    let answer = get(engine.address(), &path).await.expect("an answer").json();
    serde_json::from_value(answer["events"].clone()).expect("events")
}

#[test]
fn cache_feed() {
    let cases = [
        ("all events", Duration::ZERO, 0.0, vec![1, 2, 3, 4, 5]),
        ("late", HOUR, 0.0, vec![]),
        ("lost", Duration::ZERO, 1.0, vec![]),
    ];
    run(async {
        for (name, cache_lag, cache_gap_share, numbers) in cases {
            let engine = engine!(
                cached_prefixes: 1,
                cache_lag: cache_lag,
                cache_gap_share: cache_gap_share,
            );
            for prompt in ["one", "two", "three", "three"] {
                let stream = complete(engine.address(), &[], &completion(prompt, 1)).await.unwrap();
                stream.read_to_end().await.unwrap();
            }
            let events = cache_events(&engine, "after=0").await;
            let found: Vec<_> = events.iter().map(|event| event.number).collect();
            assert_eq!(found, numbers, "{name}");
            if name == "all events" {
                let kinds: Vec<_> = events.iter().map(|event| event.kind).collect();
                let (stored, evicted) = (CacheChange::Stored, CacheChange::Evicted);
                assert_eq!(kinds, [stored, evicted, stored, evicted, stored]);
                assert_eq!(events[0].prefix, events[1].prefix, "evicts the least recently used");
                assert_eq!(cache_events(&engine, "after=4").await, events[4..]);
            }
        }
    });
}

#[test]
fn gapped_feed() {
    run(async {
        let engine = engine!(cached_prefixes: 100, cache_lag: Duration::ZERO, cache_gap_share: 0.5);
        for number in 0..40 {
            let prompt = format!("prompt {number}");
            let stream = complete(engine.address(), &[], &completion(&prompt, 1)).await.unwrap();
            stream.read_to_end().await.unwrap();
        }
        let events = cache_events(&engine, "after=0").await;
        let numbers: Vec<_> = events.iter().map(|event| event.number).collect();
        assert!(numbers.is_sorted_by(|one, next| one < next));
        assert!((1..40).contains(&numbers.len()), "some are lost: {numbers:?}");
        assert!(numbers.last() > Some(&(numbers.len() as u64)), "the numbers show the gaps");
    });
}

#[test]
fn awaited_event() {
    run(async {
        let lag = Duration::from_millis(20);
        let engine = engine!(cache_gap_share: 0.0, cache_lag: lag);
        let asked = cache_events(&engine, "after=0&wait_ms=20000");
        let made = async {
            let stream = complete(engine.address(), &[], &completion("one", 1)).await.unwrap();
            stream.read_to_end().await.unwrap();
        };
        let (events, ()) = within("the event", futures_lite::future::zip(asked, made)).await;
        assert_eq!(events.len(), 1);
    });
}
