//! Asking operators' questions while a scenario runs, for the judgement of what was answered.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_operations::OperatorAnswer;
use sagespool_types::{BranchName, ClockTime};

use super::OperatorClient;

/// Between two questions; each kind comes up every second or two.
const ASK_PERIOD: Duration = Duration::from_millis(300);

/// A question, and what was answered.
#[derive(Debug, Clone)]
pub struct AnswerSample {
    /// The entry, by its place.
    pub entry: usize,
    /// The line.
    pub line: String,
    /// Before it was asked.
    pub before: ClockTime,
    /// After it was answered.
    pub after: ClockTime,
    /// The answer.
    pub answer: OperatorAnswer,
}

/// Asks in turn about each branch's spend and about the fleet, each time through the next entry, for
/// as long as it isn't told to end. Entries that don't answer are passed over: silence states nothing.
pub async fn ask_around(
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
        if let Ok(answer) = operator.ask(entries[entry], line).await {
            let after = ClockTime::now();
            samples.push(AnswerSample { entry, line: line.clone(), before, after, answer });
        }
        number += 1;
        smol::Timer::after(ASK_PERIOD).await;
    }
    samples
}
