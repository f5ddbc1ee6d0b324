//! `sagespool check`, run as a process.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::{Value, json};

fn sagespool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sagespool")).args(arguments).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// A directory with a valid settings file and the certificate files that it names.
fn settings_directory() -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().unwrap();
    let settings = json!({
        "role": "entry",
        "instance": "entry-1",
        "region": "muscat",
        "centre": "ghala",
        "link": {
            "listen": "127.0.0.1:0",
            "certificate": "entry-1.pem",
            "key": "entry-1.key",
            "authority": "authority.pem"
        },
        "http": {"listen": "127.0.0.1:0"},
        "platform": {"object_api": "127.0.0.1:9001", "instance_list": "127.0.0.1:9002"}
    });
    let path = directory.path().join("entry-1.json");
    write_json(&path, &settings);
    for name in ["entry-1.pem", "entry-1.key", "authority.pem"] {
        fs::write(directory.path().join(name), "PEM").unwrap();
    }
    (directory, path)
}

fn write_json(path: &Path, value: &Value) {
    fs::write(path, value.to_string()).unwrap();
}

fn change(path: &Path, name: &str, value: Value) {
    let mut settings: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    settings[name] = value;
    write_json(path, &settings);
}

#[test]
fn valid_settings() {
    let (_directory, path) = settings_directory();
    let path = path.to_str().unwrap();
    let output = sagespool(&["check", path]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), format!("{path}: good, settings of entry `entry-1`\n"));
}

#[test]
fn all_errors_at_once() {
    let (directory, path) = settings_directory();
    fs::remove_file(directory.path().join("entry-1.key")).unwrap();
    let missing_key = sagespool(&["check", path.to_str().unwrap()]);
    assert_eq!(missing_key.status.code(), Some(1));
    assert!(stdout(&missing_key).contains("$.link.key: found `"), "{}", stdout(&missing_key));

    change(&path, "stop_limit", json!(5));
    change(&path, "peers", json!(["nowhere"]));
    let output = sagespool(&["check", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    let text = stdout(&output);
    assert!(text.contains("settings, 2 errors\n"), "{text}");
    assert!(text.contains("\n  $.peers[0]: found \"nowhere\"; allowed: an address"), "{text}");
    assert!(text.contains("did you mean `stop_limit_ms`?"), "{text}");
}

#[test]
fn json_output() {
    let (_directory, path) = settings_directory();
    change(&path, "centre", json!("Ghala"));
    let output = sagespool(&["check", "--json", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    let reports: Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(reports[0]["faults"][0]["path"], "$.centre");
    assert_eq!(reports[0]["faults"][0]["found"], "\"Ghala\"");
}

#[test]
fn usage_errors() {
    let nothing = sagespool(&["check"]);
    assert_eq!(nothing.status.code(), Some(2));
    assert!(stderr(&nothing).contains("help: sagespool check FILE"), "{}", stderr(&nothing));

    let missing = sagespool(&["check", "/nowhere/entry.json"]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(stderr(&missing).contains("error: can't read `/nowhere/entry.json`"));

    let unknown = sagespool(&["chekc", "file"]);
    assert_eq!(unknown.status.code(), Some(2));
}

#[test]
fn example_objects() {
    for example in ["majan", "cedarline"] {
        let directory = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let (fleet, branches) =
            (format!("{directory}/fleet.json"), format!("{directory}/branches.json"));
        let output = sagespool(&["check", "--fleet", &fleet, "--branches", &branches]);
        assert_eq!(output.status.code(), Some(0), "{example}: {}", stdout(&output));
    }
}

#[test]
fn dangling_reference() {
    let directory = tempfile::tempdir().unwrap();
    let (fleet, branches) =
        (directory.path().join("fleet.json"), directory.path().join("branches.json"));
    let class = json!({"name": "draft", "priority": 0, "deadline_ms": 9, "longest_deadline_ms": 9});
    let fleet_value = json!({
        "classes": [class], "default_class": "draft", "services": [],
        "key_retention_ms": 1000, "answer_retention_ms": 1000
    });
    write_json(&fleet, &fleet_value);
    let held_back = json!([{"class": "drafts", "tokens": 5}]);
    let branch = json!({"key_hashes": [], "held_back": held_back});
    write_json(&branches, &json!({"branches": {"ruwi-bids": branch}}));

    let (fleet, branches) = (fleet.to_str().unwrap(), branches.to_str().unwrap());
    assert_eq!(sagespool(&["check", "--branches", branches]).status.code(), Some(0));
    let output = sagespool(&["check", "--fleet", fleet, "--branches", branches]);
    assert_eq!(output.status.code(), Some(1));
    let text = stdout(&output);
    assert!(
        text.contains("held_back[0].class: found \"drafts\"; allowed: one of `draft`"),
        "{text}"
    );
}
