//! The contract of the fake weight store.

mod calls;

use std::time::Duration;

use calls::{client, get, post, run, until, url};
use sagespool_testkit::{EngineOptions, FakeEngine, FakeWeightStore, WeightOptions};
use serde_json::json;

const HOUR: Duration = Duration::from_secs(3600);

fn store(burst: u32, interval: Duration) -> FakeWeightStore {
    let options = WeightOptions::builder()
        .load_time(Duration::from_millis(1))
        .burst(burst)
        .interval(interval)
        .build();
    FakeWeightStore::start(options).expect("a port is free")
}

#[test]
fn rate_limit() {
    run(async {
        let store = store(2, HOUR);
        for (model, status) in [("one", 200), ("two", 200), ("three", 429), ("four", 429)] {
            let answer = get(store.address(), &format!("/weights/{model}")).await.unwrap();
            assert_eq!(answer.status, status, "{model}");
        }
        let refused = client().get(url(store.address(), "/weights/five")).await.unwrap();
        let retry_after = refused.response_headers().get_str("retry-after-ms").unwrap();
        let retry_after: u64 = retry_after.parse().unwrap();
        assert!((1..=HOUR.as_millis() as u64 + 1).contains(&retry_after));
        let accepted: Vec<_> = store.fetches().iter().map(|fetch| fetch.accepted).collect();
        assert_eq!(accepted, [true, true, false, false, false]);
    });
}

#[test]
fn rate_returns() {
    run(async {
        let store = store(1, Duration::from_millis(5));
        for _ in 0..200 {
            if store.fetches().iter().filter(|fetch| fetch.accepted).count() == 3 {
                return;
            }
            get(store.address(), "/weights/one").await.unwrap();
        }
        panic!("fewer than three fetches were accepted");
    });
}

#[test]
fn crash_restart() {
    run(async {
        let store = store(9, HOUR);
        store.crash();
        assert!(get(store.address(), "/weights/one").await.is_err(), "the port refuses");
        store.restart().unwrap();
        assert_eq!(get(store.address(), "/weights/one").await.unwrap().status, 200);
    });
}

#[test]
fn engine_load() {
    // An engine that is ordered to load a model while the store is over its rate limit must retry
    // the fetch, and serve the model only once it has the weights.
    run(async {
        let store = store(1, Duration::from_millis(50));
        let options = EngineOptions::builder()
            .name("engine-1".parse().unwrap())
            .models(Vec::new())
            .load_time(Duration::ZERO)
            .weight_store(store.address())
            .build();
        let engine = FakeEngine::start(options).unwrap();
        for (fence, model) in ["one", "two"].into_iter().enumerate() {
            let order = json!({ "fence": fence, "order": { "load_model": model } });
            assert_eq!(post(engine.address(), "/orders", &order).await.unwrap().status, 200);
        }
        until("both are loaded", || engine.current_load().models.len() == 2).await;
        let fetches = store.fetches();
        for model in ["one", "two"] {
            let accepted =
                fetches.iter().filter(|fetch| fetch.accepted && fetch.model == model).count();
            assert_eq!(accepted, 1, "{model}");
        }
    });
}
