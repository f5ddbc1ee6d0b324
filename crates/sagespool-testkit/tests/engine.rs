//! The contract of the fake model engine: answers, queues and cancellation.

#[macro_use]
mod calls;

use std::time::Duration;

use calls::{MODEL, StreamEvent, complete, completion, get, joined_tokens, post, run, send, until};
use sagespool_testkit::{FakeEngine, RunEnd, RunMarker, answer_text, prompt_tokens};
use sagespool_types::TokenRate;
use serde_json::{Value, json};

const HOUR: Duration = Duration::from_secs(3600);

fn with(mut body: Value, name: &str, value: Value) -> Value {
    body[name] = value;
    body
}

fn ends_of(engine: &FakeEngine, marker: &str) -> Vec<RunEnd> {
    let marker: RunMarker = marker.parse().expect("a marker");
    let runs = engine.run_log().runs_of(&marker);
    runs.iter().filter_map(|run| run.ended).map(|(end, _)| end).collect()
}

#[test]
fn whole_answer() {
    run(async {
        let engine = engine!();
        let prompt = "Compare the bids. mark:ruwi-bids/7";
        let headers = [("x-request-id", "r1"), ("x-attempt", "2")];
        let stream = complete(engine.address(), &headers, &completion(prompt, 40)).await.unwrap();
        let events = stream.read_to_end().await.unwrap();
        assert_eq!(joined_tokens(&events, 0), answer_text(MODEL, prompt, 40));
        let finish = StreamEvent::Finish {
            reason: "length".to_owned(),
            prompt_tokens: prompt_tokens(prompt),
            completion_tokens: 40,
        };
        assert_eq!(events[40..], [finish, StreamEvent::Done]);
        let runs = engine.run_log().runs_of(&"mark:ruwi-bids/7".parse().unwrap());
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].start.request.as_deref(), Some("r1"));
        assert_eq!(runs[0].start.attempt.map(|attempt| attempt.0), Some(2));
        assert_eq!(runs[0].start.prompt_tokens.0, prompt_tokens(prompt));
        assert_eq!(runs[0].produced.0, 40);
        assert_eq!(runs[0].ended.map(|(end, _)| end), Some(RunEnd::Finished));
    });
}

#[test]
fn answer_lengths() {
    let cases =
        [("no length", 12, 12, "length"), ("len:5", 12, 5, "stop"), ("len:50", 12, 12, "length")];
    run(async {
        let engine = engine!();
        for (prompt, max_tokens, length, reason) in cases {
            let body = completion(prompt, max_tokens);
            let events =
                complete(engine.address(), &[], &body).await.unwrap().read_to_end().await.unwrap();
            assert_eq!(joined_tokens(&events, 0), answer_text(MODEL, prompt, length), "{prompt}");
            let StreamEvent::Finish { reason: found, .. } = &events[length as usize] else {
                panic!("{prompt}: no finish after {length} tokens");
            };
            assert_eq!(found, reason, "{prompt}");
        }
    });
}

#[test]
fn refused_bodies() {
    let good = completion("hello", 4);
    let resume = json!({ "tokens": 1, "text": " not-its-word" });
    let cases = [
        ("unknown model", with(good.clone(), "model", json!("another")), 404),
        ("no messages", with(good.clone(), "messages", json!(null)), 400),
        ("not streamed", with(good.clone(), "stream", json!(false)), 400),
        ("wrong resume", with(good.clone(), "resume", resume), 400),
    ];
    run(async {
        let engine = engine!();
        for (name, body, status) in cases {
            let refusal = complete(engine.address(), &[], &body).await.err().expect(name);
            assert_eq!(refusal.status, status, "{name}");
        }
        assert_eq!(engine.run_log().runs(), []);
    });
}

