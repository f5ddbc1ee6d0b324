//! The contract of the fake model engine: crashes, freezes, slowdown, broken streams.

#[macro_use]
mod calls;

use std::time::Duration;

use calls::{MODEL, complete, completion, get, is_pending, joined_tokens, run, send, until};
use sagespool_testkit::{FakeEngine, RunEnd, RunMarker, answer_text};
use sagespool_types::{TokenCount, TokenRate};
use serde_json::json;

fn ends_of(engine: &FakeEngine, marker: &str) -> Vec<RunEnd> {
    let marker: RunMarker = marker.parse().expect("a marker");
    let runs = engine.run_log().runs_of(&marker);
    runs.iter().filter_map(|run| run.ended).map(|(end, _)| end).collect()
}

#[test]
fn crash_restart() {
    // An engine crashes while it streams. Callers must see broken streams, not short answers that
    // look complete. The port refuses connections until the engine restarts on the same port.
    run(async {
        let engine = engine!(load_lag: Duration::ZERO, cache_gap_share: 0.0);
        let address = engine.address();
        complete(address, &[], &completion("cached", 1))
            .await
            .unwrap()
            .read_to_end()
            .await
            .unwrap();
        let mut running = complete(address, &[], &completion("mark:a/1", 1_000_000)).await.unwrap();
        running.next().await.unwrap().expect("a first token");
        engine.crash();
        running.read_to_end().await.expect_err("the stream breaks");
        assert!(get(address, "/healthz").await.is_err(), "the port refuses");
        assert!(!engine.is_serving());
        assert_eq!(ends_of(&engine, "mark:a/1"), [RunEnd::Crashed]);
        engine.restart().unwrap();
        assert_eq!(engine.address(), address);
        assert_eq!(get(address, "/healthz").await.unwrap().status, 200);
        let load = get(address, "/load").await.unwrap().json();
        assert_eq!((&load["number"], &load["running"]), (&json!(0), &json!(0)));
        assert_eq!(load["start"], json!(2));
        let events = get(address, "/cache-events?after=0").await.unwrap().json();
        assert_eq!(events, json!({ "start": 2, "events": [] }));
        let stream = complete(address, &[], &completion("again", 3)).await.unwrap();
        assert_eq!(
            joined_tokens(&stream.read_to_end().await.unwrap(), 0),
            answer_text(MODEL, "again", 3)
        );
    });
}

#[test]
fn poisonous_prompt() {
    // One request crashes each engine that runs it, which breaks the engine's other streams. The
    // engine restarts automatically, and the same request crashes it again.
    run(async {
        let restart_after = Some(Duration::from_millis(10));
        let engine = engine!(restart_after: restart_after, capacity: 2);
        for round in 1..=2 {
            let long = completion("mark:a/1", 1_000_000);
            let mut other = complete(engine.address(), &[], &long).await.unwrap();
            other.next().await.unwrap().expect("a first token");
            let body = completion("poison mark:b/1", 4).to_string();
            let path = "/v1/chat/completions";
            let poisonous = send("POST", engine.address(), path, &[], &body).await;
            assert!(poisonous.is_err(), "round {round}: its connection breaks");
            other.read_to_end().await.expect_err("the other stream breaks");
            assert_eq!(ends_of(&engine, "mark:b/1"), vec![RunEnd::Crashed; round]);
            assert_eq!(ends_of(&engine, "mark:a/1"), vec![RunEnd::Crashed; round]);
            until("it has restarted", || engine.is_serving()).await;
        }
    });
}

#[test]
fn late_poison() {
    run(async {
        let engine = engine!(token_rate: TokenRate(20), restart_after: None);
        let body = completion("late-poison mark:a/1", 9);
        let mut stream = complete(engine.address(), &[], &body).await.unwrap();
        stream.next().await.unwrap().expect("a first token");
        stream.read_to_end().await.expect_err("the stream breaks");
        until("it crashed", || !engine.is_serving()).await;
        assert_eq!(ends_of(&engine, "mark:a/1"), vec![RunEnd::Crashed]);
        assert_eq!(engine.run_log().runs()[0].produced, TokenCount(2));
    });
}

#[test]
fn waiting_poison() {
    run(async {
        let engine = engine!(capacity: 1, restart_after: None);
        engine.set_slow_factor(1e6);
        let running = complete(engine.address(), &[], &completion("one", 4)).await.unwrap();
        let _poison = complete(engine.address(), &[], &completion("poison", 4)).await.unwrap();
        assert!(engine.is_serving(), "a waiting prompt does not crash it");
        drop(running);
        until("it crashed", || !engine.is_serving()).await;
    });
}

#[test]
fn frozen_engine() {
    // A frozen engine keeps its connections: calls hang rather than fail, and streams stop. After
    // it resumes, the streams are complete.
    run(async {
        let engine = engine!(token_rate: TokenRate(1000));
        let body = completion("mark:a/1", 300);
        let mut stream = complete(engine.address(), &[], &body).await.unwrap();
        stream.next().await.unwrap().expect("a first token");
        engine.set_frozen(true);
        let frozen = engine.run_log().runs()[0].produced;
        assert!(is_pending(get(engine.address(), "/healthz")).await);
        assert_eq!(engine.run_log().runs()[0].produced, frozen);
        engine.set_frozen(false);
        assert_eq!(get(engine.address(), "/healthz").await.unwrap().status, 200);
        let rest = stream.read_to_end().await.unwrap();
        let text = answer_text(MODEL, "mark:a/1", 300);
        assert!(text.ends_with(&joined_tokens(&rest, 1)));
        assert_eq!(rest.len(), 299 + 2);
    });
}

#[test]
fn slowed_engine() {
    run(async {
        let engine = engine!();
        let body = completion("mark:a/1", 1_000_000);
        let mut stream = complete(engine.address(), &[], &body).await.unwrap();
        stream.next().await.unwrap().expect("a first token");
        assert_eq!(engine.current_load().tokens_per_second, 500);
        engine.set_slow_factor(10.0);
        assert_eq!(engine.current_load().tokens_per_second, 50);
    });
}

#[test]
fn broken_streams() {
    // A connection breaks during an answer while the engine is healthy. What was sent is a prefix
    // of the answer, the stream has no clean end, and the next run is answered completely.
    run(async {
        let engine = engine!();
        let prompt = "Read the dossier. mark:a/1";
        engine.set_break_share(1.0);
        let mut stream = complete(engine.address(), &[], &completion(prompt, 40)).await.unwrap();
        let mut events = Vec::new();
        let broke = loop {
            match stream.next().await {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break false,
                Err(_) => break true,
            }
        };
        assert!(broke, "the stream broke");
        let tokens = events.len() as u32;
        assert!(tokens < 40);
        assert_eq!(joined_tokens(&events, 0), answer_text(MODEL, prompt, tokens));
        assert_eq!(ends_of(&engine, "mark:a/1"), [RunEnd::Broken]);

        engine.set_break_share(0.0);
        let stream = complete(engine.address(), &[], &completion(prompt, 40)).await.unwrap();
        let events = stream.read_to_end().await.unwrap();
        assert_eq!(joined_tokens(&events, 0), answer_text(MODEL, prompt, 40));
    });
}
