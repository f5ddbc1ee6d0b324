//! What is known of callers' keys.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use sagespool_messages::{AttachRequest, DispatchEnd, DispatchEvent, KeyRequest, KeyState};
use sagespool_sidecar::{
    AnswerLog, KeyAdmission, KeyEnding, KeyMemory, KeyRefusal, KeyRetention, KeyWish,
};
use sagespool_types::{
    AttemptNumber, ByteCount, ClockTime, ContentDigest, IncarnationId, KeyDigest, RequestId,
};
use smol::future::poll_once;

const SIDECAR: IncarnationId = IncarnationId(1);
const NOW: ClockTime = ClockTime::from_millis(1000);
const RETENTION: KeyRetention =
    KeyRetention { answers: Duration::from_secs(60), keys: Duration::from_secs(600) };

/// Room for one answer of some 4,000 bytes in each part of the memory.
const ROOM: ByteCount = ByteCount(16 * 4096);

fn memory() -> KeyMemory {
    KeyMemory::new(SIDECAR, ROOM, RETENTION)
}

fn wish(request: u128, non_idempotent: bool) -> KeyWish {
    KeyWish {
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

fn attach(memory: &KeyMemory, content: u128) -> Result<Arc<AnswerLog>, KeyRefusal> {
    memory.attach(&AttachRequest {
        request: RequestId(99),
        key: KeyDigest(5),
        content: ContentDigest(content),
        time_left: Duration::from_secs(1),
    })
}

fn find(memory: &KeyMemory, fence: Option<u128>) -> Option<KeyState> {
    let service = "sage-core".parse().unwrap();
    let fence = fence.map(RequestId);
    memory.find(&KeyRequest { service, key: KeyDigest(5), fence }, NOW).known
}

/// Runs a key to its end with an answer of so many bytes.
fn run(memory: &KeyMemory, wish: &KeyWish, bytes: usize, ending: KeyEnding) {
    let log = AnswerLog::new(memory.longest_answer());
    assert!(matches!(memory.begin(wish, &log), KeyAdmission::Run));
    log.push(piece(&"x".repeat(bytes)));
    memory.end(wish, ending, NOW);
    log.push(end());
}

// A caller's entry dies mid-answer. The caller comes back with its key through
// another entry while the request still runs, and another one later. Each
// wants the whole answer from its beginning, not the rest.
#[test]
fn attach_from_start() {
    let memory = memory();
    let log = AnswerLog::new(memory.longest_answer());
    memory.begin(&wish(1, false), &log);
    log.push(piece("Bid "));

    let readers = [attach(&memory, 50).unwrap(), attach(&memory, 50).unwrap()];
    let mut readers = readers.map(|log| log.reader().unwrap());
    log.push(piece("open"));
    memory.end(&wish(1, false), KeyEnding::Whole, NOW);
    log.push(end());
    let late = attach(&memory, 50).unwrap().reader().unwrap();

    for reader in readers.iter_mut().chain([late].iter_mut()) {
        let mut events = Vec::new();
        while let Some(event) = smol::block_on(reader.next()) {
            events.push(event.as_ref().clone());
        }
        assert_eq!(events, [piece("Bid "), piece("open"), end()]);
    }
}

// Two requests come with one key but ask for different things. Handing one
// the other's answer would show a caller what isn't its own.
#[test]
fn other_content() {
    let memory = memory();
    run(&memory, &wish(1, false), 10, KeyEnding::Whole);
    assert_eq!(attach(&memory, 51).unwrap_err(), KeyRefusal::OtherContent);
    let other = KeyWish { content: ContentDigest(51), ..wish(2, false) };
    let admission = memory.begin(&other, &AnswerLog::new(ByteCount(1)));
    assert!(matches!(admission, KeyAdmission::Refused(KeyRefusal::OtherContent)));
}

// A clarification letter ran and its answer was dropped: too large, broken
// off, evicted or past its retention. The caller asks again. Running it would
// send the letter twice, and "not run" would be untrue.
#[test]
fn dropped_answer() {
    let cases: [(&str, usize, KeyEnding, bool); 4] = [
        ("too large", 5000, KeyEnding::Whole, false),
        ("broken off", 10, KeyEnding::MayHaveRun, false),
        ("evicted", 3500, KeyEnding::Whole, true),
        ("past its retention", 10, KeyEnding::Whole, false),
    ];
    for (case, bytes, ending, evict) in cases {
        let memory = memory();
        run(&memory, &wish(1, true), bytes, ending);
        if evict {
            evict_others(&memory);
        }
        memory.expire(NOW.after(RETENTION.answers));
        let request = RequestId(1);
        assert_eq!(find(&memory, Some(2)), Some(KeyState::Unknown { request }), "{case}");
        let refusal = KeyRefusal::AnswerLost { request };
        assert_eq!(attach(&memory, 50).unwrap_err(), refusal, "{case}");
        let admission = memory.begin(&wish(2, true), &AnswerLog::new(ByteCount(1)));
        assert!(
            matches!(admission, KeyAdmission::Refused(KeyRefusal::AnswerLost { .. })),
            "{case}"
        );

        memory.expire(NOW.after(RETENTION.keys));
        assert_eq!(find(&memory, None), None, "{case}");
    }
}

/// Fills the memory with other keys' answers until something is evicted everywhere.
fn evict_others(memory: &KeyMemory) {
    for key in 100..400 {
        run(memory, &KeyWish { key: KeyDigest(key), ..wish(key, false) }, 3500, KeyEnding::Whole);
    }
    assert!(memory.evicted() >= 280);
}

// An idempotent request breaks with its upstream, or never started. Its retry
// must be free to run.
#[test]
fn free_again() {
    for (ending, non_idempotent) in
        [(KeyEnding::MayHaveRun, false), (KeyEnding::NotRun, false), (KeyEnding::NotRun, true)]
    {
        let memory = memory();
        run(&memory, &wish(1, non_idempotent), 10, ending);
        let admission = memory.begin(&wish(2, non_idempotent), &AnswerLog::new(ByteCount(1)));
        assert!(matches!(admission, KeyAdmission::Run), "{ending:?}");
    }
}

// A home asks whether a request ran here, is told no and lets a retry run
// elsewhere. Then the first dispatch, held up on its way, arrives. Were it to
// run, the request would have run twice.
#[test]
fn fenced_request() {
    let memory = memory();
    assert_eq!(find(&memory, Some(1)), None);
    let admission = memory.begin(&wish(1, true), &AnswerLog::new(ByteCount(1)));
    assert!(matches!(admission, KeyAdmission::Refused(KeyRefusal::Fenced)));
    let admission = memory.begin(&wish(2, true), &AnswerLog::new(ByteCount(1)));
    assert!(matches!(admission, KeyAdmission::Run), "another request may run");
    assert!(matches!(find(&memory, Some(2)), Some(KeyState::At { sidecar: SIDECAR, .. })));
}

// An attempt goes on where another broke off, and the caller has its first
// tokens. A run of its own would differ after them: mixed, the answer would be
// neither's.
#[test]
fn same_text() {
    let log = AnswerLog::new(ByteCount(1 << 20));
    for (at, text) in ["Your ", "bid ", "is ", "in."].into_iter().enumerate() {
        log.push(DispatchEvent::Piece { at: at as u32, tokens: 1, data: text.into() });
    }
    let mut reader = log.reader_from(2, "Your bid ").unwrap();
    let next = smol::block_on(reader.next()).unwrap();
    assert!(matches!(next.as_ref(), DispatchEvent::Piece { at: 2, .. }));
    assert!(log.reader_from(2, "Your bed ").is_none());
    assert!(log.reader_from(2, "Your bid is ").is_none());
    assert!(log.reader_from(9, "Your bid is in.").is_none());
}

// A service streams a large body to a slow caller. Without a limit the sidecar
// would hold all of it in memory.
#[test]
fn slow_reader() {
    let room = |log: &AnswerLog| smol::block_on(poll_once(log.room())).is_some();
    for (case, longest) in [("without a key", 0), ("too large to keep", 1_000_000)] {
        let log = AnswerLog::new(ByteCount(longest));
        let mut reader = log.reader().unwrap();
        for _ in 0..2 {
            assert!(room(&log), "{case}");
            log.push(piece(&"x".repeat(600_000)));
        }
        assert!(!room(&log), "{case}");
        smol::block_on(reader.next()).unwrap();
        assert!(room(&log), "{case}");
        assert!(smol::block_on(poll_once(log.abandoned())).is_none(), "{case}");
        drop(reader);
        assert!(smol::block_on(poll_once(log.abandoned())).is_some(), "{case}");
        assert!(log.reader().is_none(), "its beginning is gone");
    }
}
