//! The contract of the model engine.

mod calls;

use std::time::Duration;

use calls::{
    MODEL, StreamEvent, complete, completion, get, is_held, joined_tokens, post, run, send, until,
    within,
};
use sagespool_testkit::{
    CacheChange, CacheEvent, EngineOptions, EngineStand, PrefixCounts, RunEnd, RunMarker,
    answer_text, prompt_tokens,
};
use sagespool_types::TokenRate;
use serde_json::{Value, json};

const HOUR: Duration = Duration::from_secs(3600);

macro_rules! engine {
    ($($setting:ident: $value:expr),* $(,)?) => {{
        let options = EngineOptions::builder()
            .name("engine-1".parse().unwrap())
            .models(vec![MODEL.parse().unwrap()])
            .first_token_base(Duration::from_millis(1))
            $(.$setting($value))*
            .build();
        EngineStand::start(options).unwrap()
    }};
}

fn with(mut body: Value, name: &str, value: Value) -> Value {
    body[name] = value;
    body
}

fn ends_of(engine: &EngineStand, marker: &str) -> Vec<RunEnd> {
    let marker: RunMarker = marker.parse().expect("a marker");
    let runs = engine.witness().runs_of(&marker);
    runs.iter().filter_map(|run| run.ended).map(|(end, _)| end).collect()
}

