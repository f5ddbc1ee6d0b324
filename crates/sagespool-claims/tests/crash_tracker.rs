//! Requests that crash upstreams are stopped, and other requests are not.

use std::collections::BTreeSet;
use std::time::Duration;

use sagespool_claims::{CrashPolicy, CrashTracker, CrashVerdict, QuarantineRecord, StopOutcome};
use sagespool_messages::{ContentCrashes, CrashReport};
use sagespool_types::{AttemptNumber, ClockTime, ContentDigest, CrashWeight, RequestId, WallTime};

const CRASHING: ContentDigest = ContentDigest(66);
const WALL: WallTime = WallTime(1_700_000_000_000);

fn report(content: ContentDigest, request: u128, upstream: usize) -> CrashReport {
    CrashReport {
        content,
        crash: RequestId(request),
        upstream: format!("core-{upstream}").parse().expect("a valid name"),
        attempt: AttemptNumber(1),
        weight: CrashWeight::FULL,
        company: BTreeSet::new(),
        age: Duration::ZERO,
    }
}

fn at(seconds: u64) -> ClockTime {
    ClockTime::from_millis(seconds * 1000)
}

/// A request crashes an upstream. Its caller sends it again under a new key through another
/// entry, and it crashes a second upstream. After that it must be refused. Reports are
/// duplicated and delayed.
#[test]
fn two_crashes() {
    let tracker = CrashTracker::new();
    let first = report(CRASHING, 1, 0);
    assert_eq!(tracker.record(&first, at(0)), CrashVerdict::Suspected);
    assert_eq!(tracker.record(&first, at(9)), CrashVerdict::Repeated);
    assert!(!tracker.is_stopped(CRASHING));
    assert_eq!(tracker.record(&report(CRASHING, 2, 1), at(10)), CrashVerdict::Stopped);
    assert!(tracker.is_stopped(CRASHING));
    assert_eq!(tracker.record(&report(CRASHING, 3, 2), at(11)), CrashVerdict::AlreadyStopped);
}

/// Ten requests with the same content are in flight on one upstream when it crashes. That is
/// one crash, which must not stop the content.
#[test]
fn one_crash() {
    let tracker = CrashTracker::new();
    let frequent = ContentDigest(1);
    let verdicts: Vec<_> =
        (0..10).map(|request| tracker.record(&report(frequent, request, 0), at(0))).collect();
    assert_eq!(verdicts[0], CrashVerdict::Suspected);
    assert!(verdicts[1..].iter().all(|verdict| *verdict == CrashVerdict::Repeated));
    let again = CrashReport { attempt: AttemptNumber(2), ..report(frequent, 0, 0) };
    assert_eq!(
        tracker.record(&again, at(1)),
        CrashVerdict::Stopped,
        "a second attempt is a second crash"
    );
}

/// Eight other requests are in flight with the one that crashes upstreams, so all nine are
/// suspects after the first crash. If one of the eight ran again on the upstream that crashes
/// next, it would be stopped without cause. Each suspect gets its own upstream, and the eight
/// are cleared.
#[test]
fn suspects_on_separate_upstreams() {
    let upstreams = 12;
    let tracker = CrashTracker::new();
    let contents: Vec<_> = (60..69).map(ContentDigest).collect();
    for content in &contents {
        tracker.record(&report(*content, content.0, 0), at(0));
    }
    let others: Vec<_> = (1..upstreams).collect();
    let rank = |content| tracker.rerun_rank(content, at(1)).expect("a suspect");
    let choose = |content| others[rank(content) % others.len()];
    let chosen: Vec<_> = contents.iter().map(|content| choose(*content)).collect();
    let next_crash = choose(CRASHING);
    for (content, upstream) in contents.iter().zip(&chosen) {
        if *upstream == next_crash {
            assert_eq!(*content, CRASHING, "no other suspect on the upstream");
            let again =
                CrashReport { attempt: AttemptNumber(2), ..report(CRASHING, 66, next_crash) };
            assert_eq!(tracker.record(&again, at(5)), CrashVerdict::Stopped);
        }
    }
    // A new content is in flight at the second crash.
    assert_eq!(
        tracker.record(&report(ContentDigest(90), 90, next_crash), at(5)),
        CrashVerdict::Suspected
    );
    let harmless = contents.iter().filter(|content| **content != CRASHING);
    for content in harmless.chain([&ContentDigest(90)]) {
        assert!(!tracker.record_success(*content));
        assert!(!tracker.is_suspect(*content));
    }
    assert_eq!(tracker.record(&report(contents[0], 99, 3), at(60)), CrashVerdict::Suspected);
    let stopped: Vec<_> = tracker.list().into_iter().filter(|suspect| suspect.stopped).collect();
    assert_eq!(stopped.len(), 1);
}

