//! The contract of the fake object store, without faults and under each fault.

mod http_calls;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use http_calls::{CallAnswer, call, try_call, until};
use sagespool_testkit::{FakeObjectStore, ObjectStoreOptions, StoreFaults};
use sagespool_types::{RequestRate, StoreRevision};
use serde_json::{Value, json};
use smol::block_on;
use trillium_client::Method::{self, Delete, Get, Put};

fn start() -> FakeObjectStore {
    FakeObjectStore::start(ObjectStoreOptions::builder().build()).expect("it starts")
}

fn number_header(answer: &CallAnswer, name: &'static str) -> Option<u64> {
    answer.headers.get_str(name)?.parse().ok()
}

async fn put(store: &FakeObjectStore, target: &str, value: &Value) -> u16 {
    call(store.address(), Put, &format!("/objects/{target}"), value.to_string()).await.status
}

#[test]
fn conditional_writes() {
    let store = start();
    // Method, target, status, version in the answer, store revision after the call.
    let steps: &[(Method, &str, u16, Option<u64>, u64)] = &[
        (Put, "/objects/books/7?if_version=1", 409, Some(0), 0),
        (Put, "/objects/books/7?if_version=0", 200, Some(1), 1),
        (Put, "/objects/books/7?if_version=0", 409, Some(1), 1),
        (Put, "/objects/books/8", 200, Some(2), 2),
        (Put, "/objects/books/7?if_version=1", 200, Some(3), 3),
        (Put, "/objects/books/7?if_version=1", 409, Some(3), 3),
        (Get, "/objects/books/7", 200, Some(3), 3),
        (Delete, "/objects/books/7?if_version=1", 409, Some(3), 3),
        (Delete, "/objects/books/7?if_version=3", 200, Some(4), 4),
        (Delete, "/objects/books/7", 404, None, 4),
        (Get, "/objects/books/7", 404, None, 4),
        (Put, "/objects/books/7", 200, Some(5), 5),
        (Delete, "/objects/books/7", 200, Some(6), 6),
    ];
    block_on(async {
        for (step, (method, target, status, version, revision)) in steps.iter().enumerate() {
            let body = if *method == Put { "{\"step\":1}" } else { "" };
            let answer = call(store.address(), *method, target, body).await;
            assert_eq!(answer.status, *status, "step {step}: {method} {target}");
            assert_eq!(answer.body["version"].as_u64(), *version, "step {step}");
            assert_eq!(number_header(&answer, "x-store-revision"), Some(*revision), "step {step}");
        }
    });
    assert_eq!(store.counts().conflicts, 4);
    let written: Vec<_> = store.writes().into_iter().map(|write| write.revision.0).collect();
    assert_eq!(written, [1, 2, 3, 4, 5, 6]);
}

#[test]
fn invalid_calls() {
    let store = start();
    let over_limit = format!("\"{}\"", "x".repeat(1_000_000));
    let at_limit = format!("\"{}\"", "x".repeat(999_998));
    let long_key = format!("/objects/{}", "k".repeat(300));
    let cases: &[(Method, &str, &str, u16)] = &[
        (Put, "/objects/a", "not json", 400),
        (Put, "/objects/a", "", 400),
        (Put, "/objects/a", "{} {}", 400),
        (Put, "/objects/a?if_version=x", "{}", 400),
        (Put, "/objects/a//b", "{}", 400),
        (Put, "/objects/a%20b", "{}", 400),
        (Put, &long_key, "{}", 400),
        (Put, "/objects/a", &over_limit, 413),
        (Put, "/objects/a", &at_limit, 200),
        (Delete, "/objects/a?if_version=-1", "", 400),
        (Get, "/objects", "", 400),
        (Get, "/watch?after=0&wait_ms=0", "", 400),
        (Get, "/watch?prefix=a&wait_ms=0", "", 400),
        (Get, "/watch?prefix=a&after=0", "", 400),
        (Get, "/watch?prefix=a&after=0&wait_ms=soon", "", 400),
        (Get, "/objects/none", "", 404),
        (Get, "/elsewhere", "", 404),
    ];
    block_on(async {
        for (method, target, body, status) in cases {
            let answer = call(store.address(), *method, target, *body).await;
            assert_eq!(answer.status, *status, "{method} {target}");
        }
    });
    assert_eq!(store.writes().len(), 1);
}

#[test]
fn prefix_listing() {
    let store = start();
    block_on(async {
        for key in ["books/7", "books/10", "booksellers/1", "claims/1", "books/9"] {
            put(&store, key, &json!({ "key": key })).await;
        }
        for target in ["/objects?prefix=books/", "/objects?prefix=books%2F"] {
            let answer = call(store.address(), Get, target, "").await;
            let expected = json!({"revision": 5, "items": [
                {"key": "books/10", "version": 2, "value": {"key": "books/10"}},
                {"key": "books/7", "version": 1, "value": {"key": "books/7"}},
                {"key": "books/9", "version": 5, "value": {"key": "books/9"}},
            ]});
            assert_eq!((answer.status, answer.body), (200, expected), "{target}");
        }
    });
    let held: Vec<_> = store.objects().iter().map(|object| object.key.to_string()).collect();
    assert_eq!(held, ["books/10", "books/7", "books/9", "booksellers/1", "claims/1"]);
}

