//! What only an entry is told.

use std::time::Duration;

use sagespool_types::ByteCount;

use crate::check::{CheckNode, ObjectNode};

/// The settings of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// The longest body of a caller; in the file it stands under `http`.
    pub body_limit: ByteCount,
    /// The longest head of a caller, request line and headers; in the file under `http` too.
    pub header_limit: ByteCount,
    /// How requests are routed and paid for.
    pub policy: PolicySettings,
    /// How the home keeps its books.
    pub ledger: LedgerSettings,
    /// How many requests may wait.
    pub queue: QueueSettings,
}

/// How requests are routed and paid for. Other than the first of each, the
/// choices are there to be measured against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicySettings {
    /// How an upstream is chosen.
    pub routing: RoutingStrategy,
    /// How a request is paid for.
    pub budget: BudgetStrategy,
}

/// How an upstream is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingStrategy {
    /// The fleet's own policy.
    Sagespool,
    /// Each in turn.
    RoundRobin,
    /// The lowest load that was reported.
    LeastReportedLoad,
    /// The less loaded of two taken at random.
    TwoChoices,
}

/// How a request is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetStrategy {
    /// From grants of the platform's object.
    Escrow,
    /// By a conditional update for each request.
    StoreEachRequest,
    /// From a fixed share of the budget for each entry.
    StaticSplit {
        /// Between how many entries.
        entries: u32,
    },
}

/// How the home keeps its books.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// How often charges are settled in the store.
    pub settle_interval: Duration,
    /// For how long ahead, at the present demand, grants are taken.
    pub grant_ahead: Duration,
}

/// How many requests may wait for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Beyond this many, new requests are refused.
    pub most_waiting: u32,
}

/// The fields that [`read_entry`] reads beside the common ones.
pub(crate) const ENTRY_FIELDS: [&str; 3] = ["policy", "ledger", "queue"];

const KILOBYTE: u64 = 1024;
const MEGABYTE: u64 = 1024 * KILOBYTE;
const DEFAULT_BODY_LIMIT: ByteCount = ByteCount(MEGABYTE);
/// A dispatch must fit in one frame of the link (8 MB) with room for a resumed answer.
const GREATEST_BODY_LIMIT: u64 = 4 * MEGABYTE;
const DEFAULT_HEADER_LIMIT: ByteCount = ByteCount(16 * KILOBYTE);
const GREATEST_HEADER_LIMIT: u64 = 256 * KILOBYTE;

const DEFAULT_LEDGER: LedgerSettings = LedgerSettings {
    settle_interval: Duration::from_secs(2),
    grant_ahead: Duration::from_secs(30),
};
const DEFAULT_POLICY: PolicySettings =
    PolicySettings { routing: RoutingStrategy::Sagespool, budget: BudgetStrategy::Escrow };
const DEFAULT_QUEUE: QueueSettings = QueueSettings { most_waiting: 10_000 };

const SETTLE_RANGE_MS: std::ops::RangeInclusive<u64> = 10..=60_000;
const AHEAD_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=86_400_000;

const ROUTING_WORDS: [(&str, RoutingStrategy); 4] = [
    ("sagespool", RoutingStrategy::Sagespool),
    ("round-robin", RoutingStrategy::RoundRobin),
    ("least-reported-load", RoutingStrategy::LeastReportedLoad),
    ("two-choices", RoutingStrategy::TwoChoices),
];
const BUDGET_WORDS: [(&str, BudgetStrategy); 2] =
    [("escrow", BudgetStrategy::Escrow), ("store-each-request", BudgetStrategy::StoreEachRequest)];

pub(crate) fn read_entry(object: &ObjectNode) -> Option<EntrySettings> {
    let limits = read_limits(object);
    let policy = object.or("policy", DEFAULT_POLICY, |node| node.object(read_policy));
    let ledger = object.or("ledger", DEFAULT_LEDGER, |node| node.object(read_ledger));
    let queue = object.or("queue", DEFAULT_QUEUE, |node| node.object(read_queue));
    let (body_limit, header_limit) = limits?;
    Some(EntrySettings {
        body_limit,
        header_limit,
        policy: policy?,
        ledger: ledger?,
        queue: queue?,
    })
}

/// The longest body and the longest head. `http` itself, and that it is an object, is checked
/// with the common fields.
fn read_limits(object: &ObjectNode) -> Option<(ByteCount, ByteCount)> {
    let http = object.peek("http")?;
    let body = http.or("body_limit_bytes", DEFAULT_BODY_LIMIT, |node| {
        node.number(1..=GREATEST_BODY_LIMIT).map(ByteCount)
    });
    let header = http.or("header_limit_bytes", DEFAULT_HEADER_LIMIT, |node| {
        node.number(KILOBYTE..=GREATEST_HEADER_LIMIT).map(ByteCount)
    });
    Some((body?, header?))
}

fn read_policy(object: &ObjectNode) -> Option<PolicySettings> {
    let routing = object.or("routing", DEFAULT_POLICY.routing, |node| node.one_of(&ROUTING_WORDS));
    let budget = object.or("budget", DEFAULT_POLICY.budget, read_budget);
    Some(PolicySettings { routing: routing?, budget: budget? })
}

/// A word, or `{"static-split": {"entries": 3}}`.
fn read_budget(node: CheckNode) -> Option<BudgetStrategy> {
    if !node.is_object() {
        let hint = "or {\"static-split\": {\"entries\": N}}";
        return node.one_of_or(&BUDGET_WORDS, hint);
    }
    node.object(|object| {
        object.required("static-split", |split| {
            split.object(|split| {
                let entries = split.required("entries", |node| node.small_number(1..=1000));
                Some(BudgetStrategy::StaticSplit { entries: entries? })
            })
        })
    })
}

fn read_ledger(object: &ObjectNode) -> Option<LedgerSettings> {
    let settle_interval = object.or("settle_interval_ms", DEFAULT_LEDGER.settle_interval, |node| {
        node.millis(SETTLE_RANGE_MS)
    });
    let grant_ahead =
        object.or("grant_ahead_ms", DEFAULT_LEDGER.grant_ahead, |node| node.millis(AHEAD_RANGE_MS));
    Some(LedgerSettings { settle_interval: settle_interval?, grant_ahead: grant_ahead? })
}

fn read_queue(object: &ObjectNode) -> Option<QueueSettings> {
    let most_waiting = object
        .or("most_waiting", DEFAULT_QUEUE.most_waiting, |node| node.small_number(1..=1_000_000));
    Some(QueueSettings { most_waiting: most_waiting? })
}
