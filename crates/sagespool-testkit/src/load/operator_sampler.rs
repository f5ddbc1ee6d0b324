//! Samples operator queries and their answers while a scenario runs.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_operations::OperatorAnswer;
use sagespool_types::{BranchName, ClockTime};

use super::OperatorClient;

/// Pause between two queries; each kind of query recurs every second or two.
const ASK_PERIOD: Duration = Duration::from_millis(300);

/// A query and its answer.
#[derive(Debug, Clone)]
pub struct AnswerSample {
    /// Index of the queried entry.
    pub entry: usize,
    /// The query as an operator types it.
    pub line: String,
    /// Taken before the query was sent.
    pub before: ClockTime,
    /// Taken after the answer was received.
    pub after: ClockTime,
    /// The answer.
    pub answer: OperatorAnswer,
}

/// Queries each branch's spend and the state of the fleet in turn, each time through the next
/// entry, until `ended` returns true. Queries without an answer are skipped: there is nothing to
/// check.
pub async fn sample_answers(
    operator: OperatorClient,
    entries: Vec<SocketAddr>,
    branches: Vec<BranchName>,
    ended: impl Fn() -> bool,
) -> Vec<AnswerSample> {
    let mut lines = vec!["running".to_owned(), "upstreams".to_owned()];
    for branch in &branches {
        lines.push(format!("spend {branch}"));
        lines.push("running".to_owned());
    }
    lines.extend(["members".to_owned(), "upstreams".to_owned(), "configuration".to_owned()]);
    let mut samples = Vec::new();
    let mut number = 0;
    while !ended() {
        let (entry, line) = (number % entries.len(), &lines[number % lines.len()]);
        let before = ClockTime::now();
        if let Ok(answer) = operator.query(entries[entry], line).await {
            let after = ClockTime::now();
            samples.push(AnswerSample { entry, line: line.clone(), before, after, answer });
        }
        number += 1;
        smol::Timer::after(ASK_PERIOD).await;
    }
    samples
}