#[test]
fn whole_answer() {
    run(async {
        let engine = engine!();
        let prompt = "Compare the bids. mark:ruwi-bids/7";
        let headers = [("x-request-id", "r1"), ("x-attempt", "2")];
        let stream = complete(engine.address(), &headers, &completion(prompt, 40)).await.unwrap();
        let events = stream.rest().await.unwrap();
        assert_eq!(joined_tokens(&events, 0), answer_text(MODEL, prompt, 40));
        let finish = StreamEvent::Finish {
            reason: "length".to_owned(),
            prompt_tokens: prompt_tokens(prompt),
            completion_tokens: 40,
        };
        assert_eq!(events[40..], [finish, StreamEvent::Done]);
        let runs = engine.witness().runs_of(&"mark:ruwi-bids/7".parse().unwrap());
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
        [("no wish", 12, 12, "length"), ("len:5", 12, 5, "stop"), ("len:50", 12, 12, "length")];
    run(async {
        let engine = engine!();
        for (prompt, max_tokens, length, reason) in cases {
            let body = completion(prompt, max_tokens);
            let events =
                complete(engine.address(), &[], &body).await.unwrap().rest().await.unwrap();
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
        assert_eq!(engine.witness().runs(), []);
    });
}

#[test]
fn resumed_answer() {
    // The caller has read some tokens when the engine crashes. The router asks another
    // engine to go on after them. What the caller sees must be the answer of an engine
    // that never crashed, with no word missing or twice.
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
        assert!((3..200).contains(&tokens), "the stream broke in its middle");

        let other = engine!();
        let text = joined_tokens(&events, 0);
        let resume = json!({ "tokens": tokens, "text": text });
        let body = with(completion(prompt, 200), "resume", resume);
        let stream = complete(other.address(), &[], &body).await.unwrap();
        let rest = stream.rest().await.unwrap();
        let whole = text + joined_tokens(&rest, tokens).as_str();
        assert_eq!(whole, answer_text(MODEL, prompt, 200));
        let [run] = &other.witness().runs()[..] else { panic!("one run") };
        assert_eq!(run.start.resumed_from.0, tokens);
        assert_eq!(run.produced.0, 200 - tokens);
    });
}

#[test]
fn priority_order() {
    run(async {
        let engine = engine!(capacity: 1);
        engine.slow_factor(1e6);
        let holder = complete(engine.address(), &[], &completion("mark:a/0", 4)).await.unwrap();
        let mut waiting = Vec::new();
        for (number, priority) in [(1, 50), (2, 10), (3, 50), (4, 0)] {
            let body = completion(&format!("mark:a/{number}"), 4);
            let body = with(body, "priority", json!(priority));
            waiting.push(complete(engine.address(), &[], &body).await.unwrap());
        }
        drop(holder);
        engine.slow_factor(1.0);
        for stream in waiting {
            stream.rest().await.unwrap();
        }
        let runs = engine.witness().runs();
        let order: Vec<_> = runs.iter().flat_map(|run| run.start.marker.clone()).collect();
        let order: Vec<_> = order.iter().map(|marker| marker.number).collect();
        assert_eq!(order, [0, 4, 2, 1, 3]);
    });
}

#[test]
fn full_queue() {
    run(async {
        let engine = engine!(capacity: 1, queue_limit: 1);
        engine.slow_factor(1e6);
        let _running = complete(engine.address(), &[], &completion("one", 4)).await.unwrap();
        let _waiting = complete(engine.address(), &[], &completion("two", 4)).await.unwrap();
        let refusal = complete(engine.address(), &[], &completion("three", 4)).await;
        assert_eq!(refusal.err().expect("the queue is full").status, 429);
        assert_eq!(engine.witness().runs().len(), 1);
    });
}

#[test]
fn cancel_calls() {
    // A caller gives up. Its router cancels the request by its id, perhaps only one attempt.
    // The stream ends and says what was made, and the slot goes to the next.
    let cases = [
        ("the request", "r1", None, true),
        ("its attempt", "r1", Some("1"), true),
        ("another attempt", "r1", Some("2"), false),
        ("another request", "r2", None, false),
    ];
    run(async {
        for (name, request, attempt, cancelled) in cases {
            let engine = engine!(capacity: 1);
            engine.slow_factor(1e6);
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
            let runs = engine.witness().runs();
            assert_eq!(runs.len(), 1 + usize::from(cancelled), "{name}: the next has the slot");
            if cancelled {
                let events = first.rest().await.unwrap();
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
        engine.slow_factor(1e6);
        let _running = complete(engine.address(), &[], &completion("mark:a/1", 4)).await.unwrap();
        let headers = [("x-request-id", "r2")];
        let body = completion("mark:a/2", 4);
        let waiting = complete(engine.address(), &headers, &body).await.unwrap();
        let answer = post(engine.address(), "/v1/requests/r2/cancel", &json!(null)).await.unwrap();
        assert_eq!(answer.json(), json!({ "cancelled": true }));
        waiting.rest().await.unwrap();
        assert_eq!(engine.load_now().waiting, 0);
        assert_eq!(engine.witness().runs().len(), 1, "it never ran");
    });
}

#[test]
fn dropped_stream() {
    // A router dies or gives up without a cancel call: its connection just closes, while the
    // engine writes nothing as the next token is far off. The run must not go on unseen and
    // hold its slot, and one that still waited must never start.
    run(async {
        let engine = engine!(capacity: 1, token_rate: TokenRate(1000));
        let long = completion("mark:a/1", 1_000_000);
        let mut running = complete(engine.address(), &[], &long).await.unwrap();
        running.next().await.unwrap().expect("a first token");
        let waiting = complete(engine.address(), &[], &completion("mark:a/2", 4)).await.unwrap();
        engine.slow_factor(1e9);
        drop(waiting);
        until("the waiting run is gone", || engine.load_now().waiting == 0).await;
        drop(running);
        until("the run is gone", || engine.load_now().running == 0).await;
        assert_eq!(ends_of(&engine, "mark:a/1"), [RunEnd::Dropped]);
        let runs = engine.witness().runs();
        assert_eq!(runs.len(), 1, "the one that waited never ran");
        assert!(runs[0].produced.0 < 1_000_000);
    });
}

#[test]
fn crash_restart() {
    // An engine dies under its streams. Callers must see broken streams, not short answers
    // that look whole; then the port refuses until the engine is back on the same port.
    run(async {
        let engine = engine!(load_lag: Duration::ZERO, cache_gap_share: 0.0);
        let address = engine.address();
        complete(address, &[], &completion("cached", 1)).await.unwrap().rest().await.unwrap();
        let mut running = complete(address, &[], &completion("mark:a/1", 1_000_000)).await.unwrap();
        running.next().await.unwrap().expect("a first token");
        engine.crash();
        running.rest().await.expect_err("the stream breaks");
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
        assert_eq!(joined_tokens(&stream.rest().await.unwrap(), 0), answer_text(MODEL, "again", 3));
    });
}

#[test]
fn poisonous_prompt() {
    // One request crashes each engine that runs it, and takes the streams of others with it.
    // The engine comes back by itself, and the same request crashes it again.
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
            other.rest().await.expect_err("the other stream breaks");
            assert_eq!(ends_of(&engine, "mark:b/1"), vec![RunEnd::Crashed; round]);
            assert_eq!(ends_of(&engine, "mark:a/1"), vec![RunEnd::Crashed; round]);
            until("it is back", || engine.is_serving()).await;
        }
    });
}

