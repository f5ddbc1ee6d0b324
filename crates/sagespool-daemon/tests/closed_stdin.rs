//! A process whose harness is killed.

use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use sagespool_testkit::{END_WITH_STDIN, free_udp_port};
use serde_json::json;
use tempfile::TempDir;

const EXIT_STDIN_CLOSED: i32 = 4;
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts a relay whose store can't be reached.
fn start_relay(directory: &TempDir) -> Child {
    let settings = json!({
        "role": "relay",
        "instance": "relay-1",
        "region": "local",
        "centre": "east",
        "link": format!("127.0.0.1:{}", free_udp_port().expect("a free port")),
        "peers": [],
        "object_api": "127.0.0.1:1",
    });
    let path = directory.path().join("relay.json");
    std::fs::write(&path, settings.to_string()).expect("the directory is the test's own");
    Command::new(env!("CARGO_BIN_EXE_sagespoold"))
        .arg(END_WITH_STDIN)
        .arg(path)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .expect("it starts")
}

/// Guards against processes of a killed test run that live on and call ports of later tests.
#[test]
fn closed_stdin() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut relay = start_relay(&directory);
    assert!(relay.try_wait().expect("its own child").is_none(), "it runs while the input is open");
    drop(relay.stdin.take());
    let started = Instant::now();
    let status = loop {
        if let Some(status) = relay.try_wait().expect("its own child") {
            break status;
        }
        if started.elapsed() >= EXIT_TIMEOUT {
            let _ = relay.kill();
            panic!("the relay still runs");
        }
        thread::sleep(POLL_INTERVAL);
    };
    assert_eq!(status.code(), Some(EXIT_STDIN_CLOSED));
}
