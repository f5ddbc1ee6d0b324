//! A home's memory of keys, and what it may say without one.

use std::time::Duration;

use sagespool_claims::{
    ClaimVerdict, EarlierRun, KeyDecision, KeyLookup, KeyOutcome, KeyPolicy, KeyRegistry,
    LookupOutcome, claim_refusal, earlier_run,
};
use sagespool_messages::{KeyReply, KeyState};
use sagespool_types::{
    ClockTime, ContentDigest, IncarnationId, KeyDigest, RefusalReason, RequestId, RunState,
};

const KEY: KeyDigest = KeyDigest(1);
const CONTENT: ContentDigest = ContentDigest(5);
const FIRST: RequestId = RequestId(10);
const SECOND: RequestId = RequestId(11);
const SIDECAR: IncarnationId = IncarnationId(100);

fn at(seconds: u64) -> ClockTime {
    ClockTime::from_millis(seconds * 1000)
}

/// A board whose process is long past the retention of answers.
fn old_board() -> (KeyRegistry, ClockTime) {
    (KeyRegistry::new(ClockTime::default()), at(100_000))
}

fn running_at(sidecar: IncarnationId) -> KeyDecision {
    KeyDecision::Attach(KeyState::At { sidecar, request: FIRST, content: CONTENT })
}

/// A caller's connection breaks and it sends the request again under its key.
/// What it gets depends on how far the first one came; never a second run while
/// the first runs, or its answer is kept.
#[test]
fn sent_again() {
    type Step = fn(&KeyRegistry, ClockTime);
    let place: Step = |board, now| assert!(board.assign_sidecar(KEY, FIRST, SIDECAR, now));
    let end = |outcome: KeyOutcome| {
        move |board: &KeyRegistry, now| board.record_outcome(KEY, FIRST, outcome, now)
    };
    let unknown = KeyDecision::Attach(KeyState::Unknown { request: FIRST });
    let pending = KeyDecision::Attach(KeyState::Pending);
    let cases: [(&str, bool, Option<KeyOutcome>, KeyDecision); 6] = [
        ("not placed yet", false, None, pending),
        ("running", true, None, running_at(SIDECAR)),
        ("answered", true, Some(KeyOutcome::Answered), running_at(SIDECAR)),
        ("broken", true, Some(KeyOutcome::Broken), unknown),
        ("refused before it ran", true, Some(KeyOutcome::NotRun), KeyDecision::New),
        ("refused before it was placed", false, Some(KeyOutcome::NotRun), KeyDecision::New),
    ];
    for (case, placed, outcome, expected) in cases {
        let (board, now) = old_board();
        assert_eq!(board.begin(KEY, FIRST, CONTENT, now), KeyDecision::New);
        assert_eq!(board.begin(KEY, FIRST, CONTENT, now), KeyDecision::New, "the message again");
        if placed {
            place(&board, now);
        }
        if let Some(outcome) = outcome {
            end(outcome)(&board, now);
        }
        let other = board.find(KEY, now).map(|_| board.begin(KEY, SECOND, ContentDigest(6), now));
        let expected_other = KeyDecision::Attach(KeyState::OtherContent);
        assert!(other.is_none_or(|other| other == expected_other), "{case}");
        assert_eq!(board.begin(KEY, SECOND, CONTENT, now), expected, "{case}");
    }
}

/// An entry dies with a stream open. The caller comes back through another one,
/// which is home of the branch since a second ago and knows no key. Taking the
/// request for a new one would run and bill it twice: the sidecars know it.
#[test]
fn young_home() {
    let policy = KeyPolicy::default();
    let retention = policy.answer_retention;
    let started = at(50_000);
    for (home_since, expected) in [
        (ClockTime::default(), KeyDecision::New),
        (started.after(Duration::from_secs(60)), KeyDecision::Unsure),
    ] {
        let board = KeyRegistry::with_policy(policy.clone(), started);
        let now = started.after(retention);
        assert_eq!(board.begin_since(KEY, FIRST, CONTENT, home_since, now), expected);
    }
    let board = KeyRegistry::with_policy(policy, started);
    assert_eq!(board.begin(KEY, SECOND, CONTENT, started), KeyDecision::Unsure);
    let second = board.begin(KEY, FIRST, CONTENT, started);
    assert_eq!(second, KeyDecision::Attach(KeyState::Pending), "one asks, the others wait");
    board.record_found(KEY, FIRST, CONTENT, SIDECAR, started);
    assert_eq!(board.begin(KEY, SECOND, CONTENT, started), running_at(SIDECAR));
}

