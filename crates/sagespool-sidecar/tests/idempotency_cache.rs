//! Idempotency keys, cached answers and fences.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use sagespool_messages::{AttachRequest, DispatchEnd, DispatchEvent, KeyRequest, KeyState};
use sagespool_sidecar::{
    AnswerLog, IdempotencyCache, KeyAdmission, KeyRefusal, KeyRetention, KeyedAttempt, KeyedOutcome,
};
use sagespool_types::{
    AttemptNumber, ByteCount, ClockTime, ContentDigest, IncarnationId, KeyDigest, RequestId,
};
use smol::future::poll_once;

const SIDECAR: IncarnationId = IncarnationId(1);
const NOW: ClockTime = ClockTime::from_millis(1000);
const RETENTION: KeyRetention =
    KeyRetention { answers: Duration::from_secs(60), keys: Duration::from_secs(600) };

/// One answer of about 4,000 bytes in each shard.
const CAPACITY: ByteCount = ByteCount(16 * 4096);

fn cache() -> IdempotencyCache {
    IdempotencyCache::new(SIDECAR, CAPACITY, RETENTION)
}

fn keyed(request: u128, non_idempotent: bool) -> KeyedAttempt {
    KeyedAttempt {
        key: KeyDigest(5),
        request: RequestId(request),
        attempt: AttemptNumber(1),
        content: ContentDigest(50),
        non_idempotent,
    }
}

fn piece(data: &str) -> DispatchEvent {
    DispatchEvent::Piece { at: 0, tokens: 1, data: data.into() }
}

fn end() -> DispatchEvent {
    DispatchEvent::End(DispatchEnd::Cancelled { ran: None })
}

fn attach(cache: &IdempotencyCache, content: u128) -> Result<Arc<AnswerLog>, KeyRefusal> {
    cache.attach(&AttachRequest {
        request: RequestId(99),
        key: KeyDigest(5),
        content: ContentDigest(content),
        time_left: Duration::from_secs(1),
    })
}

fn find(cache: &IdempotencyCache, fence: Option<u128>) -> Option<KeyState> {
    let service = "sage-core".parse().unwrap();
    let fence = fence.map(RequestId);
    cache.find(&KeyRequest { service, key: KeyDigest(5), fence }, NOW).known
}

/// Runs a keyed attempt to its end, with an answer of `bytes`.
fn run(cache: &IdempotencyCache, keyed: &KeyedAttempt, bytes: usize, outcome: KeyedOutcome) {
    let log = AnswerLog::new(cache.max_answer_bytes());
    assert!(matches!(cache.admit(keyed, &log), KeyAdmission::Admitted));
    log.push(piece(&"x".repeat(bytes)));
    cache.end_attempt(keyed, outcome, NOW);
    log.push(end());
}

// An entry crashes in the middle of an answer. Callers reconnect with the key
// through other entries, while the request runs and after its end. Each must get
// the whole answer from its beginning.
#[test]
fn attach_from_start() {
    let cache = cache();
    let log = AnswerLog::new(cache.max_answer_bytes());
    cache.admit(&keyed(1, false), &log);
    log.push(piece("Bid "));

    let readers = [attach(&cache, 50).unwrap(), attach(&cache, 50).unwrap()];
    let mut readers = readers.map(|log| log.reader().unwrap());
    log.push(piece("open"));
    cache.end_attempt(&keyed(1, false), KeyedOutcome::Whole, NOW);
    log.push(end());
    let late = attach(&cache, 50).unwrap().reader().unwrap();

    for reader in readers.iter_mut().chain([late].iter_mut()) {
        let mut events = Vec::new();
        while let Some(event) = smol::block_on(reader.next()) {
            events.push(event.as_ref().clone());
        }
        assert_eq!(events, [piece("Bid "), piece("open"), end()]);
    }
}

// Two requests with the same key have different content. Neither may get the
// other's answer.
#[test]
fn other_content() {
    let cache = cache();
    run(&cache, &keyed(1, false), 10, KeyedOutcome::Whole);
    assert_eq!(attach(&cache, 51).unwrap_err(), KeyRefusal::OtherContent);
    let other = KeyedAttempt { content: ContentDigest(51), ..keyed(2, false) };
    let admission = cache.admit(&other, &AnswerLog::new(ByteCount(1)));
    assert!(matches!(admission, KeyAdmission::Refused(KeyRefusal::OtherContent)));
}