/// A request crashes its second upstream just before another suspect of the first crash runs
/// again. If the other suspect took over the first one's rank, or ran on the crashing upstream,
/// it would be stopped for a crash that it did not cause.
#[test]
fn kept_ranks() {
    let tracker = CrashTracker::new();
    let (before, after) = (ContentDigest(60), ContentDigest(68));
    for content in [before, CRASHING, after] {
        tracker.record(&report(content, content.0, 0), at(0));
    }
    let again = CrashReport { attempt: AttemptNumber(2), ..report(CRASHING, 66, 1) };
    assert_eq!(tracker.record(&again, at(3)), CrashVerdict::Stopped);
    assert_eq!(tracker.rerun_rank(before, at(3)), Some(0));
    assert_eq!(tracker.rerun_rank(CRASHING, at(3)), None, "a stopped content has no rank");
    assert_eq!(tracker.rerun_rank(after, at(3)), Some(2));
    assert_eq!(
        tracker.rerun_rank(after, at(6)),
        Some(1),
        "the rank is free after the crash window"
    );
    let upstream = |number| report(CRASHING, 0, number).upstream;
    assert!(tracker.crashed_recently(&upstream(1), at(4)));
    assert!(!tracker.crashed_recently(&upstream(1), at(6)));
    assert!(!tracker.crashed_recently(&upstream(2), at(4)));
}

#[test]
fn expired_suspicion() {
    let tracker = CrashTracker::new();
    tracker.record(&report(CRASHING, 1, 0), at(0));
    let later = at(0).after(Duration::from_secs(3601));
    assert_eq!(tracker.record(&report(CRASHING, 2, 1), later), CrashVerdict::Suspected);
}

/// A stop must outlast the entries that received the reports. A new entry without it would
/// run the request and lose another upstream.
#[test]
fn stored_stop() {
    let tracker = CrashTracker::new();
    tracker.record(&report(CRASHING, 1, 0), at(0));
    tracker.record(&report(CRASHING, 2, 1), at(10));
    let (content, crashes) = tracker.unsaved().pop().expect("to be written");
    let mut record = QuarantineRecord::default();
    assert_eq!(record.stop(content, &crashes, WALL), StopOutcome::Stopped);
    assert_eq!(record.stop(content, &crashes, WALL), StopOutcome::Already, "a retry");
    let text = serde_json::to_string(&record).expect("plain data");
    let record: QuarantineRecord = serde_json::from_str(&text).expect("the same data");
    for tracker in [CrashTracker::new(), tracker] {
        assert!(tracker.apply_record(&record, at(20)).is_empty());
        assert!(tracker.is_stopped(CRASHING));
        assert!(tracker.unsaved().is_empty());
    }
}

/// An operator lifts a stop after the engine was repaired. A delayed report of an old crash, or
/// a delayed write of the stop by another entry, must not stop the content again. Two new
/// crashes must.
#[test]
fn lifted_stop() {
    let tracker = CrashTracker::new();
    let reports = [report(CRASHING, 1, 0), report(CRASHING, 2, 1)];
    for (report, second) in reports.iter().zip([0, 10]) {
        tracker.record(report, at(second));
    }
    let (_, crashes) = tracker.unsaved().pop().expect("to be written");
    let mut record = QuarantineRecord::default();
    record.stop(CRASHING, &crashes, WALL);
    assert!(record.lift(CRASHING, WALL));
    assert!(!record.lift(CRASHING, WALL));
    tracker.apply_record(&record, at(20));
    assert!(!tracker.is_stopped(CRASHING));
    assert_eq!(record.stop(CRASHING, &crashes, WALL), StopOutcome::Lifted);
    assert_eq!(tracker.record(&reports[0], at(21)), CrashVerdict::Repeated);
    assert_eq!(record.stopped().count(), 0);
    assert_eq!(tracker.record(&report(CRASHING, 3, 2), at(30)), CrashVerdict::Suspected);
    assert_eq!(tracker.record(&report(CRASHING, 4, 3), at(40)), CrashVerdict::Stopped);
    let (_, crashes) = tracker.unsaved().pop().expect("to be written");
    assert_eq!(record.stop(CRASHING, &crashes, WALL), StopOutcome::Stopped);
}

