//! The oracles for operators' answers and for leaving upstreams detect violations.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_messages::UpstreamKind;
use sagespool_testkit::load::{
    AnswerFacts, AnswerSample, CallKind, CallOutcome, CallRecord, DepositLog, FaultLog,
    PlannedCall, SendRecord, judge_answers, judge_leaving,
};
use sagespool_testkit::{RunEnd, RunLog, RunStart};
use sagespool_types::{BranchName, ClockTime, TokenCount, UpstreamName};
use serde_json::json;

fn seconds(number: u64) -> ClockTime {
    ClockTime::default().after(Duration::from_secs(number))
}

/// An answer to `spend first`, sent and received at 20 s.
fn spend_sample(prepaid: u64, settled: u64, least: u64) -> AnswerSample {
    let entry = json!({"instance": "east-entry-1", "incarnation": "1", "role": "entry"});
    let answer = json!({
        "basis": {
            "entry": entry, "from": 1, "to": 2, "store": "not-asked", "answered": [], "silent": [],
        },
        "answer": {"kind": "spend", "left_out": 0, "rows": [{
            "branch": "first",
            "book": {
                "version": 4, "prepaid": prepaid, "settled": settled, "granted": 0, "in_doubt": 0,
                "free": prepaid - settled,
            },
            "running": {"least": 0, "most": 0},
            "spent": {"least": least, "most": null},
        }]},
    });
    AnswerSample {
        entry: 0,
        line: "spend first".to_owned(),
        before: seconds(20),
        after: seconds(20),
        answer: serde_json::from_value(answer).unwrap(),
    }
}

fn false_statements(sample: AnswerSample) -> u64 {
    false_statements_about(&[], sample)
}

fn false_statements_about(records: &[CallRecord], sample: AnswerSample) -> u64 {
    let branch: BranchName = "first".parse().unwrap();
    let mut deposits = DepositLog::default();
    for (amount, at) in [(100, 1), (50, 10), (30, 30)] {
        deposits.note_started(&branch, TokenCount(amount), seconds(at));
        deposits.note(&branch, TokenCount(amount), seconds(at + 1));
    }
    let facts = AnswerFacts {
        records,
        runs: &[],
        deposits: &deposits,
        fault_log: &FaultLog::default(),
        process_events: &[],
        writes: &[],
        entries: &["east-entry-1".parse().unwrap()],
        upstreams: &BTreeMap::new(),
    };
    judge_answers(&[sample], &facts).false_statements
}

/// Nothing ran, and 150 tokens were prepaid at the time of the answer.
#[test]
fn spend_answers() {
    assert_eq!(false_statements(spend_sample(150, 0, 0)), 0);
    assert_eq!(false_statements(spend_sample(180, 0, 0)), 1, "a deposit that is made later");
    assert_eq!(false_statements(spend_sample(100, 0, 0)), 1, "a deposit is missing");
    assert_eq!(false_statements(spend_sample(150, 5, 0)), 1, "nothing was billed");
    assert_eq!(false_statements(spend_sample(150, 0, 5)), 1, "nothing was spent");
}

/// A call of 5 tokens at most that was sent at 15 s and is refused. Its runs have no marker.
fn unmarked_call(sent: ClockTime) -> CallRecord {
    let call = PlannedCall::builder()
        .marker("mark:first/7".parse().unwrap())
        .at(Duration::ZERO)
        .token("token".to_owned())
        .kind(CallKind::Completion {
            model: "small".parse().unwrap(),
            prompt: "late".to_owned(),
            max_tokens: 4,
            length: 4,
            stream: true,
        })
        .entry(0)
        .build();
    assert_eq!(call.greatest_cost(), TokenCount(5));
    let outcome = CallOutcome::Refused {
        reason: "quarantined".to_owned(),
        run_state: "unknown".to_owned(),
        billed: TokenCount(3),
    };
    let send = SendRecord {
        entry: 0,
        sent,
        ended: seconds(16),
        first_token: None,
        request: None,
        outcome,
    };
    CallRecord { call, sends: vec![send] }
}

/// Guards against true answers judged false: calls with the content of others have runs without a
/// marker, and what they are billed wasn't expected.
#[test]
fn unmarked_runs() {
    let sent = [unmarked_call(seconds(15))];
    assert_eq!(false_statements_about(&sent, spend_sample(150, 5, 5)), 0);
    assert_eq!(false_statements_about(&sent, spend_sample(150, 6, 0)), 1, "above its cost");
    assert_eq!(false_statements_about(&sent, spend_sample(150, 0, 6)), 1, "above its cost");
    let later = [unmarked_call(seconds(21))];
    assert_eq!(false_statements_about(&later, spend_sample(150, 0, 1)), 1, "not sent yet");
}

/// A run that arrived 4 s after its upstream began to leave, and one that was interrupted.
#[test]
fn late_runs() {
    let upstream: UpstreamName = "engines-1".parse().unwrap();
    let (run_log, fault_log) = (RunLog::new(), FaultLog::default());
    let span = fault_log.begin_leaving(&upstream, "stop", seconds(10));
    for (at, end) in [(12, RunEnd::Finished), (14, RunEnd::Finished), (12, RunEnd::Dropped)] {
        let start = RunStart {
            upstream: upstream.clone(),
            kind: UpstreamKind::Engine,
            request: None,
            attempt: None,
            marker: Some("mark:first/7".parse().unwrap()),
            key: None,
            prompt_tokens: TokenCount(5),
            resumed_from: TokenCount(0),
            arrived_at: seconds(at),
        };
        run_log.start(start, seconds(at)).end(end, seconds(at + 1));
    }
    fault_log.end_leaving(span, seconds(20), true);
    let verdict = judge_leaving(&[], &run_log, &fault_log);
    assert_eq!((verdict.cut, verdict.late_dispatches, verdict.not_resumed), (1, 1, 1));
}