#[test]
fn resumed_answer() {
    // The engine crashes after the caller has read some tokens, and the router resumes the answer
    // at another engine. The joined text must equal that of an engine that did not crash, with no
    // token missing or duplicated.
    run(async {
        let prompt = "Draft the letter.";
        let slow = engine!(token_rate: TokenRate(200));
        let mut stream = complete(slow.address(), &[], &completion(prompt, 200)).await.unwrap();
        let mut events = Vec::new();
        for _ in 0..3 {
            events.extend(stream.next().await.unwrap());
        }
        slow.crash();
        while let Ok(Some(event)) = stream.next().await {
            events.push(event);
        }
        let tokens = events.len() as u64;
        assert!((3..200).contains(&tokens), "the stream broke before its end");

        let other = engine!();
        let text = joined_tokens(&events, 0);
        let resume = json!({ "tokens": tokens, "text": text });
        let body = with(completion(prompt, 200), "resume", resume);
        let stream = complete(other.address(), &[], &body).await.unwrap();
        let rest = stream.read_to_end().await.unwrap();
        let whole = text + joined_tokens(&rest, tokens).as_str();
        assert_eq!(whole, answer_text(MODEL, prompt, 200));
        let [run] = &other.run_log().runs()[..] else { panic!("one run") };
        assert_eq!(run.start.resumed_from.0, tokens);
        assert_eq!(run.produced.0, 200 - tokens);
    });
}

#[test]
fn priority_order() {
    run(async {
        let engine = engine!(capacity: 1);
        engine.set_slow_factor(1e6);
        let slot_holder =
            complete(engine.address(), &[], &completion("mark:a/0", 4)).await.unwrap();
        let mut waiting = Vec::new();
        for (number, priority) in [(1, 50), (2, 10), (3, 50), (4, 0)] {
            let body = completion(&format!("mark:a/{number}"), 4);
            let body = with(body, "priority", json!(priority));
            waiting.push(complete(engine.address(), &[], &body).await.unwrap());
        }
        drop(slot_holder);
        engine.set_slow_factor(1.0);
        for stream in waiting {
            stream.read_to_end().await.unwrap();
        }
        let runs = engine.run_log().runs();
        let order: Vec<_> = runs.iter().flat_map(|run| run.start.marker.clone()).collect();
        let order: Vec<_> = order.iter().map(|marker| marker.number).collect();
        assert_eq!(order, [0, 4, 2, 1, 3]);
    });
}

#[test]
fn full_queue() {
    run(async {
        let engine = engine!(capacity: 1, queue_limit: 1);
        engine.set_slow_factor(1e6);
        let _running = complete(engine.address(), &[], &completion("one", 4)).await.unwrap();
        let _waiting = complete(engine.address(), &[], &completion("two", 4)).await.unwrap();
        let refusal = complete(engine.address(), &[], &completion("three", 4)).await;
        assert_eq!(refusal.err().expect("the queue is full").status, 429);
        assert_eq!(engine.run_log().runs().len(), 1);
    });
}

#[test]
fn cancel_calls() {
    // A caller disconnects, and its router cancels the request by id, or only one attempt. The
    // stream ends with the count of produced tokens, and the slot is free for the next request.
    let cases = [
        ("the request", "r1", None, true),
        ("its attempt", "r1", Some("1"), true),
        ("another attempt", "r1", Some("2"), false),
        ("another request", "r2", None, false),
    ];
    run(async {
        for (name, request, attempt, cancelled) in cases {
            let engine = engine!(capacity: 1);
            engine.set_slow_factor(1e6);
            let headers = [("x-request-id", "r1"), ("x-attempt", "1")];
            let body = completion("mark:a/1", 4);
            let first = complete(engine.address(), &headers, &body).await.unwrap();
            let body = completion("mark:a/2", 4);
            let _next = complete(engine.address(), &[], &body).await.unwrap();
            let headers: Vec<_> =
                attempt.map(|attempt| ("x-attempt", attempt)).into_iter().collect();
            let path = format!("/v1/requests/{request}/cancel");
            let answer = send("POST", engine.address(), &path, &headers, "").await.unwrap();
            assert_eq!(answer.json(), json!({ "cancelled": cancelled }), "{name}");
            let runs = engine.run_log().runs();
            assert_eq!(runs.len(), 1 + usize::from(cancelled), "{name}: the next got the slot");
            if cancelled {
                let events = first.read_to_end().await.unwrap();
                let finish = StreamEvent::Finish {
                    reason: "cancelled".to_owned(),
                    prompt_tokens: 2,
                    completion_tokens: 0,
                };
                assert_eq!(events, [finish, StreamEvent::Done], "{name}");
                assert_eq!(ends_of(&engine, "mark:a/1"), [RunEnd::Cancelled], "{name}");
            }
        }
    });
}