/// A frequent content is in flight at two crashes that others cause, and succeeds in between on
/// one entry. Another entry received only the crash reports and stops the content in the
/// store. The first entry must find that this stop is to be lifted.
#[test]
fn frequent_content() {
    let frequent = ContentDigest(1);
    let (busy, idle) = (CrashTracker::new(), CrashTracker::new());
    let reports = [report(frequent, 1, 0), report(frequent, 2, 1)];
    for tracker in [&busy, &idle] {
        tracker.record(&reports[0], at(0));
    }
    busy.record_success(frequent);
    for tracker in [&busy, &idle] {
        tracker.record(&reports[1], at(10));
    }
    assert!(!busy.is_stopped(frequent));
    let mut record = QuarantineRecord::default();
    let (_, crashes) = idle.unsaved().pop().expect("to be written");
    record.stop(frequent, &crashes, WALL);
    let disputed = busy.apply_record(&record, at(11));
    assert_eq!(disputed, [frequent]);
    assert!(record.lift(disputed[0], WALL));
    idle.apply_record(&record, at(12));
    assert!(!idle.is_stopped(frequent));
}

fn weighted(request: u128, upstream: usize, weight: CrashWeight) -> CrashReport {
    CrashReport { weight, ..report(CRASHING, request, upstream) }
}

/// Guards against breaks that are no crashes and are counted again for the same upstream.
#[test]
fn weighted_reports() {
    let tracker = CrashTracker::new();
    let half = CrashWeight(500);
    let crash = weighted(2, 0, CrashWeight::FULL);
    assert_eq!(tracker.record(&weighted(1, 0, half), at(0)), CrashVerdict::Suspected);
    assert_eq!(tracker.record(&crash, at(1)), CrashVerdict::Suspected, "in place of its break");
    assert_eq!(tracker.record(&weighted(3, 0, half), at(60)), CrashVerdict::Repeated);
    assert_eq!(tracker.record(&weighted(4, 1, half), at(61)), CrashVerdict::Suspected);
    assert_eq!(tracker.record(&weighted(5, 2, half), at(62)), CrashVerdict::Stopped);
}

/// Guards against reports that outlive the success by which they were withdrawn, or arrive after it.
#[test]
fn withdrawn_reports() {
    let tracker = CrashTracker::new();
    let (first, second) = (report(CRASHING, 1, 0), report(CRASHING, 2, 1));
    tracker.record(&first, at(0));
    let late = report(CRASHING, 3, 2);
    let reports = vec![first, late.clone()];
    assert!(!tracker.withdraw(&ContentCrashes { content: CRASHING, reports }));
    assert_eq!(tracker.record(&late, at(1)), CrashVerdict::Repeated);
    assert_eq!(tracker.record(&second, at(2)), CrashVerdict::Suspected);
    assert_eq!(tracker.record(&report(CRASHING, 4, 3), at(3)), CrashVerdict::Stopped);
    assert!(tracker.withdraw(&tracker.crashes_of(CRASHING, at(3))));
    assert!(!tracker.is_stopped(CRASHING));
    assert_eq!(tracker.count(), 0);
}

/// Guards against two processes that stop a content at once, tell each other, and both take it for
/// saved.
#[test]
fn unsaved_stop() {
    let tracker = CrashTracker::new();
    tracker.record(&report(CRASHING, 1, 0), at(0));
    tracker.record(&report(CRASHING, 2, 1), at(1));
    assert!(tracker.stop(&tracker.crashes_of(CRASHING, at(2)), at(2)));
    assert_eq!(tracker.unsaved().len(), 1);
    tracker.mark_stored(CRASHING);
    assert!(tracker.unsaved().is_empty());
}

fn gateway_tracker() -> CrashTracker {
    CrashTracker::with_policy(CrashPolicy::builder().stop_at(3).blames_stopped(true).build())
}

/// Guards against the stop of a harmless content that was in flight at each crash of a culprit but
/// one: at another process, or beside it.
#[test]
fn explained_crashes() {
    let harmless = ContentDigest(1);
    for order in 0..2 {
        let tracker = gateway_tracker();
        tracker.record(&report(CRASHING, 1, 0), at(0));
        for crash in 1..3 {
            tracker.record(&report(harmless, 10 + crash, crash as usize), at(10));
            tracker.record(&report(CRASHING, 2 + crash, crash as usize), at(10));
        }
        assert!(tracker.is_stopped(CRASHING));
        assert_eq!(tracker.record(&report(harmless, 19, 2), at(11)), CrashVerdict::Explained);
        let reports = (1..4).map(|crash| report(harmless, 10 + crash, crash as usize)).collect();
        let elsewhere = ContentCrashes { content: harmless, reports };
        let reports = (0..4).map(|crash| report(CRASHING, 20 + crash, crash as usize)).collect();
        let culprit = ContentCrashes { content: CRASHING, reports };
        if order == 0 {
            assert!(tracker.stop(&culprit, at(12)));
            assert!(!tracker.stop(&elsewhere, at(12)));
        } else {
            assert!(tracker.stop(&elsewhere, at(12)));
            assert!(tracker.stop(&culprit, at(12)));
            assert_eq!(tracker.take_explained(), [harmless].into());
        }
        assert!(tracker.is_stopped(CRASHING));
        assert!(!tracker.is_stopped(harmless), "order {order}");
    }
}

