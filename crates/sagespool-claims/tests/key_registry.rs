//! A home's key index, queries to sidecars, and refusals without a claim.

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

/// An index of a process that has run for longer than the retention of responses.
fn long_running_registry() -> (KeyRegistry, ClockTime) {
    (KeyRegistry::new(ClockTime::default()), at(100_000))
}

fn running_at(sidecar: IncarnationId) -> KeyDecision {
    KeyDecision::Attach(KeyState::At { sidecar, request: FIRST, content: CONTENT })
}

/// A caller's connection breaks and it sends the request again under its key. The decision
/// depends on the state of the first request. It is never a second run while the first one
/// runs or its response is kept.
#[test]
fn repeated_request() {
    type Step = fn(&KeyRegistry, ClockTime);
    let assign: Step = |registry, now| assert!(registry.assign_sidecar(KEY, FIRST, SIDECAR, now));
    let end = |outcome: KeyOutcome| {
        move |registry: &KeyRegistry, now| registry.record_outcome(KEY, FIRST, outcome, now)
    };
    let unknown = KeyDecision::Attach(KeyState::Unknown { request: FIRST });
    let pending = KeyDecision::Attach(KeyState::Pending);
    let cases: [(&str, bool, Option<KeyOutcome>, KeyDecision); 6] = [
        ("without a sidecar yet", false, None, pending),
        ("running", true, None, running_at(SIDECAR)),
        ("answered", true, Some(KeyOutcome::Answered), running_at(SIDECAR)),
        ("broken", true, Some(KeyOutcome::Broken), unknown),
        ("refused before it ran", true, Some(KeyOutcome::NotRun), KeyDecision::New),
        ("refused before it had a sidecar", false, Some(KeyOutcome::NotRun), KeyDecision::New),
    ];
    for (case, has_sidecar, outcome, expected) in cases {
        let (registry, now) = long_running_registry();
        assert_eq!(registry.begin(KEY, FIRST, CONTENT, now), KeyDecision::New);
        assert_eq!(registry.begin(KEY, FIRST, CONTENT, now), KeyDecision::New, "a retransmission");
        if has_sidecar {
            assign(&registry, now);
        }
        if let Some(outcome) = outcome {
            end(outcome)(&registry, now);
        }
        let other =
            registry.find(KEY, now).map(|_| registry.begin(KEY, SECOND, ContentDigest(6), now));
        let expected_other = KeyDecision::Attach(KeyState::OtherContent);
        assert!(other.is_none_or(|other| other == expected_other), "{case}");
        assert_eq!(registry.begin(KEY, SECOND, CONTENT, now), expected, "{case}");
    }
}

/// An entry fails with an open stream, and the caller sends the request again through another
/// one that has just become home and has no keys. Treated as new, the request would run and
/// be charged twice. The sidecars must be queried instead.
#[test]
fn recent_home() {
    let policy = KeyPolicy::default();
    let retention = policy.answer_retention;
    let started = at(50_000);
    for (home_since, expected) in [
        (ClockTime::default(), KeyDecision::New),
        (started.after(Duration::from_secs(60)), KeyDecision::Unsure),
    ] {
        let registry = KeyRegistry::with_policy(policy.clone(), started);
        let now = started.after(retention);
        assert_eq!(registry.begin_since(KEY, FIRST, CONTENT, home_since, now), expected);
    }
    let registry = KeyRegistry::with_policy(policy, started);
    assert_eq!(registry.begin(KEY, SECOND, CONTENT, started), KeyDecision::Unsure);
    let second = registry.begin(KEY, FIRST, CONTENT, started);
    assert_eq!(
        second,
        KeyDecision::Attach(KeyState::Pending),
        "only one request queries the sidecars"
    );
    registry.record_found(KEY, FIRST, CONTENT, SIDECAR, started);
    assert_eq!(registry.begin(KEY, SECOND, CONTENT, started), running_at(SIDECAR));
}

/// A request waits for budget beyond the pending limit, and another request takes its key.
/// The first one must not run after that.
#[test]
fn overtaken_request() {
    let (registry, now) = long_running_registry();
    let limit = KeyPolicy::default().pending_limit;
    registry.begin(KEY, FIRST, CONTENT, now);
    let late = now.after(limit);
    assert_eq!(registry.begin(KEY, SECOND, CONTENT, late), KeyDecision::New);
    assert!(!registry.assign_sidecar(KEY, FIRST, SIDECAR, late));
    registry.forget(KEY, FIRST);
    assert!(registry.assign_sidecar(KEY, SECOND, SIDECAR, late));
    assert!(!registry.try_acquire(KEY, FIRST, CONTENT, late));
}

#[test]
fn expired_keys() {
    let (registry, now) = long_running_registry();
    let retention = KeyPolicy::default().answer_retention;
    registry.begin(KEY, FIRST, CONTENT, now);
    registry.assign_sidecar(KEY, FIRST, SIDECAR, now);
    let ended = now.after(Duration::from_secs(60));
    registry.record_outcome(KEY, FIRST, KeyOutcome::Answered, ended);
    registry.expire(now.after(retention));
    assert_eq!(registry.len(), 1, "the retention counts from the end of the request");
    assert!(registry.run_ended(KEY));
    registry.sidecar_gone(SIDECAR, ended);
    assert_eq!(registry.find(KEY, ended), Some(KeyState::Unknown { request: FIRST }));
    registry.expire(ended.after(retention));
    assert!(registry.is_empty());
}

/// Sidecars are queried for a key. "Never seen" may be concluded only if every sidecar that can
/// have run the request replied in the same incarnation. A sidecar that restarted or is
/// unreachable may have run it.
#[test]
fn inquiry_verdicts() {
    let (left, right) = (IncarnationId(100), IncarnationId(101));
    let reply = |sidecar, known| KeyReply { sidecar, known };
    let at = KeyState::At { sidecar: left, request: FIRST, content: CONTENT };
    let unknown = KeyState::Unknown { request: FIRST };
    let nothing = || Some(reply(left, None));
    let cases = [
        ("none has seen it", nothing(), Some(reply(right, None)), vec![], "nowhere"),
        ("one restarted", nothing(), Some(reply(IncarnationId(102), None)), vec![], "incomplete"),
        ("one unreachable", nothing(), None, vec![], "incomplete"),
        (
            "one ended before the query",
            nothing(),
            Some(reply(right, None)),
            vec![left],
            "incomplete",
        ),
        ("running on one", Some(reply(left, Some(at.clone()))), None, vec![], "found"),
        (
            "response lost on one",
            nothing(),
            Some(reply(right, Some(unknown.clone()))),
            vec![],
            "found",
        ),
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
    assert_eq!(lookup.verdict(), LookupOutcome::Open, "another sidecar may have the response");
    lookup.record_reply(left, &reply(left, Some(at.clone())));
    assert_eq!(lookup.verdict(), LookupOutcome::Found(at));
}

/// A request runs, its entry fails, the store becomes unreachable, and the caller sends the
/// request again. Its claim can't be made. After the reply "not-run" the caller may send the
/// request under a new key, so that it would run twice.
#[test]
fn refusal_run_state() {
    let read_at = Some(at(100));
    let cases = [
        (
            "exclusive home since before the read",
            earlier_run(read_at, Some(at(90))),
            RunState::NotRun,
        ),
        (
            "exclusive home only after the read",
            earlier_run(read_at, Some(at(101))),
            RunState::Unknown,
        ),
        ("another may be home", earlier_run(read_at, None), RunState::Unknown),
        ("the record was never read", earlier_run(None, Some(at(90))), RunState::Unknown),
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