#[test]
fn watch_changes() {
    let store = start();
    block_on(async {
        for (key, value) in [("a/1", 1), ("a/2", 2), ("b/1", 3), ("a/1", 4)] {
            put(&store, key, &json!(value)).await;
        }
        call(store.address(), Delete, "/objects/a/2", "").await;
        let cases = [
            ("prefix=a/&after=0", json!([[4, "a/1", 4], [5, "a/2", null]])),
            ("prefix=a/&after=4", json!([[5, "a/2", null]])),
            ("prefix=a/&after=5", json!([])),
            ("prefix=b/&after=0", json!([[3, "b/1", 3]])),
            ("prefix=&after=2", json!([[3, "b/1", 3], [4, "a/1", 4], [5, "a/2", null]])),
        ];
        for (query, expected) in cases {
            let target = format!("/watch?{query}&wait_ms=0");
            let answer = call(store.address(), Get, &target, "").await;
            let changes = answer.body["changes"].as_array().expect("an array").iter();
            let seen: Value = changes
                .map(|change| json!([change["version"], change["key"], change["value"]]))
                .collect();
            assert_eq!((answer.status, &answer.body["revision"]), (200, &json!(5)), "{query}");
            assert_eq!(seen, expected, "{query}");
        }
    });
}

#[test]
fn waiting_watch() {
    let store = start();
    let address = store.address();
    block_on(async {
        let target = "/watch?prefix=a/&after=0&wait_ms=60000";
        let watch = smol::spawn(call(address, Get, target, ""));
        until("the watch waits", || store.counts().waiting_watches == 1).await;
        put(&store, "b/1", &json!(1)).await;
        put(&store, "a/1", &json!(2)).await;
        let expected =
            json!({"revision": 2, "changes": [{"key": "a/1", "version": 2, "value": 2}]});
        assert_eq!(watch.await.body, expected);
        until("no watch waits", || store.counts().waiting_watches == 0).await;
        assert_eq!(store.counts().most_waiting_watches, 1);
    });
}

#[test]
fn truncated_history() {
    // A process that was partitioned for long watches from a revision that the store's history no
    // longer covers. An empty answer would leave it with an old configuration permanently, so the
    // status 410 must make it list everything again.
    let options = ObjectStoreOptions::builder().history_limit(3).build();
    let store = FakeObjectStore::start(options).expect("it starts");
    block_on(async {
        for value in 1..=5 {
            put(&store, "a", &json!(value)).await;
        }
        for (after, status) in [(0, 410), (1, 410), (2, 200), (5, 200)] {
            // No change matches the prefix, but that cannot be determined without the history.
            let target = format!("/watch?prefix=zzz&after={after}&wait_ms=0");
            let answer = call(store.address(), Get, &target, "").await;
            assert_eq!(answer.status, status, "after {after}");
        }
    });
}