/// Guards against a culprit that stays because another content crashed upstreams before it.
#[test]
fn two_culprits() {
    let tracker = gateway_tracker();
    let other = ContentDigest(1);
    for crash in 0..3 {
        tracker.record(&report(CRASHING, crash, crash as usize), at(0));
    }
    for crash in 3..6 {
        tracker.record(&report(other, crash, crash as usize), at(10));
    }
    assert!(tracker.is_stopped(CRASHING) && tracker.is_stopped(other));
}

fn in_company(part: u64, upstream: usize, others: &[u64]) -> CrashReport {
    let company = others.iter().map(|other| ContentDigest::of_part(*other)).collect();
    CrashReport { company, ..report(ContentDigest::of_part(part), upstream as u128, upstream) }
}

fn refuses(tracker: &CrashTracker, parts: &[u64]) -> bool {
    let parts: BTreeSet<_> = parts.iter().map(|part| ContentDigest::of_part(*part)).collect();
    parts.iter().for_each(|part| _ = tracker.confirm(*part));
    !tracker.find_stopped(&parts).is_empty()
}

/// Guards against the refusal of a harmless part that comes with a bad one, and was in flight once when
/// an upstream crashed for another reason.
#[test]
fn usual_company() {
    let tracker = gateway_tracker();
    for crash in 0..3 {
        tracker.record(&in_company(7, crash, &[1]), at(crash as u64));
    }
    assert!(refuses(&tracker, &[7, 1]) && !refuses(&tracker, &[7]));
    tracker.record(&in_company(7, 3, &[2]), at(4));
    assert!(!refuses(&tracker, &[7, 2]), "one crash without its company");
    tracker.record(&in_company(7, 4, &[3]), at(5));
    assert!(refuses(&tracker, &[7]), "two crashes without its company");
}

/// Guards against a part that is refused only beside another one because some of its crashes had it.
#[test]
fn changing_company() {
    let tracker = gateway_tracker();
    for crash in 0..3 {
        tracker.record(&in_company(7, crash, &[crash as u64]), at(crash as u64));
    }
    assert!(refuses(&tracker, &[7]));
}

/// Guards against a stop that stays unwritten, or is written again and again, when its company changes.
#[test]
fn widened_stop() {
    let tracker = gateway_tracker();
    let part = ContentDigest::of_part(7);
    for crash in 0..3 {
        tracker.record(&in_company(7, crash, &[1]), at(crash as u64));
    }
    let (_, crashes) = tracker.unsaved().pop().expect("to be written");
    tracker.mark_stored_with(part, &crashes);
    assert_eq!(tracker.record(&in_company(7, 3, &[2]), at(4)), CrashVerdict::AlreadyStopped);
    assert!(tracker.unsaved().is_empty());
    assert_eq!(tracker.record(&in_company(7, 4, &[2]), at(5)), CrashVerdict::Widened);
    let (_, widened) = tracker.unsaved().pop().expect("to be written");
    tracker.mark_stored_with(part, &crashes);
    assert_eq!(tracker.unsaved().len(), 1, "the store has the stop in more company");
    tracker.mark_stored_with(part, &widened);
    assert!(tracker.unsaved().is_empty());
}

/// Guards against a stopped content that runs again because many others became suspects after it.
#[test]
fn stops_outlast_suspects() {
    let policy = CrashPolicy::builder().stop_at(2).max_suspects(4).build();
    let tracker = CrashTracker::with_policy(policy);
    tracker.record(&report(CRASHING, 1, 0), at(0));
    tracker.record(&report(CRASHING, 2, 1), at(1));
    for suspect in 100..120 {
        tracker.record(&report(ContentDigest(suspect), suspect, suspect as usize), at(10));
    }
    assert!(tracker.is_stopped(CRASHING));
    assert!(tracker.count() <= 4);
}
