//! `sagespool LINE`, run as a process without a fleet.

#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::net::TcpListener;
use std::process::{Command, Output, Stdio};

use serde_json::Value;

fn sagespool(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sagespool"));
    command.args(arguments).env_remove("SAGESPOOL_ENTRY").env_remove("SAGESPOOL_TOKEN");
    command
}

fn run(arguments: &[&str]) -> Output {
    sagespool(arguments).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// The address of a closed port.
fn nowhere() -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    listener.local_addr().unwrap().to_string()
}

#[test]
fn wrong_line() {
    let output = run(&["spned", "ruwi-bids"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(text.contains("error: `spned` is not a query or a command"), "{text}");
    assert!(text.contains("  spned ruwi-bids\n  ^^^^^\n"), "{text}");
    assert!(text.contains("did you mean `spend`?"), "{text}");

    let output = run(&["--json", "top-up a many"]);
    assert_eq!(output.status.code(), Some(2));
    let value: Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(value["error"]["code"], "bad-line");
    assert_eq!(value["error"]["line"]["at"]["start"], 9);
}

#[test]
fn missing_options() {
    let no_entry = run(&["spend"]);
    assert_eq!(no_entry.status.code(), Some(2));
    assert!(stderr(&no_entry).contains("--entry IP:PORT"), "{}", stderr(&no_entry));
    let no_token = run(&["--entry", "127.0.0.1:1", "spend"]);
    assert_eq!(no_token.status.code(), Some(2));
    assert!(stderr(&no_token).contains("SAGESPOOL_TOKEN"), "{}", stderr(&no_token));
    let bad_entry = sagespool(&["spend"]).env("SAGESPOOL_ENTRY", "nowhere").output().unwrap();
    assert_eq!(bad_entry.status.code(), Some(2));
}

/// The error for an unknown option suggests a similar one; the error for a value names what is
/// allowed.
#[test]
fn wrong_options() {
    let cases: [(&[&str], &str); 7] = [
        (&["--entyr", "spend"], "did you mean `--entry`?\nhelp: `sagespool --help`"),
        (&["--entry", "here", "spend"], "`here` is not an entry: IP:PORT"),
        (&["--wait", "long", "spend"], "`long` is not a number of seconds"),
        (&["check", "--flet", "f"], "did you mean `--fleet`?\nhelp: `sagespool check --help`"),
        (&["certificates", "--nmaes", "a"], "did you mean `--names`?"),
        (&["chekc", "f"], "did you mean `check`?"),
        (&["--entry", "127.0.0.1:1", "--token", "", "spend"], "the operator's key is missing"),
    ];
    for (arguments, wanted) in cases {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(stderr(&output).contains(wanted), "{arguments:?}: {}", stderr(&output));
    }
    let variable = sagespool(&["spend"]).env("SAGESPOOL_ENTRY", "127.0.0.1:1,here").output();
    assert!(stderr(&variable.unwrap()).contains("SAGESPOOL_ENTRY names no entry: `here`"));
}

#[test]
fn help_json() {
    let value: Value = serde_json::from_str(&stdout(&run(&["--json", "help", "drain"]))).unwrap();
    assert_eq!(value["answer"]["kind"], "help");
    assert_eq!(value["answer"]["lines"].as_array().map(Vec::len), Some(1));
}

#[test]
fn help_lines() {
    let all = stdout(&run(&["help"]));
    assert!(all.contains("top-up BRANCH TOKENS") && all.contains("spend [BRANCH"), "{all}");
    let one = stdout(&run(&["help", "drain"]));
    assert!(one.starts_with("drain UPSTREAM|INSTANCE") && one.lines().count() == 2, "{one}");
    let options = stderr(&run(&["--help"]));
    assert!(options.contains("--entry") && options.contains("sagespool check"), "{options}");
}

/// No entry can be reached. Whether a command was accepted is unknown, so its id is shown: a retry with
/// the same id runs the command at most once.
#[test]
fn no_answer() {
    let (first, second) = (nowhere(), nowhere());
    let entries = ["--entry", first.as_str(), "--entry", second.as_str(), "--token", "k"];
    let output = run(&[&entries[..], &["spend"]].concat());
    assert_eq!(output.status.code(), Some(3));
    let text = stderr(&output);
    assert!(text.contains(&first) && text.contains(&second), "{text}");
    assert!(!text.contains("--command"), "{text}");
    let output = run(&[&entries[..], &["--command", "abc", "top-up a 5"]].concat());
    assert_eq!(output.status.code(), Some(3));
    let wanted = "--command 00000000000000000000000000000abc";
    assert!(stderr(&output).contains(wanted), "{}", stderr(&output));
}

/// A script on standard input: skips comments and empty lines, and exits with the highest exit code of
/// its lines.
#[test]
fn script_lines() {
    let mut child = sagespool(&["--entry", &nowhere(), "--token", "k"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let script = "# what there is\n\nhelp spend\nspned\nexit\nhelp drain\n";
    child.stdin.take().unwrap().write_all(script.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = stdout(&output);
    assert!(text.contains("spend [BRANCH") && !text.contains("drain"), "{text}");
    assert!(!text.contains("sagespool>"), "no prompt without a terminal: {text}");
    assert!(stderr(&output).contains("did you mean `spend`?"));
}