#[test]
fn waiting_poison() {
    run(async {
        let engine = engine!(capacity: 1, restart_after: None);
        engine.slow_factor(1e6);
        let running = complete(engine.address(), &[], &completion("one", 4)).await.unwrap();
        let _poison = complete(engine.address(), &[], &completion("poison", 4)).await.unwrap();
        assert!(engine.is_serving(), "it crashes only once the prompt runs");
        drop(running);
        until("it crashed", || !engine.is_serving()).await;
    });
}

#[test]
fn frozen_engine() {
    // A paused engine keeps its connections: calls hang rather than fail, and streams stop.
    // Once it goes on, the streams are whole.
    run(async {
        let engine = engine!(token_rate: TokenRate(1000));
        let body = completion("mark:a/1", 300);
        let mut stream = complete(engine.address(), &[], &body).await.unwrap();
        stream.next().await.unwrap().expect("a first token");
        engine.freeze(true);
        let frozen = engine.witness().runs()[0].produced;
        assert!(is_held(get(engine.address(), "/healthz")).await);
        assert_eq!(engine.witness().runs()[0].produced, frozen);
        engine.freeze(false);
        assert_eq!(get(engine.address(), "/healthz").await.unwrap().status, 200);
        let rest = stream.rest().await.unwrap();
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
        assert_eq!(engine.load_now().tokens_per_second, 500);
        engine.slow_factor(10.0);
        assert_eq!(engine.load_now().tokens_per_second, 50);
    });
}

