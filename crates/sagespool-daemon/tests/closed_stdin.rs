//! A process whose harness is killed.

use std::path::Path;
use std::time::Duration;

use sagespool_testkit::{ChildProcess, END_WITH_STDIN, free_udp_port};
use serde_json::json;

const EXIT_STDIN_CLOSED: i32 = 4;
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against processes of a killed test run that live on and call ports of later tests.
#[test]
fn closed_stdin() {
    let directory = tempfile::tempdir().expect("a directory");
    // A relay whose store can't be reached.
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
    let daemon = Path::new(env!("CARGO_BIN_EXE_sagespoold"));
    let arguments = [END_WITH_STDIN.as_ref(), path.as_os_str()];
    let relay = ChildProcess::start(daemon, &arguments, &directory.path().join("log"));
    let relay = relay.expect("it starts");
    let running = relay.try_wait().expect("its own child");
    assert!(running.is_none(), "it runs while the input is open");
    relay.close_stdin();
    let status = relay.wait(EXIT_TIMEOUT).expect("it ends by itself");
    assert_eq!(status.code(), Some(EXIT_STDIN_CLOSED));
}
