//! Requests that crash upstreams are stopped, and only those.

use std::time::Duration;

use sagespool_claims::{CrashTracker, CrashVerdict, QuarantineRecord, StopOutcome};
use sagespool_messages::CrashReport;
use sagespool_types::{AttemptNumber, ClockTime, ContentDigest, RequestId, WallTime};

const POISON: ContentDigest = ContentDigest(66);
const WALL: WallTime = WallTime(1_700_000_000_000);

fn report(content: ContentDigest, request: u128, upstream: usize) -> CrashReport {
    CrashReport {
        content,
        crash: RequestId(request),
        upstream: format!("core-{upstream}").parse().expect("a valid name"),
        attempt: AttemptNumber(1),
    }
}

fn at(seconds: u64) -> ClockTime {
    ClockTime::from_millis(seconds * 1000)
}

/// A request crashes an upstream; its caller sends it again under a new key,
/// through another entry, and it crashes the next. The third time it must be
/// refused. Reports come twice, and late.
#[test]
fn two_crashes() {
    let board = CrashTracker::new();
    let first = report(POISON, 1, 0);
    assert_eq!(board.record(&first, at(0)), CrashVerdict::Suspected);
    assert_eq!(board.record(&first, at(9)), CrashVerdict::Repeated);
    assert!(!board.is_stopped(POISON));
    assert_eq!(board.record(&report(POISON, 2, 1), at(10)), CrashVerdict::Stopped);
    assert!(board.is_stopped(POISON));
    assert_eq!(board.record(&report(POISON, 3, 2), at(11)), CrashVerdict::AlreadyStopped);
}

/// Ten callers refresh the same bid status on one upstream when it goes down.
/// That is one crash, not ten: the lookup must not be stopped by it.
#[test]
fn one_crash() {
    let board = CrashTracker::new();
    let lookup = ContentDigest(1);
    let verdicts: Vec<_> =
        (0..10).map(|request| board.record(&report(lookup, request, 0), at(0))).collect();
    assert_eq!(verdicts[0], CrashVerdict::Suspected);
    assert!(verdicts[1..].iter().all(|verdict| *verdict == CrashVerdict::Repeated));
    let again = CrashReport { attempt: AttemptNumber(2), ..report(lookup, 0, 0) };
    assert_eq!(board.record(&again, at(1)), CrashVerdict::Stopped, "a second attempt is another");
}

/// Eight requests run beside the poison. All nine are suspects after the first
/// crash; if some of them met again on the upstream that the poison takes down
/// next, they would be stopped for good though they did nothing. Each of them
/// has its own upstream, comes through, and is cleared.
#[test]
fn innocent_neighbours() {
    let upstreams = 12;
    let board = CrashTracker::new();
    let contents: Vec<_> = (60..69).map(ContentDigest).collect();
    for content in &contents {
        board.record(&report(*content, content.0, 0), at(0));
    }
    let others: Vec<_> = (1..upstreams).collect();
    let rank = |content| board.rerun_rank(content, at(1)).expect("a suspect");
    let place = |content| others[rank(content) % others.len()];
    let places: Vec<_> = contents.iter().map(|content| place(*content)).collect();
    let poisoned = place(POISON);
    for (content, upstream) in contents.iter().zip(&places) {
        if *upstream == poisoned {
            assert_eq!(*content, POISON, "no suspect beside it");
            let again = CrashReport { attempt: AttemptNumber(2), ..report(POISON, 66, poisoned) };
            assert_eq!(board.record(&again, at(5)), CrashVerdict::Stopped);
        }
    }
    // A newcomer ran beside the poison this time.
    assert_eq!(
        board.record(&report(ContentDigest(90), 90, poisoned), at(5)),
        CrashVerdict::Suspected
    );
    let innocent = contents.iter().filter(|content| **content != POISON);
    for content in innocent.chain([&ContentDigest(90)]) {
        assert!(!board.record_success(*content));
        assert!(!board.is_suspect(*content));
    }
    assert_eq!(board.record(&report(contents[0], 99, 3), at(60)), CrashVerdict::Suspected);
    let stopped: Vec<_> = board.list().into_iter().filter(|suspect| suspect.stopped).collect();
    assert_eq!(stopped.len(), 1);
}

