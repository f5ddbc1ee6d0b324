//! A process whose listen address is in use.

mod common;

use std::time::Duration;

use common::*;
use sagespool_testkit::ChildProcess;
use serde_json::{Value, json};

const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Exit code of a process that couldn't start.
const EXIT_START_FAILED: i32 = 1;

/// Starts a second process with a member's settings after `change`, and waits for its exit. Returns its
/// exit code and its log.
fn start_second(fleet: &TestFleet, index: usize, change: impl Fn(&mut Value)) -> (i32, String) {
    let member = &fleet.members[index];
    let text = std::fs::read_to_string(&member.settings).expect("the fleet wrote it");
    let mut settings: Value = serde_json::from_str(&text).expect("the fleet writes JSON");
    change(&mut settings);
    let path = fleet.directory().join("second.json");
    std::fs::write(&path, settings.to_string()).expect("the directory is the test's own");
    let log = fleet.directory().join("second.log");
    let daemon = &fleet.options.binaries.daemon;
    let process = ChildProcess::start(daemon, &[path.as_os_str()], &log).expect("it starts");
    let status = process.wait(EXIT_TIMEOUT).expect("it exits by itself");
    (status.code().unwrap_or_default(), process.log_text().expect("it has a log"))
}

#[test]
fn taken_address() {
    // An instance is replaced while its predecessor still holds the port. A new process that ran
    // without the port would hold leases and gossip as an entry that no caller can reach, and nothing
    // would restart it. It must exit at once, and log the reason.
    run(async {
        let fleet = SmallFleet::default().start().await;
        for index in [fleet.entries()[0], fleet.sidecars(ENGINES)[0]] {
            let free_link = |settings: &mut Value| {
                settings["link"]["listen"] = json!("127.0.0.1:0");
            };
            let (code, log) = start_second(&fleet, index, free_link);
            assert_eq!(code, EXIT_START_FAILED, "{log}");
            assert!(log.contains("start-failed"), "{log}");
            let free_http = |settings: &mut Value| {
                settings["http"]["listen"] = json!("127.0.0.1:0");
            };
            let (code, log) = start_second(&fleet, index, free_http);
            assert_eq!(code, EXIT_START_FAILED, "{log}");
        }
        assert!(fleet.all_run(), "a process has ended");
    });
}
