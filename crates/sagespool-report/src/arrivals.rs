//! Where requests arrived, whose they were, and why they were lost.

use std::collections::BTreeMap;
use std::fmt;

use comfy_table::Table;

use crate::LogLine;

/// Rows of the table of losses; the rest is summed up in one row.
const MAX_LOSS_ROWS: usize = 40;

/// Requests that one account lost at one gateway for one reason.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ArrivalLoss {
    /// The gateway.
    pub gateway: String,
    /// The account; empty on open routes and for unknown keys.
    pub branch: String,
    /// The outcome and its detail.
    pub reason: String,
}

/// The load of one gateway.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GatewayArrivals {
    /// Requests that ended.
    pub ended: u64,
    /// Of these, the answered ones.
    pub answered: u64,
    /// Connections that were closed unread.
    pub closed_unread: u64,
    /// Attempts at upstreams that failed before anything was sent.
    pub unsent: u64,
    /// Requests of each account.
    branches: BTreeMap<String, u64>,
    /// Milliseconds from a request's head to its end, of the answered ones.
    answer_ms: Vec<u64>,
}

impl GatewayArrivals {
    /// The account with most requests, and their number.
    pub fn busiest(&self) -> Option<(&str, u64)> {
        let busiest = self.branches.iter().max_by_key(|(_, count)| **count)?;
        Some((busiest.0, *busiest.1))
    }

    fn median_ms(&self) -> u64 {
        let mut answer_ms = self.answer_ms.clone();
        answer_ms.sort_unstable();
        answer_ms.get(answer_ms.len() / 2).copied().unwrap_or_default()
    }
}

/// Requests by gateway, account and reason.
#[derive(Debug, Default)]
pub struct ArrivalReport {
    gateways: BTreeMap<String, GatewayArrivals>,
    losses: BTreeMap<ArrivalLoss, u64>,
}

impl ArrivalReport {
    /// Adds a log line of a gateway.
    pub fn add_line(&mut self, gateway: &str, line: LogLine<'_>) {
        match line.event() {
            "request-ended" => self.add_request(gateway, line),
            "connections-closed-unread" => {
                self.gateway(gateway).closed_unread += line.value("count").unwrap_or(0);
            }
            "send-failed" if line.field("sends") == Some("0") => self.gateway(gateway).unsent += 1,
            _ => {}
        }
    }

    /// The load of a gateway; `None` if no line of it was added.
    pub fn of(&self, gateway: &str) -> Option<&GatewayArrivals> {
        self.gateways.get(gateway)
    }

    /// The number of requests lost as described.
    pub fn count(&self, loss: &ArrivalLoss) -> u64 {
        self.losses.get(loss).copied().unwrap_or_default()
    }

    fn gateway(&mut self, name: &str) -> &mut GatewayArrivals {
        self.gateways.entry(name.to_owned()).or_default()
    }

    fn add_request(&mut self, name: &str, line: LogLine<'_>) {
        let branch = line.field("branch").unwrap_or_default().to_owned();
        let outcome = line.field("outcome").unwrap_or_default();
        let gateway = self.gateway(name);
        gateway.ended += 1;
        *gateway.branches.entry(branch.clone()).or_default() += 1;
        if outcome == "answered" {
            gateway.answered += 1;
            gateway.answer_ms.extend(line.value::<u64>("total_ms"));
            return;
        }
        let detail = line.field("detail").unwrap_or_default();
        let reason = format!("{outcome} {detail}").trim_end().to_owned();
        let loss = ArrivalLoss { gateway: name.to_owned(), branch, reason };
        *self.losses.entry(loss).or_default() += 1;
    }

    fn gateway_table(&self) -> Table {
        let ended: u64 = self.gateways.values().map(|gateway| gateway.ended).sum();
        let share = |part: u64, whole: u64| format!("{:.2}", part as f64 / whole.max(1) as f64);
        let mut table = Table::new();
        table.set_header([
            "gateway",
            "ended",
            "of fleet",
            "answered",
            "median ms",
            "unread",
            "unsent",
            "busiest",
            "of gateway",
        ]);
        let mut rows: Vec<_> = self.gateways.iter().collect();
        rows.sort_by_key(|(_, gateway)| std::cmp::Reverse(gateway.ended));
        for (name, gateway) in rows {
            let (busiest, count) = gateway.busiest().unwrap_or_default();
            table.add_row([
                name.clone(),
                gateway.ended.to_string(),
                share(gateway.ended, ended),
                share(gateway.answered, gateway.ended),
                gateway.median_ms().to_string(),
                gateway.closed_unread.to_string(),
                gateway.unsent.to_string(),
                busiest.to_owned(),
                share(count, gateway.ended),
            ]);
        }
        table
    }

    fn loss_table(&self) -> Table {
        let mut table = Table::new();
        table.set_header(["gateway", "account", "lost", "reason"]);
        let mut rows: Vec<_> = self.losses.iter().collect();
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let rest: u64 = rows.iter().skip(MAX_LOSS_ROWS).map(|(_, count)| **count).sum();
        for (loss, count) in rows.iter().take(MAX_LOSS_ROWS) {
            let ArrivalLoss { gateway, branch, reason } = loss;
            table.add_row([gateway.clone(), branch.clone(), count.to_string(), reason.clone()]);
        }
        if rest > 0 {
            table.add_row(["all others", "", &rest.to_string(), ""]);
        }
        table
    }
}

impl fmt::Display for ArrivalReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\n{}", self.gateway_table(), self.loss_table())
    }
}