/// The poison takes down its second upstream just before a neighbour of its first one runs again. If
/// the neighbour moved up into the poison's place, or ran where the upstream goes down, it would be
/// stopped for a crash that was over before it came.
#[test]
fn kept_places() {
    let board = CrashTracker::new();
    let (before, after) = (ContentDigest(60), ContentDigest(68));
    for content in [before, POISON, after] {
        board.record(&report(content, content.0, 0), at(0));
    }
    let again = CrashReport { attempt: AttemptNumber(2), ..report(POISON, 66, 1) };
    assert_eq!(board.record(&again, at(3)), CrashVerdict::Stopped);
    assert_eq!(board.rerun_rank(before, at(3)), Some(0));
    assert_eq!(board.rerun_rank(POISON, at(3)), None, "it doesn't run again");
    assert_eq!(board.rerun_rank(after, at(3)), Some(2));
    assert_eq!(board.rerun_rank(after, at(6)), Some(1), "its place is free later");
    let upstream = |number| report(POISON, 0, number).upstream;
    assert!(board.crashed_recently(&upstream(1), at(4)));
    assert!(!board.crashed_recently(&upstream(1), at(6)));
    assert!(!board.crashed_recently(&upstream(2), at(4)));
}

#[test]
fn old_suspicion() {
    let board = CrashTracker::new();
    board.record(&report(POISON, 1, 0), at(0));
    let later = at(0).after(Duration::from_secs(3601));
    assert_eq!(board.record(&report(POISON, 2, 1), later), CrashVerdict::Suspected);
}

/// The verdict must outlive the entries that saw the crashes: a new entry that
/// hasn't heard of them would run the request and lose one more upstream.
#[test]
fn kept_verdict() {
    let board = CrashTracker::new();
    board.record(&report(POISON, 1, 0), at(0));
    board.record(&report(POISON, 2, 1), at(10));
    let (content, crashes) = board.unsaved().pop().expect("to be written");
    let mut record = QuarantineRecord::default();
    assert_eq!(record.stop(content, &crashes, WALL), StopOutcome::Stopped);
    assert_eq!(record.stop(content, &crashes, WALL), StopOutcome::Already, "a lost answer");
    let text = serde_json::to_string(&record).expect("plain data");
    let record: QuarantineRecord = serde_json::from_str(&text).expect("the same data");
    for board in [CrashTracker::new(), board] {
        assert!(board.apply_record(&record, at(20)).is_empty());
        assert!(board.is_stopped(POISON));
        assert!(board.unsaved().is_empty());
    }
}

/// An operator lets a request go after the engine was mended. A late report of
/// an old crash, or an entry that writes its verdict late, must not stop it
/// again; two new crashes must.
#[test]
fn lifted_verdict() {
    let board = CrashTracker::new();
    let reports = [report(POISON, 1, 0), report(POISON, 2, 1)];
    for (report, second) in reports.iter().zip([0, 10]) {
        board.record(report, at(second));
    }
    let (_, crashes) = board.unsaved().pop().expect("to be written");
    let mut record = QuarantineRecord::default();
    record.stop(POISON, &crashes, WALL);
    assert!(record.lift(POISON, WALL));
    assert!(!record.lift(POISON, WALL));
    board.apply_record(&record, at(20));
    assert!(!board.is_stopped(POISON));
    assert_eq!(record.stop(POISON, &crashes, WALL), StopOutcome::Lifted);
    assert_eq!(board.record(&reports[0], at(21)), CrashVerdict::Repeated);
    assert_eq!(record.stopped().count(), 0);
    assert_eq!(board.record(&report(POISON, 3, 2), at(30)), CrashVerdict::Suspected);
    assert_eq!(board.record(&report(POISON, 4, 3), at(40)), CrashVerdict::Stopped);
    let (_, crashes) = board.unsaved().pop().expect("to be written");
    assert_eq!(record.stop(POISON, &crashes, WALL), StopOutcome::Stopped);
}

/// A popular lookup is in flight at each of two crashes that others cause, and
/// comes through in between on one entry. Another entry, which saw only the
/// crashes, stops it in the store: the first one must object.
#[test]
fn popular_lookup() {
    let lookup = ContentDigest(1);
    let (busy, idle) = (CrashTracker::new(), CrashTracker::new());
    let reports = [report(lookup, 1, 0), report(lookup, 2, 1)];
    for board in [&busy, &idle] {
        board.record(&reports[0], at(0));
    }
    busy.record_success(lookup);
    for board in [&busy, &idle] {
        board.record(&reports[1], at(10));
    }
    assert!(!busy.is_stopped(lookup));
    let mut record = QuarantineRecord::default();
    let (_, crashes) = idle.unsaved().pop().expect("to be written");
    record.stop(lookup, &crashes, WALL);
    let disputed = busy.apply_record(&record, at(11));
    assert_eq!(disputed, [lookup]);
    assert!(record.lift(disputed[0], WALL));
    idle.apply_record(&record, at(12));
    assert!(!idle.is_stopped(lookup));
}
