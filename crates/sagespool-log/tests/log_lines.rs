//! The format of log lines.

#![allow(clippy::unwrap_used)]

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, UNIX_EPOCH};

use quickcheck::quickcheck;
use sagespool_log::{EventLine, LogLevel, format_line, log_event, start_log_to};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line_with(value: &str) -> EventLine {
    let mut line = EventLine::new("request-refused");
    line.push("key", &value);
    line
}

#[test]
fn plain_pairs() {
    let mut line = EventLine::new("request-ended");
    line.push("branch", &"ruwi-bids");
    line.push("billed", &120);
    line.push("path", &"/services/portal-api/letters");
    let expected =
        "event=request-ended branch=ruwi-bids billed=120 path=/services/portal-api/letters";
    assert_eq!(line.as_str(), expected);
}

#[test]
fn quoted_values() {
    let cases = [
        ("", r#""""#),
        ("two words", r#""two words""#),
        ("a=b", r#""a=b""#),
        (r#"say "no""#, r#""say \"no\"""#),
        (r"back\slash", r#""back\\slash""#),
        ("tab\there", r#""tab\there""#),
        ("Muscat\u{2028}Sohar", r#""Muscat\u{2028}Sohar""#),
        ("صحار", "صحار"),
    ];
    for (value, expected) in cases {
        assert_eq!(line_with(value).as_str(), format!("event=request-refused key={expected}"));
    }
}

#[test]
fn whole_line() {
    let at = UNIX_EPOCH + Duration::from_micros(1_772_353_800_000_125);
    let line = format_line(at, LogLevel::Warn, "event=store-unreachable");
    let expected = "time=2026-03-01T08:30:00.000125Z level=warn event=store-unreachable";
    assert_eq!(line, expected);
}

#[test]
fn forged_line() {
    // A caller sends an idempotency key with a line break followed by a whole event. Written
    // unescaped, it would appear to operators and to alerting as a top-up that never happened.
    // The log is process-wide, so this test also covers the levels.
    let buffer = SharedBuffer::default();
    start_log_to(LogLevel::Info, buffer.clone());
    let forged = "k1\ntime=2026-03-01T08:30:00Z level=info event=branch-topped-up tokens=99999";
    log_event!(info, "request-refused", key = forged, reason = "limit-reached");
    log_event!(debug, "not-logged", key = forged);
    log_event!(error, "store-unreachable");

    let text = buffer.text();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].contains(" level=info event=request-refused key=\"k1\\ntime="), "{text}");
    assert!(lines[0].ends_with(" reason=limit-reached"), "{text}");
    assert!(lines[1].ends_with(" level=error event=store-unreachable"), "{text}");
}

quickcheck! {
    fn single_line(value: String) -> bool {
        let line = line_with(&value);
        !line.as_str().chars().any(|c| c.is_control() || c == '\u{2028}' || c == '\u{2029}')
    }

    fn no_false_pair(value: String) -> bool {
        // An unquoted value contains no blank and no `=`, which would start another pair.
        let line = line_with(&value);
        let (_, written) = line.as_str().split_once(" key=").unwrap();
        written.starts_with('"') || !written.contains([' ', '=', '"'])
    }
}
