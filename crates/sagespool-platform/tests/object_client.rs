//! Contract of the client of the object API.

mod support;

use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use sagespool_platform::{
    ObjectChange, ObjectClient, ObjectOptions, StoreCounters, StoreError, StoredObject,
};
use sagespool_types::StoreRevision;
use support::PlatformStep::{Answer, AnswerAndHangUp, HangUp, HangUpInBody, Silence};
use support::{PlatformStep, ScriptedPlatform, done};

const V5: StoreRevision = StoreRevision(5);

#[test]
fn requests_and_responses() {
    smol::block_on(async {
        let platform = ScriptedPlatform::start([
            Answer(200, r#"{"key":"books/7","version":5,"value":[1]}"#, &["x-store-revision: 40"]),
            Answer(404, "", &["x-store-revision: 39"]),
            done(r#"{"version":41}"#),
            done(r#"{"version":42}"#),
            done(r#"{"revision":43,"items":[{"key":"books/7","version":5,"value":[1]}]}"#),
            done(
                r#"{"revision":44,"changes":[{"key":"books/7","version":5,"value":[1]},
                    {"key":"books/8","version":6,"value":null}]}"#,
            ),
        ]);
        let options = ObjectOptions::builder().address(platform.address);
        let client = ObjectClient::new(options.token("secret".to_owned()).build());
        let stored = StoredObject { version: V5, value: vec![1] };

        assert_eq!(client.get("books/7").await, Ok(Some(stored.clone())));
        assert_eq!(client.get::<Vec<u8>>("books/8").await, Ok(None));
        assert_eq!(client.put("books/7", V5, &[2]).await, Ok(StoreRevision(41)));
        assert_eq!(client.delete("books/7", V5).await, Ok(()));
        let listing = client.list("books/").await.unwrap();
        assert_eq!(listing.revision, StoreRevision(43));
        assert_eq!(listing.items, [("books/7".to_owned(), stored)]);
        let changes = client.watch("books/", V5, Duration::from_millis(70)).await.unwrap();
        let change = |key: &str, version, value| {
            let version = StoreRevision(version);
            ObjectChange { key: key.to_owned(), version, value }
        };
        let expected = [change("books/7", 5, Some(vec![1])), change("books/8", 6, None)];
        assert_eq!((changes.revision, changes.changes), (StoreRevision(44), expected.into()));

        assert_eq!(
            platform.lines(),
            [
                "GET /objects/books/7",
                "GET /objects/books/8",
                "PUT /objects/books/7?if_version=5",
                "DELETE /objects/books/7?if_version=5",
                "GET /objects?prefix=books/",
                "GET /watch?prefix=books/&after=5&wait_ms=70",
            ]
        );
        let requests = platform.requests();
        assert_eq!(requests[2].body, "[2]");
        let bearer = "authorization: bearer secret".to_owned();
        assert!(requests.iter().all(|request| request.headers.contains(&bearer)));
        assert_eq!(platform.connections(), 1);
        assert_eq!(client.seen_revision(), StoreRevision(40));
        let counters = StoreCounters { reads: 3, writes: 2, watches: 1, ..Default::default() };
        assert_eq!(client.counters(), counters);
    });
}

#[test]
fn failures_classified() {
    // All kinds of failures of the platform. If a lost response counts as "no effect", a home loses or
    // duplicates a grant; if "no effect" counts as a lost response, it withholds budget. A read never
    // has an effect.
    let malformed = || StoreError::Malformed(String::new());
    let conflict = StoreError::Conflict { present: StoreRevision(9) };
    let limited = |millis| StoreError::RateLimited { retry_after: Duration::from_millis(millis) };
    let refused = |error: StoreError| (error.clone(), error);
    let lost = || (StoreError::Unavailable, StoreError::Uncertain);
    let cases: Vec<(PlatformStep, (StoreError, StoreError))> = vec![
        (Answer(409, r#"{"version":9}"#, &[]), refused(conflict)),
        (Answer(409, "no version", &[]), refused(malformed())),
        (Answer(410, "", &[]), refused(StoreError::HistoryGone)),
        (Answer(413, "", &[]), refused(StoreError::TooLarge)),
        (Answer(429, "", &["retry-after-ms: 70"]), refused(limited(70))),
        (Answer(429, "", &[]), refused(limited(200))),
        (Answer(503, "", &[]), refused(StoreError::Unavailable)),
        (HangUpInBody(503), refused(StoreError::Unavailable)),
        (Answer(400, "bad", &[]), refused(malformed())),
        (Answer(401, "who", &[]), refused(malformed())),
        (Answer(200, r#"{"version":"#, &[]), (malformed(), StoreError::Uncertain)),
        (Answer(200, r#"{"other":1}"#, &[]), (malformed(), StoreError::Uncertain)),
        (Answer(204, "", &[]), lost()),
        (Answer(302, "", &["location: /elsewhere"]), lost()),
        (Answer(500, "", &[]), lost()),
        (Answer(502, "", &[]), lost()),
        (Answer(504, "", &[]), lost()),
        (HangUp, lost()),
        (HangUpInBody(200), lost()),
        (Silence, lost()),
    ];
    smol::block_on(async {
        for (step, (of_read, of_write)) in cases {
            let platform = ScriptedPlatform::start([step.clone()]);
            let timeout = Duration::from_millis(match step {
                Silence => 100,
                _ => 20_000,
            });
            let options = ObjectOptions::builder().address(platform.address);
            let client = ObjectClient::new(options.call_timeout(timeout).build());
            let read = client.get::<u8>("a").await.unwrap_err();
            assert_eq!(without_text(read), without_text(of_read), "reading, {step:?}");
            let written = client.put("a", V5, &1).await.unwrap_err();
            assert_eq!(without_text(written), without_text(of_write.clone()), "writing, {step:?}");
            let deleted = client.delete("a", V5).await.unwrap_err();
            assert_eq!(without_text(deleted), without_text(of_write), "deleting, {step:?}");
        }
    });
}

/// An error without its free text.
fn without_text(error: StoreError) -> StoreError {
    match error {
        StoreError::Malformed(_) => StoreError::Malformed(String::new()),
        other => other,
    }
}

#[test]
fn connection_refused() {
    // The store's process is gone: no call had an effect, not even a write.
    smol::block_on(async {
        // The local port of an open connection is in use, and nothing listens on it.
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let connection = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let address = connection.local_addr().unwrap();
        let client = ObjectClient::new(ObjectOptions::builder().address(address).build());
        assert_eq!(client.get::<u8>("a").await, Err(StoreError::Unavailable));
        assert_eq!(client.put("a", V5, &1).await, Err(StoreError::Unavailable));
        assert_eq!(client.counters().failures, 2);
    });
}

#[test]
fn kept_connection_closed() {
    // The store restarts and closes the clients' idle connections. The next write must use a new
    // connection instead of failing as uncertain on the old one.
    smol::block_on(async {
        let platform = ScriptedPlatform::start([
            AnswerAndHangUp(200, r#"{"version":6}"#),
            done(r#"{"version":7}"#),
        ]);
        let client = platform.client();
        assert_eq!(client.put("a", V5, &1).await, Ok(StoreRevision(6)));
        platform.until_hung_up(1);
        assert_eq!(client.put("a", StoreRevision(6), &2).await, Ok(StoreRevision(7)));
        assert_eq!(platform.connections(), 2);
    });
}

#[test]
fn large_values() {
    // Values of several hundred kilobytes are sent without `Expect: 100-continue`, which a plain
    // server doesn't support: each write would take a second. A value over the store's limit isn't
    // sent at all.
    smol::block_on(async {
        let platform = ScriptedPlatform::start([done(r#"{"version":6}"#)]);
        let client = platform.client();
        let large = "x".repeat(900_000);
        assert_eq!(client.put("a", V5, &large).await, Ok(StoreRevision(6)));
        let too_large = "x".repeat(1_100_000);
        assert_eq!(client.put("a", V5, &too_large).await, Err(StoreError::TooLarge));
        let requests = platform.requests();
        assert_eq!(requests.len(), 1);
        assert!(!requests[0].headers.iter().any(|line| line.starts_with("expect")));
    });
}

#[test]
fn invalid_keys() {
    smol::block_on(async {
        let platform = ScriptedPlatform::start([done("{}")]);
        for key in ["books/../secrets", "a b", "a?b", "a#b", "a%2e", "ä"] {
            let error = platform.client().get::<u8>(key).await.unwrap_err();
            assert!(matches!(error, StoreError::Malformed(_)), "{key}: {error}");
        }
        assert_eq!(platform.requests(), []);
    });
}

/// Guards against an object of another writer that hides all others under its prefix.
#[test]
fn unreadable_objects() {
    smol::block_on(async {
        let platform = ScriptedPlatform::start([
            done(
                r#"{"revision":43,"items":[{"key":"books/6","version":4,"value":"?"},
                    {"key":"books/7","version":5,"value":[1]},{"key":"books/8","version":6}]}"#,
            ),
            done(
                r#"{"revision":44,"changes":[{"key":"books/7","version":7,"value":[2]},
                    {"key":"books/8","version":8,"value":{}},{"key":"books/9","version":9,"value":null}]}"#,
            ),
        ]);
        let client = ObjectClient::new(ObjectOptions::builder().address(platform.address).build());
        let listing = client.list::<Vec<u8>>("books/").await.unwrap();
        let stored = StoredObject { version: V5, value: vec![1] };
        assert_eq!(listing.items, [("books/7".to_owned(), stored)]);
        assert_eq!(listing.unreadable, ["books/6", "books/8"]);
        assert!(listing.complete);
        let changes = client.watch::<Vec<u8>>("books/", V5, Duration::ZERO).await.unwrap();
        let changed: Vec<_> =
            changes.changes.iter().map(|change| (change.key.as_str(), &change.value)).collect();
        assert_eq!(changed, [("books/7", &Some(vec![2])), ("books/9", &None)]);
        assert_eq!(changes.unreadable, ["books/8"]);
    });
}
