//! The contract of the process harness: signals, waiting, resource usage and cleanup.

use std::collections::HashSet;
use std::fs;
use std::net::{TcpListener, UdpSocket};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use sagespool_testkit::{ChildProcess, ProcessError, free_tcp_port, free_udp_port};
use sagespool_types::ByteCount;
use tempfile::TempDir;

const BOUND: Duration = Duration::from_secs(30);

/// Exits after a minute, in case the harness fails to kill it.
const IDLE: &str = "echo ready; exec sleep 60";

fn start(script: &str) -> (ChildProcess, TempDir) {
    let directory = tempfile::tempdir().expect("a directory");
    let log = directory.path().join("log");
    let shell = Path::new("/bin/sh");
    let process = ChildProcess::start(shell, &["-c", script], &log).expect("it starts");
    (process, directory)
}

fn until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < BOUND, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn printed(process: &ChildProcess, text: &str) -> bool {
    process.log_text().expect("a log").contains(text)
}

/// The state of a process in `/proc`, such as `R`, `S`, `T` or `Z`; none if there is no process.
fn state(id: u32) -> Option<char> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    stat.rsplit_once(") ")?.1.chars().next()
}

#[test]
fn exit_statuses() {
    const FOREVER: &str = "while :; do sleep 0.01; done";
    let on_term = format!("trap 'echo bye; exit 7' TERM; echo ready; {FOREVER}");
    let ignores_term = format!("trap '' TERM; echo ready; {FOREVER}");
    // Script, action on the process, expected exit code and signal.
    type Case<'a> = (&'a str, fn(&ChildProcess), Option<i32>, Option<i32>);
    let terminate = |process: &ChildProcess| process.terminate().expect("it runs");
    let kill = |process: &ChildProcess| {
        process.kill().expect("it is killed");
    };
    let kill_paused = |process: &ChildProcess| {
        process.pause().expect("it runs");
        process.kill().expect("it is killed");
    };
    let cases: [Case<'_>; 6] = [
        ("echo ready; exit 3", |_| {}, Some(3), None),
        (IDLE, terminate, None, Some(15)),
        (&on_term, terminate, Some(7), None),
        (IDLE, kill, None, Some(9)),
        (&ignores_term, kill, None, Some(9)),
        (IDLE, kill_paused, None, Some(9)),
    ];
    for (script, act, code, signal) in cases {
        let (process, _directory) = start(script);
        until(script, || printed(&process, "ready"));
        act(&process);
        let status = process.wait(BOUND).expect("it ends");
        assert_eq!((status.code(), status.signal()), (code, signal), "{script}");
    }
}

#[test]
fn bounded_wait() {
    let (process, _directory) = start(IDLE);
    let limit = Duration::from_millis(5);
    let error = process.wait(limit).expect_err("it runs on");
    assert_eq!(error.current_context(), &ProcessError::StillRunning(limit));
}

#[test]
fn paused_process() {
    // Pause and resume simulate a process that stalls while it holds leases.
    let (process, _directory) = start("while :; do echo tick; sleep 0.01; done");
    until("it runs", || printed(&process, "tick"));
    process.pause().expect("it runs");
    until("it is paused", || state(process.id()) == Some('T'));
    let ticks = process.log_text().expect("a log").len();
    process.resume().expect("it is running");
    until("it resumes", || process.log_text().expect("a log").len() > ticks);
}

#[test]
fn measured_usage() {
    let (busy, _directory) = start("while :; do :; done");
    let used = || busy.usage().expect("it runs");
    until("it has used the processor", || used().processor >= Duration::from_millis(50));
    let (idle, _directory) = start(IDLE);
    until("it sleeps", || printed(&idle, "ready") && state(idle.id()) == Some('S'));
    let idle_time = idle.usage().expect("it runs").processor;
    assert!(idle_time < Duration::from_millis(500), "{idle_time:?} of an idle process");
    let memory = used().peak_memory;
    assert!((ByteCount(100 << 10)..ByteCount(100 << 20)).contains(&memory), "{memory}");
}

#[test]
fn ended_process() {
    // A signal to an exited process must not reach another process that reuses its id.
    let (process, _directory) = start("exit 0");
    let status = process.wait(BOUND).expect("it ends");
    let ended = ProcessError::Ended(status);
    let calls = [
        process.terminate().expect_err("it has exited"),
        process.pause().expect_err("it has exited"),
        process.resume().expect_err("it has exited"),
        process.usage().map(drop).expect_err("it has exited"),
    ];
    for error in calls {
        assert_eq!(error.current_context(), &ended);
    }
    assert_eq!(process.kill().expect("it was waited for"), status);
}

#[test]
fn missing_program() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = directory.path().join("none");
    let log = directory.path().join("log");
    let error = ChildProcess::start::<&str>(&program, &[], &log).expect_err("it doesn't exist");
    assert_eq!(error.current_context(), &ProcessError::NotStarted(program));
}

#[test]
fn dropped_process() {
    // A failing test unwinds. No process may outlive it, not even a paused one.
    for pause in [false, true] {
        let (process, _directory) = start(IDLE);
        let id = process.id();
        if pause {
            process.pause().expect("it runs");
        }
        assert!(state(id).is_some());
        drop(process);
        assert_eq!(state(id), None);
    }
}

#[test]
fn free_ports() {
    let mut seen = HashSet::new();
    for _ in 0..200 {
        let (tcp, udp) = (free_tcp_port().expect("a port"), free_udp_port().expect("a port"));
        assert!(seen.insert(tcp) && seen.insert(udp), "a port was returned twice");
    }
    let port = free_tcp_port().expect("a port");
    TcpListener::bind(("127.0.0.1", port)).expect("it is free");
    let port = free_udp_port().expect("a port");
    UdpSocket::bind(("127.0.0.1", port)).expect("it is free");
}
