//! Requests that were not answered, by time, route and reason.

use std::collections::BTreeMap;
use std::fmt;

use comfy_table::Table;

use crate::LogLine;

/// Requests of one route that ended for one reason in one time interval.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LossGroup {
    /// The start of the interval, in seconds since the first line.
    pub second: i64,
    /// The route.
    pub route: String,
    /// The outcome and its detail.
    pub reason: String,
}

/// Length of an interval in seconds. It is short because the worst periods of a day are short.
const INTERVAL_S: i64 = 2;

/// Counts of requests that were not answered completely.
#[derive(Debug, Default)]
pub struct LossReport {
    first: Option<i64>,
    losses: BTreeMap<LossGroup, u64>,
    /// All requests per interval.
    ended: BTreeMap<i64, u64>,
}

impl LossReport {
    /// Adds a log line. Intervals are counted from the first line added; lines of other instances that
    /// are added later but have an earlier time fall into negative intervals.
    pub fn add_line(&mut self, line: LogLine<'_>) {
        let Some(millis) = line.millis() else {
            return;
        };
        let first = *self.first.get_or_insert(millis);
        if line.event() != "request-ended" {
            return;
        }
        let second = (millis - first).div_euclid(1000 * INTERVAL_S) * INTERVAL_S;
        *self.ended.entry(second).or_default() += 1;
        let outcome = line.field("outcome").unwrap_or_default();
        if outcome == "answered" {
            return;
        }
        let detail = line.field("detail").unwrap_or_default();
        let route = line.field("route").unwrap_or_default().to_owned();
        let reason = format!("{outcome} {detail}").trim_end().to_owned();
        *self.losses.entry(LossGroup { second, route, reason }).or_default() += 1;
    }

    /// The number of requests in a group.
    pub fn count(&self, group: &LossGroup) -> u64 {
        self.losses.get(group).copied().unwrap_or_default()
    }
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.set_header(["from second", "of", "route", "lost", "reason"]);
        for (group, count) in &self.losses {
            let ended = self.ended.get(&group.second).copied().unwrap_or_default();
            table.add_row([
                group.second.to_string(),
                ended.to_string(),
                group.route.clone(),
                count.to_string(),
                group.reason.clone(),
            ]);
        }
        write!(f, "{table}")
    }
}
