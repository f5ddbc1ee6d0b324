//! The stored record of claims: conflicts, retention and size.

use std::time::Duration;

use sagespool_claims::{
    ClaimIntent, ClaimOutcome, ClaimsRecord, DETAIL_RETENTION, FencedClaim, MAX_RECORD_BYTES,
};
use sagespool_types::{
    AttemptNumber, ContentDigest, IncarnationId, KeyDigest, RequestId, WallTime,
};

const DAY: Duration = Duration::from_secs(24 * 3600);
const HOUR: u64 = 3_600_000;
const START: WallTime = WallTime(1_700_000_000_000);

/// A digest with both halves set, as the fingerprint is only the upper half.
fn key(number: u128) -> KeyDigest {
    KeyDigest(number << 64 | number)
}

fn intent(number: u128, request: u128, sidecar: u64, attempt: u32) -> ClaimIntent {
    ClaimIntent {
        key: key(number),
        request: RequestId(request),
        content: ContentDigest(5),
        sidecar: IncarnationId(sidecar),
        attempt: AttemptNumber(attempt),
        home: IncarnationId(1),
        replaces: None,
        time_left: Duration::from_secs(5),
    }
}

fn replacing(intent: ClaimIntent, request: u128, sidecar: u64) -> ClaimIntent {
    let fenced = FencedClaim { request: RequestId(request), sidecar: IncarnationId(sidecar) };
    intent.replacing(fenced)
}

fn later(start: WallTime, millis: u64) -> WallTime {
    WallTime(start.0 + millis)
}

/// A request is claimed and dispatched, then its entry fails. The caller sends it again,
/// and the home may retry a claim whose reply was lost. The claim must not pass to a
/// second request, nor to a second sidecar while the first may run the request.
#[test]
fn claim_outcomes() {
    let cases = [
        ("the same again after a lost reply", intent(1, 10, 100, 1), "mine"),
        ("another request", intent(1, 11, 100, 1), "taken"),
        ("the same request, another sidecar", intent(1, 10, 101, 1), "taken"),
        ("a later attempt of it", intent(1, 10, 101, 2), "claimed"),
        ("fenced where it was claimed", replacing(intent(1, 11, 101, 1), 10, 100), "claimed"),
        ("fenced on another sidecar", replacing(intent(1, 11, 101, 1), 10, 101), "taken"),
        ("another request was fenced", replacing(intent(1, 11, 101, 1), 12, 100), "taken"),
        ("another key", intent(2, 11, 100, 1), "claimed"),
    ];
    for (case, intent, expected) in cases {
        let mut record = ClaimsRecord::default();
        let first = record.claim(&self::intent(1, 10, 100, 1), START, DAY);
        assert_eq!(first, ClaimOutcome::Claimed);
        let found = match record.claim(&intent, START, DAY) {
            ClaimOutcome::Claimed => "claimed",
            ClaimOutcome::AlreadyMine => "mine",
            ClaimOutcome::Taken(entry) => {
                assert_eq!(entry.request, RequestId(10), "{case}");
                "taken"
            }
            ClaimOutcome::Aged | ClaimOutcome::Full => "other",
        };
        assert_eq!(found, expected, "{case}");
    }
}

/// A delayed claim of the first attempt arrives after the claim of the second one. It must
/// not move the claim back to the first sidecar.
#[test]
fn late_attempt() {
    let mut record = ClaimsRecord::default();
    record.claim(&intent(1, 10, 100, 1), START, DAY);
    record.claim(&intent(1, 10, 101, 2), START, DAY);
    let late = record.claim(&intent(1, 10, 100, 1), START, DAY);
    assert!(matches!(late, ClaimOutcome::Taken(entry) if entry.sidecar == IncarnationId(101)));
}

/// A caller repeats a request hours later. The details of the claim have been dropped, but
/// the key must count as claimed until the retention and a margin of one hour have passed.
#[test]
fn aged_claims() {
    let mut record = ClaimsRecord::default();
    record.claim(&intent(1, 10, 100, 1), START, DAY);
    let details = DETAIL_RETENTION.as_millis() as u64;
    let cases = [
        (details - 1, false),
        (details + 1, true),
        (10 * HOUR, true),
        (24 * HOUR, true),
        (25 * HOUR, true),
    ];
    for (after, aged) in cases {
        let outcome = record.claim(&intent(1, 11, 100, 1), later(START, after), DAY);
        assert_eq!(outcome == ClaimOutcome::Aged, aged, "after {after} ms");
        assert!(record.is_claimed(key(1)));
    }
    let expired = later(START, 28 * HOUR);
    record.claim(&intent(2, 12, 100, 1), expired, DAY);
    record.claim(&intent(3, 13, 100, 1), later(expired, HOUR + 1), DAY);
    assert!(
        !record.is_claimed(key(1)),
        "dropped an hour after a home first found it past its retention"
    );
}

/// One home's clock jumps a week ahead, so that all claims of the shard seem past their
/// retention. If they were dropped, a repeated request would run twice. Another home's
/// clock must confirm that the retention has passed.
#[test]
fn wrong_clock() {
    let mut record = ClaimsRecord::default();
    record.claim(&intent(1, 10, 100, 1), START, DAY);
    let ahead = later(START, 7 * 24 * HOUR);
    record.claim(&intent(2, 11, 100, 1), ahead, DAY);
    record.claim(&intent(3, 12, 100, 1), later(ahead, 1000), DAY);
    let other = ClaimIntent { home: IncarnationId(2), ..intent(4, 13, 100, 1) };
    record.claim(&other, later(START, HOUR), DAY);
    record.claim(&intent(5, 14, 100, 1), later(ahead, 2 * HOUR), DAY);
    assert!(record.is_claimed(key(1)));
    // A claim made by a home whose clock is far behind must not be dropped early.
    let behind = WallTime(START.0 - 48 * HOUR);
    record.claim(&intent(6, 15, 100, 1), behind, DAY);
    let found = record.find(key(6)).expect("just claimed");
    assert!(found.at >= START);
}

#[test]
fn bounded_size() {
    let mut record = ClaimsRecord::default();
    let claimed = (0..20_000)
        .take_while(|number| {
            record.claim(&widest_claim(*number), START, DAY) == ClaimOutcome::Claimed
        })
        .count() as u128;
    let outcome = record.claim(&widest_claim(claimed), START, DAY);
    assert_eq!(outcome, ClaimOutcome::Full);
    assert!(claimed > 5000, "{claimed} claims with details");
    check_size(&record);
    let aged = later(START, 2 * HOUR);
    assert_eq!(record.claim(&widest_claim(claimed), aged, DAY), ClaimOutcome::Claimed);
    check_size(&record);
    assert!(record.estimated_bytes() < MAX_RECORD_BYTES / 10, "details take most of the space");
    assert!((0..=claimed).all(|number| record.is_claimed(widest_claim(number).key)));
}

/// A claim whose JSON form has the maximum length.
fn widest_claim(number: u128) -> ClaimIntent {
    let mut intent = intent(u128::from(u64::MAX) - number, u128::MAX - number, u64::MAX, 1_000_000);
    intent.content = ContentDigest(u128::MAX);
    intent
}

fn check_size(record: &ClaimsRecord) {
    let text = serde_json::to_string(record).expect("a record is plain data");
    assert!(text.len() <= record.estimated_bytes(), "{} bytes", text.len());
    assert!(record.estimated_bytes() <= MAX_RECORD_BYTES);
    let read: ClaimsRecord = serde_json::from_str(&text).expect("what was written can be read");
    assert_eq!(read, *record);
}
