//! When and why requests weren't answered.

use std::collections::BTreeMap;
use std::fmt;

use comfy_table::Table;

use crate::LogLine;

/// Requests of one route that ended for one reason in one stretch of time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LossCause {
    /// The stretch's start, in seconds since the first line.
    pub second: i64,
    /// The route.
    pub route: String,
    /// What became of the request, and why.
    pub reason: String,
}

/// Length of a stretch, in seconds: two, as the worst stretches of a day are short.
const STRETCH_S: i64 = 2;

/// Requests that weren't answered whole.
#[derive(Debug, Default)]
pub struct LossReport {
    first: Option<i64>,
    losses: BTreeMap<LossCause, u64>,
    /// All requests of each stretch.
    ended: BTreeMap<i64, u64>,
}

impl LossReport {
    /// Takes a line into account. Stretches are counted from the first line; those of instances
    /// whose lines come later, but were written earlier, have negative ones.
    pub fn note(&mut self, line: LogLine<'_>) {
        let Some(millis) = line.millis() else {
            return;
        };
        let first = *self.first.get_or_insert(millis);
        if line.event() != "request-ended" {
            return;
        }
        let second = (millis - first).div_euclid(1000 * STRETCH_S) * STRETCH_S;
        *self.ended.entry(second).or_default() += 1;
        let outcome = line.field("outcome").unwrap_or_default();
        if outcome == "answered" {
            return;
        }
        let detail = line.field("detail").unwrap_or_default();
        let route = line.field("route").unwrap_or_default().to_owned();
        let reason = format!("{outcome} {detail}").trim_end().to_owned();
        *self.losses.entry(LossCause { second, route, reason }).or_default() += 1;
    }

    /// How many requests ended so.
    pub fn count(&self, cause: &LossCause) -> u64 {
        self.losses.get(cause).copied().unwrap_or_default()
    }
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.set_header(["from second", "of", "route", "lost", "reason"]);
        for (cause, count) in &self.losses {
            let ended = self.ended.get(&cause.second).copied().unwrap_or_default();
            table.add_row([
                cause.second.to_string(),
                ended.to_string(),
                cause.route.clone(),
                count.to_string(),
                cause.reason.clone(),
            ]);
        }
        write!(f, "{table}")
    }
}