#[test]
fn fault_table() {
    let none = StoreFaults::default;
    let stopped = Some(RequestRate(0));
    // Name, faults, the status of a put, a get and a watch (none: the connection breaks), and
    // whether the put is applied.
    type Case = (&'static str, StoreFaults, [Option<u16>; 3], bool);
    let cases: [Case; 7] = [
        ("nothing", none(), [Some(200); 3], true),
        ("outage", StoreFaults { outage: true, ..none() }, [Some(503); 3], false),
        ("slow", StoreFaults { delay: Duration::from_millis(5), ..none() }, [Some(200); 3], true),
        ("calls lost", StoreFaults { lose_call_share: 1.0, ..none() }, [None; 3], false),
        (
            "answers lost",
            StoreFaults { lose_answer_share: 1.0, ..none() },
            [None, Some(200), Some(200)],
            true,
        ),
        (
            "over the write rate",
            StoreFaults { writes_per_second: stopped, ..none() },
            [Some(429), Some(200), Some(200)],
            false,
        ),
        (
            "over the read rate",
            StoreFaults { reads_per_second: stopped, ..none() },
            [Some(200), Some(429), Some(429)],
            true,
        ),
    ];
    let calls = [
        (Put, "/objects/a", "2"),
        (Get, "/objects/a", ""),
        (Get, "/watch?prefix=a&after=0&wait_ms=0", ""),
    ];
    for (name, faults, statuses, effect) in cases {
        let store = start();
        block_on(async {
            put(&store, "a", &json!(1)).await;
            store.set_faults(faults);
            for ((method, target, body), status) in calls.into_iter().zip(statuses) {
                let answer = try_call(store.address(), method, target, body).await;
                let seen = answer.as_ref().ok().map(|answer| answer.status);
                assert_eq!(seen, status, "{name}: {method} {target}");
                let Ok(answer) = answer else { continue };
                assert!(number_header(&answer, "x-store-revision").is_some(), "{name}: {target}");
                let retry = number_header(&answer, "retry-after-ms");
                assert_eq!(retry.is_some(), status == Some(429), "{name}: {target}");
            }
        });
        let revision = if effect { StoreRevision(2) } else { StoreRevision(1) };
        assert_eq!(store.revision(), revision, "{name}");
        assert_eq!(store.writes().len() as u64, revision.0, "{name}");
        let held: u64 = store.object("a").expect("it exists").parse().expect("a number");
        assert_eq!(held, revision.0, "{name}");
    }
}

#[test]
fn lost_answer() {
    // The store applies a write and breaks the connection before the first byte of the answer. The
    // caller must get no hint of the outcome: neither a status line nor a body.
    let store = start();
    store.set_faults(StoreFaults::builder().lose_answer_share(1.0).build());
    let mut stream = TcpStream::connect(store.address()).expect("it accepts");
    let call = "PUT /objects/a HTTP/1.1\r\nhost: store\r\ncontent-length: 1\r\n\r\n1";
    stream.write_all(call.as_bytes()).expect("the call is sent");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert_eq!(String::from_utf8_lossy(&answer), "");
    assert_eq!(store.revision(), StoreRevision(1));
    assert_eq!(store.counts().lost_answers, 1);
}

#[test]
fn caller_disconnect() {
    // A caller closes its connection before a slow store answers. Its write is still applied later:
    // a caller's timeout does not undo a write.
    let store = start();
    store.set_faults(StoreFaults::builder().delay(Duration::from_millis(300)).build());
    let mut stream = TcpStream::connect(store.address()).expect("it accepts");
    let call = "PUT /objects/a HTTP/1.1\r\nhost: store\r\ncontent-length: 1\r\n\r\n1";
    stream.write_all(call.as_bytes()).expect("the call is sent");
    block_on(async {
        until("the store has received the call", || store.counts().puts == 1).await;
        assert_eq!(store.revision(), StoreRevision::ZERO);
        drop(stream);
        until("the write is applied", || store.revision() == StoreRevision(1)).await;
    });
}

#[test]
fn watcher_disconnect() {
    // A watching process is killed. Its watch must no longer count as waiting, or the count exceeds
    // the fleet's actual watches.
    let store = start();
    let mut stream = TcpStream::connect(store.address()).expect("it accepts");
    let call = "GET /watch?prefix=a&after=0&wait_ms=60000 HTTP/1.1\r\nhost: store\r\n\r\n";
    stream.write_all(call.as_bytes()).expect("the call is sent");
    block_on(async {
        until("the watch waits", || store.counts().waiting_watches == 1).await;
        drop(stream);
        until("no watch waits", || store.counts().waiting_watches == 0).await;
    });
}

#[test]
fn outage_ends_watches() {
    let store = start();
    let address = store.address();
    block_on(async {
        let watch = smol::spawn(call(address, Get, "/watch?prefix=a&after=0&wait_ms=60000", ""));
        until("the watch waits", || store.counts().waiting_watches == 1).await;
        store.set_faults(StoreFaults::builder().outage(true).build());
        assert_eq!(watch.await.status, 503);
        store.set_faults(StoreFaults::default());
        assert_eq!(put(&store, "a", &json!(1)).await, 200);
    });
}

#[test]
fn rate_limits() {
    let store = start();
    let one = RequestRate(1);
    store.set_faults(StoreFaults::builder().writes_per_second(one).build());
    block_on(async {
        let mut applied = 0;
        let mut refused = 0;
        for value in 0..20 {
            let answer = call(store.address(), Put, "/objects/a", value.to_string()).await;
            let retry = number_header(&answer, "retry-after-ms");
            match answer.status {
                200 => applied += 1,
                429 => refused += usize::from(retry.is_some_and(|ms| (1..=1001).contains(&ms))),
                status => panic!("status {status}"),
            }
        }
        assert!(applied >= 1 && refused >= 1, "{applied} applied, {refused} refused");
        assert_eq!(applied + refused, 20);
        assert_eq!(store.writes().len(), applied);
        assert_eq!(store.counts().over_rate, refused as u64);
    });
}

#[test]
fn graceful_stop() {
    // The store is stopped while clients have idle connections and a watch waits: the stop must
    // wait for neither.
    let store = start();
    let address = store.address();
    let _unused = TcpStream::connect(address).expect("it accepts");
    let mut idle = TcpStream::connect(address).expect("it accepts");
    idle.write_all(b"GET /objects/a HTTP/1.1\r\nhost: store\r\n\r\n").expect("it is sent");
    idle.read_exact(&mut [0; 12]).expect("it is answered");
    block_on(async {
        let watch = smol::spawn(call(address, Get, "/watch?prefix=a&after=0&wait_ms=60000", ""));
        until("the watch waits", || store.counts().waiting_watches == 1).await;
        store.stop().await;
        assert_eq!(watch.await.status, 503);
        assert!(TcpStream::connect(address).is_err());
    });
}