#[test]
fn cancel_waiting() {
    run(async {
        let engine = engine!(capacity: 1);
        engine.set_slow_factor(1e6);
        let _running = complete(engine.address(), &[], &completion("mark:a/1", 4)).await.unwrap();
        let headers = [("x-request-id", "r2")];
        let body = completion("mark:a/2", 4);
        let waiting = complete(engine.address(), &headers, &body).await.unwrap();
        let answer = post(engine.address(), "/v1/requests/r2/cancel", &json!(null)).await.unwrap();
        assert_eq!(answer.json(), json!({ "cancelled": true }));
        waiting.read_to_end().await.unwrap();
        assert_eq!(engine.current_load().waiting, 0);
        assert_eq!(engine.run_log().runs().len(), 1, "it never ran");
    });
}

#[test]
fn dropped_stream() {
    // A router closes its connection without a cancel call while the engine writes nothing, since
    // the next token is not due. The run must end and free its slot, and a waiting request whose
    // connection closed must never start.
    run(async {
        let engine = engine!(capacity: 1, token_rate: TokenRate(1000));
        let long = completion("mark:a/1", 1_000_000);
        let mut running = complete(engine.address(), &[], &long).await.unwrap();
        running.next().await.unwrap().expect("a first token");
        let waiting = complete(engine.address(), &[], &completion("mark:a/2", 4)).await.unwrap();
        engine.set_slow_factor(1e9);
        drop(waiting);
        until("the waiting run is removed", || engine.current_load().waiting == 0).await;
        drop(running);
        until("the run has ended", || engine.current_load().running == 0).await;
        assert_eq!(ends_of(&engine, "mark:a/1"), [RunEnd::Dropped]);
        let runs = engine.run_log().runs();
        assert_eq!(runs.len(), 1, "the waiting one never ran");
        assert!(runs[0].produced.0 < 1_000_000);
    });
}

#[test]
fn lagging_load() {
    run(async {
        for (lag, running, waiting) in [(Duration::ZERO, 1, 1), (HOUR, 0, 0)] {
            let engine = engine!(capacity: 1, load_lag: lag);
            engine.set_slow_factor(1e6);
            let one = complete(engine.address(), &[], &completion("one", 4)).await.unwrap();
            let two = complete(engine.address(), &[], &completion("two", 4)).await.unwrap();
            let load = get(engine.address(), "/load").await.unwrap().json();
            assert_eq!(load["running"], json!(running), "lag {lag:?}");
            assert_eq!(load["waiting"], json!(waiting), "lag {lag:?}");
            assert_eq!(load["capacity"], json!(1));
            assert_eq!(load["models"], json!([MODEL]));
            assert_eq!(load["role"], json!("any"));
            drop((one, two));
        }
    });
}

#[test]
fn many_streams() {
    const STREAMS: u32 = 1000;
    run(async {
        let engine = engine!(capacity: STREAMS as usize);
        let mut streams = Vec::new();
        for number in 0..STREAMS {
            let prompt = format!("mark:a/{number}");
            let stream = complete(engine.address(), &[], &completion(&prompt, 50)).await.unwrap();
            streams.push((prompt, stream));
        }
        for (prompt, stream) in streams {
            let events = stream.read_to_end().await.unwrap();
            assert_eq!(joined_tokens(&events, 0), answer_text(MODEL, &prompt, 50));
        }
        assert_eq!(engine.run_log().runs_by_marker().len(), STREAMS as usize);
    });
}