/// The first request waits for budget for a minute, is taken for dead, and
/// another takes its key. When the first one comes through, it must not run.
#[test]
fn overtaken_request() {
    let (board, now) = old_board();
    let limit = KeyPolicy::default().pending_limit;
    board.begin(KEY, FIRST, CONTENT, now);
    let late = now.after(limit);
    assert_eq!(board.begin(KEY, SECOND, CONTENT, late), KeyDecision::New);
    assert!(!board.assign_sidecar(KEY, FIRST, SIDECAR, late));
    board.forget(KEY, FIRST);
    assert!(board.assign_sidecar(KEY, SECOND, SIDECAR, late));
    assert!(!board.try_acquire(KEY, FIRST, CONTENT, late));
}

#[test]
fn forgotten_keys() {
    let (board, now) = old_board();
    let retention = KeyPolicy::default().answer_retention;
    board.begin(KEY, FIRST, CONTENT, now);
    board.assign_sidecar(KEY, FIRST, SIDECAR, now);
    let ended = now.after(Duration::from_secs(60));
    board.record_outcome(KEY, FIRST, KeyOutcome::Answered, ended);
    board.expire(now.after(retention));
    assert_eq!(board.len(), 1, "counted from the end");
    assert!(board.run_ended(KEY));
    board.sidecar_gone(SIDECAR, ended);
    assert_eq!(board.find(KEY, ended), Some(KeyState::Unknown { request: FIRST }));
    board.expire(ended.after(retention));
    assert!(board.is_empty());
}

/// Sidecars are asked for a key. "It ran nowhere" may be said only if every one
/// that can have run it still has its memory; a restarted one, or one that is
/// out of reach, may be the one that ran it.
#[test]
fn inquiry_verdicts() {
    let (left, right) = (IncarnationId(100), IncarnationId(101));
    let reply = |sidecar, known| KeyReply { sidecar, known };
    let at = KeyState::At { sidecar: left, request: FIRST, content: CONTENT };
    let unknown = KeyState::Unknown { request: FIRST };
    let nothing = || Some(reply(left, None));
    let cases = [
        ("none knows it", nothing(), Some(reply(right, None)), vec![], "nowhere"),
        ("one restarted", nothing(), Some(reply(IncarnationId(102), None)), vec![], "incomplete"),
        ("one out of reach", nothing(), None, vec![], "incomplete"),
        ("one went away before", nothing(), Some(reply(right, None)), vec![left], "incomplete"),
        ("it runs", Some(reply(left, Some(at.clone()))), None, vec![], "found"),
        ("lost here", nothing(), Some(reply(right, Some(unknown.clone()))), vec![], "found"),
    ];
    for (case, first, second, lost, expected) in cases {
        let mut lookup = KeyLookup::new([left, right], lost);
        assert_eq!(lookup.verdict(), LookupOutcome::Open, "{case}");
        for (asked, reply) in [(left, first), (right, second)] {
            match reply {
                Some(reply) => lookup.record_reply(asked, &reply),
                None => lookup.record_failure(asked),
            }
        }
        let found = match lookup.verdict() {
            LookupOutcome::Open => "open",
            LookupOutcome::Found(_) => "found",
            LookupOutcome::NeverSeen => "nowhere",
            LookupOutcome::Incomplete(_) => "incomplete",
        };
        assert_eq!(found, expected, "{case}");
    }
    let mut lookup = KeyLookup::new([left, right], []);
    lookup.record_reply(right, &reply(right, Some(unknown)));
    assert_eq!(lookup.verdict(), LookupOutcome::Open, "another may have the answer");
    lookup.record_reply(left, &reply(left, Some(at.clone())));
    assert_eq!(lookup.verdict(), LookupOutcome::Found(at));
}

/// A letter is sent, its entry dies, the store goes away, and the caller tries
/// again. Its claim can't be made. If it heard "not-run", it would send the
/// letter under a new key, and the ministry would get two.
#[test]
fn honest_refusal() {
    let seen = Some(at(100));
    let cases = [
        ("sole home since before the copy", earlier_run(seen, Some(at(90))), RunState::NotRun),
        ("home only since", earlier_run(seen, Some(at(101))), RunState::Unknown),
        ("another may be home", earlier_run(seen, None), RunState::Unknown),
        ("the record was never seen", earlier_run(None, Some(at(90))), RunState::Unknown),
    ];
    let wait = Duration::from_secs(5);
    for (case, earlier, expected) in cases {
        let notice = claim_refusal(&ClaimVerdict::Expired, earlier, wait).expect("a refusal");
        assert_eq!(notice.reason, RefusalReason::ClaimUnreachable, "{case}");
        assert_eq!(notice.run_state, expected, "{case}");
        assert_eq!(notice.retry_after, Some(wait), "{case}");
    }
    let aged = claim_refusal(&ClaimVerdict::Aged, EarlierRun::Excluded, wait).expect("a refusal");
    assert_eq!(aged.run_state, RunState::Unknown);
    assert_eq!(claim_refusal(&ClaimVerdict::Durable, EarlierRun::Possible, wait), None);
}
