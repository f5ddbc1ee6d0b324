//! The oracle for configuration changes, on logs with known faults.

use std::time::{Duration, SystemTime};

use sagespool_testkit::load::{ConfigLog, judge_log};
use sagespool_types::StoreRevision;

const FLEET: &str = "configuration/fleet";
const SHARD: &str = "configuration/branches/7";

fn at(seconds: u64) -> SystemTime {
    // 2026-01-01T00:00:00Z
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_767_225_600 + seconds)
}

fn line(second: u64, object: &str, version: u64) -> String {
    format!(
        "time=2026-01-01T00:00:{second:02}.500000Z level=info event=configuration-applied \
         object={object} version={version}\n"
    )
}

fn changes() -> ConfigLog {
    let mut log = ConfigLog::default();
    log.note_accepted(FLEET.to_owned(), StoreRevision(5), at(10));
    log.note_accepted(SHARD.to_owned(), StoreRevision(6), at(11));
    log
}

#[test]
fn log_verdicts() {
    let whole = [line(10, FLEET, 5), line(11, SHARD, 6)].concat();
    let half = Duration::from_millis(500);
    let seconds = |seconds| Duration::from_millis(500) + Duration::from_secs(seconds);
    let case = |name, is_entry, text: String, broken: (u64, u64), in_force: Vec<Duration>| {
        let verdict = judge_log("east", is_entry, &text, &changes());
        let found = (verdict.config_missing, verdict.config_reversions);
        assert_eq!((found, verdict.in_force), (broken, in_force), "{name}");
    };
    case("applied", true, whole.clone(), (0, 0), vec![half, half]);
    let later = [line(12, FLEET, 9), line(12, SHARD, 6)].concat();
    case("superseded by a newer version", true, later, (0, 0), vec![seconds(2), seconds(1)]);
    case("a sidecar follows no branches", false, line(10, FLEET, 5), (0, 0), vec![half]);
    case("one not applied", true, line(10, FLEET, 5), (1, 0), vec![half]);
    let back = [whole, line(13, FLEET, 4)].concat();
    case("reverted", true, back, (0, 1), vec![half, half]);
}

#[test]
fn absent_process() {
    // A process that is down during a change cannot apply it at once. Its time counts from its
    // start, separately from the processes that were reachable.
    let mut log = changes();
    log.note_absent("east".to_owned(), at(9));
    log.note_present("east".to_owned(), at(12));
    let text = [line(13, FLEET, 5), line(13, SHARD, 6)].concat();
    let verdict = judge_log("east", true, &text, &log);
    let since_start = Duration::from_millis(1500);
    assert_eq!(verdict.catch_up, [since_start, since_start]);
    assert!(verdict.in_force.is_empty(), "{verdict:?}");
    let other = judge_log("west", true, &text, &log);
    assert_eq!((other.in_force.len(), other.catch_up.len()), (2, 0));
}