#[test]
fn lagging_load() {
    run(async {
        for (lag, running, waiting) in [(Duration::ZERO, 1, 1), (HOUR, 0, 0)] {
            let engine = engine!(capacity: 1, load_lag: lag);
            engine.slow_factor(1e6);
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
fn cached_prefix() {
    run(async {
        let engine = engine!(cached_prefixes: 1, prompt_token_time: HOUR, capacity: 2);
        let shared = "dossier ".repeat(32);
        let first = format!("{shared} one");
        engine.slow_factor(1e-6);
        complete(engine.address(), &[], &completion(&first, 2))
            .await
            .unwrap()
            .rest()
            .await
            .unwrap();
        engine.slow_factor(1.0);
        let fresh = completion("mark:a/1 another dossier", 2);
        let _fresh = complete(engine.address(), &[], &fresh).await.unwrap();
        let second = completion(&format!("{shared} two"), 2);
        let stream = complete(engine.address(), &[], &second).await.unwrap();
        assert_eq!(stream.rest().await.unwrap().len(), 4, "its prefix needs no time");
        let runs = engine.witness().runs_of(&"mark:a/1".parse().unwrap());
        assert_eq!(runs[0].first_at, None, "a fresh prefix still takes its time");
    });
}

#[test]
fn broken_streams() {
    // A connection to an engine breaks in the middle of an answer, while the engine itself is
    // well: what it had sent is a true beginning of the answer, nothing closes the stream in
    // good order, and the next run is answered whole.
    run(async {
        let engine = engine!();
        let prompt = "Read the dossier. mark:a/1";
        engine.break_share(1.0);
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

        engine.break_share(0.0);
        let stream = complete(engine.address(), &[], &completion(prompt, 40)).await.unwrap();
        let events = stream.rest().await.unwrap();
        assert_eq!(joined_tokens(&events, 0), answer_text(MODEL, prompt, 40));
    });
}

#[test]
fn prefix_counts() {
    run(async {
        let engine = engine!(cached_prefixes: 1);
        for prompt in ["one", "one", "two", "one", "one"] {
            let stream = complete(engine.address(), &[], &completion(prompt, 1)).await.unwrap();
            stream.rest().await.unwrap();
        }
        assert_eq!(engine.prefix_counts(), PrefixCounts { hits: 2, misses: 3 });
        engine.crash();
        engine.restart().unwrap();
        let stream = complete(engine.address(), &[], &completion("one", 1)).await.unwrap();
        stream.rest().await.unwrap();
        let counts = engine.prefix_counts();
        assert_eq!(counts, PrefixCounts { hits: 2, misses: 4 }, "a crash loses the cache only");
    });
}

async fn cache_events(engine: &EngineStand, query: &str) -> Vec<CacheEvent> {
    let path = format!("/cache-events?{query}");
    let answer = get(engine.address(), &path).await.expect("an answer").json();
    serde_json::from_value(answer["events"].clone()).expect("events")
}

#[test]
fn cache_feed() {
    let cases = [
        ("all of them", Duration::ZERO, 0.0, vec![1, 2, 3, 4, 5]),
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
                stream.rest().await.unwrap();
            }
            let events = cache_events(&engine, "after=0").await;
            let found: Vec<_> = events.iter().map(|event| event.number).collect();
            assert_eq!(found, numbers, "{name}");
            if name == "all of them" {
                let kinds: Vec<_> = events.iter().map(|event| event.kind).collect();
                let (stored, evicted) = (CacheChange::Stored, CacheChange::Evicted);
                assert_eq!(kinds, [stored, evicted, stored, evicted, stored]);
                assert_eq!(events[0].prefix, events[1].prefix, "the least recently used goes");
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
            stream.rest().await.unwrap();
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
            stream.rest().await.unwrap();
        };
        let (events, ()) = within("the event", futures_lite::future::zip(asked, made)).await;
        assert_eq!(events.len(), 1);
    });
}

#[test]
fn fenced_orders() {
    // An order of a former holder arrives after one of the present holder. Engines that
    // honour fencing numbers refuse it, also after a crash; the others carry it out.
    let cases = [(true, 409, "prefill"), (false, 200, "decode")];
    run(async {
        for (honours_fences, status, role) in cases {
            let engine = engine!(honours_fences: honours_fences);
            let address = engine.address();
            let new = json!({ "fence": 7, "order": { "set_role": "prefill" } });
            let old = json!({ "fence": 6, "order": { "set_role": "decode" } });
            assert_eq!(post(address, "/orders", &new).await.unwrap().status, 200);
            assert_eq!(
                post(address, "/orders", &new).await.unwrap().status,
                200,
                "the same number"
            );
            let answer = post(address, "/orders", &old).await.unwrap();
            assert_eq!(answer.status, status);
            if honours_fences {
                assert_eq!(answer.json(), json!({ "newest": 7 }));
            }
            assert_eq!(engine.load_now().role, role);
            engine.crash();
            engine.restart().unwrap();
            assert_eq!(post(address, "/orders", &old).await.unwrap().status, status);
            let taken: Vec<_> = engine.orders().iter().map(|order| order.taken).collect();
            assert_eq!(taken, [true, true, !honours_fences, !honours_fences]);
        }
    });
}

#[test]
fn model_orders() {
    let adapter = json!({ "model": MODEL, "adapter": "letters" });
    let cases = [
        (json!({ "load_model": "sage-small" }), vec![MODEL, "sage-small"]),
        (json!({ "load_adapter": adapter }), vec![MODEL, "sage-small", "sage-large.letters"]),
        (json!({ "unload_model": MODEL }), vec!["sage-small", "sage-large.letters"]),
    ];
    run(async {
        let engine = engine!(load_time: Duration::from_millis(1));
        for (fence, (order, models)) in cases.into_iter().enumerate() {
            let body = json!({ "fence": fence, "order": order });
            assert_eq!(post(engine.address(), "/orders", &body).await.unwrap().status, 200);
            until("the order is carried out", || engine.load_now().models == models).await;
        }
        let refusal = complete(engine.address(), &[], &completion("hello", 1)).await;
        assert_eq!(refusal.err().expect("the model is gone").status, 404);
        let other = with(completion("hello", 1), "model", json!("sage-small"));
        complete(engine.address(), &[], &other).await.unwrap().rest().await.unwrap();
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
            let events = stream.rest().await.unwrap();
            assert_eq!(joined_tokens(&events, 0), answer_text(MODEL, &prompt, 50));
        }
        assert_eq!(engine.witness().runs_by_marker().len(), STREAMS as usize);
    });
}