// A non-idempotent request ran, and its answer is gone: too large, incomplete,
// evicted or expired. When the caller retries, the request must not run again and
// must not be reported as not run.
#[test]
fn dropped_answer() {
    let cases: [(&str, usize, KeyedOutcome, bool); 4] = [
        ("too large", 5000, KeyedOutcome::Whole, false),
        ("incomplete", 10, KeyedOutcome::MayHaveRun, false),
        ("evicted", 3500, KeyedOutcome::Whole, true),
        ("expired", 10, KeyedOutcome::Whole, false),
    ];
    for (case, bytes, outcome, evict) in cases {
        let cache = cache();
        run(&cache, &keyed(1, true), bytes, outcome);
        if evict {
            evict_others(&cache);
        }
        cache.expire(NOW.after(RETENTION.answers));
        let request = RequestId(1);
        assert_eq!(find(&cache, Some(2)), Some(KeyState::Unknown { request }), "{case}");
        let refusal = KeyRefusal::AnswerLost { request };
        assert_eq!(attach(&cache, 50).unwrap_err(), refusal, "{case}");
        let admission = cache.admit(&keyed(2, true), &AnswerLog::new(ByteCount(1)));
        assert!(
            matches!(admission, KeyAdmission::Refused(KeyRefusal::AnswerLost { .. })),
            "{case}"
        );

        cache.expire(NOW.after(RETENTION.keys));
        assert_eq!(find(&cache, None), None, "{case}");
    }
}

/// Adds answers of other keys until every shard has evicted some.
fn evict_others(cache: &IdempotencyCache) {
    for key in 100..400 {
        run(
            cache,
            &KeyedAttempt { key: KeyDigest(key), ..keyed(key, false) },
            3500,
            KeyedOutcome::Whole,
        );
    }
    assert!(cache.evicted_count() >= 280);
}

// An idempotent request fails with its upstream, or a request never started. Its
// retry must be admitted.
#[test]
fn retry_admitted() {
    for (outcome, non_idempotent) in [
        (KeyedOutcome::MayHaveRun, false),
        (KeyedOutcome::NotRun, false),
        (KeyedOutcome::NotRun, true),
    ] {
        let cache = cache();
        run(&cache, &keyed(1, non_idempotent), 10, outcome);
        let admission = cache.admit(&keyed(2, non_idempotent), &AnswerLog::new(ByteCount(1)));
        assert!(matches!(admission, KeyAdmission::Admitted), "{outcome:?}");
    }
}

// A home is told that a request did not run here and starts a retry elsewhere.
// The first dispatch, delayed in transit, then arrives. It must be refused, or
// the request would run twice.
#[test]
fn fenced_request() {
    let cache = cache();
    assert_eq!(find(&cache, Some(1)), None);
    let admission = cache.admit(&keyed(1, true), &AnswerLog::new(ByteCount(1)));
    assert!(matches!(admission, KeyAdmission::Refused(KeyRefusal::Fenced)));
    let admission = cache.admit(&keyed(2, true), &AnswerLog::new(ByteCount(1)));
    assert!(matches!(admission, KeyAdmission::Admitted), "another request may run");
    assert!(matches!(find(&cache, Some(2)), Some(KeyState::At { sidecar: SIDECAR, .. })));
}

// A caller resumes an answer whose first tokens it has from another run. If the
// text of the two runs differs, resuming would mix two answers.
#[test]
fn resumed_text() {
    let log = AnswerLog::new(ByteCount(1 << 20));
    for (at, text) in ["Your ", "bid ", "is ", "in."].into_iter().enumerate() {
        log.push(DispatchEvent::Piece { at: at as u32, tokens: 1, data: text.into() });
    }
    let mut reader = log.resume_reader(2, "Your bid ").unwrap();
    let next = smol::block_on(reader.next()).unwrap();
    assert!(matches!(next.as_ref(), DispatchEvent::Piece { at: 2, .. }));
    assert!(log.resume_reader(2, "Your bed ").is_none());
    assert!(log.resume_reader(2, "Your bid is ").is_none());
    assert!(log.resume_reader(9, "Your bid is in.").is_none());
}

// A service streams a large body to a slow caller. Without backpressure the
// sidecar would hold all of it in memory.
#[test]
fn slow_reader() {
    let has_room = |log: &AnswerLog| smol::block_on(poll_once(log.wait_for_room())).is_some();
    for (case, longest) in [("without a key", 0), ("too large to cache", 1_000_000)] {
        let log = AnswerLog::new(ByteCount(longest));
        let mut reader = log.reader().unwrap();
        for _ in 0..2 {
            assert!(has_room(&log), "{case}");
            log.push(piece(&"x".repeat(600_000)));
        }
        assert!(!has_room(&log), "{case}");
        smol::block_on(reader.next()).unwrap();
        assert!(has_room(&log), "{case}");
        assert!(smol::block_on(poll_once(log.readers_gone())).is_none(), "{case}");
        drop(reader);
        assert!(smol::block_on(poll_once(log.readers_gone())).is_some(), "{case}");
        assert!(log.reader().is_none(), "the beginning was dropped");
    }
}
