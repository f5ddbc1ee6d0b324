//! Settings of entries.

use std::time::Duration;

use sagespool_types::ByteCount;

use crate::check::{ObjectNode, ValueNode};

/// The settings of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// The maximum size of a caller's request body; in the file under `http`.
    pub body_limit: ByteCount,
    /// The maximum size of a caller's request line and headers; in the file under `http`.
    pub header_limit: ByteCount,
    /// How requests are routed and paid for.
    pub policy: PolicySettings,
    /// How the home accounts for its branches.
    pub ledger: LedgerSettings,
    /// Bounds of the request queue.
    pub queue: QueueSettings,
}

/// How requests are routed and paid for. The first variant of each is the one for production; the
/// others are baselines for comparison.
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
    /// Sagespool's own routing policy.
    Sagespool,
    /// Upstreams in turn.
    RoundRobin,
    /// The upstream with the lowest reported load.
    LeastReportedLoad,
    /// The less loaded of two upstreams chosen at random.
    TwoChoices,
}

/// How a request is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetStrategy {
    /// From grants on the budget, which is an object of the platform's store.
    Escrow,
    /// By a conditional update in the store for each request.
    StoreEachRequest,
    /// From a fixed share of the budget for each entry.
    StaticSplit {
        /// The number of entries that share the budget.
        entries: u32,
    },
}

/// How the home accounts for its branches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// How often charges are settled in the store.
    pub settle_interval: Duration,
    /// How long a grant is meant to last at the present demand.
    pub grant_ahead: Duration,
}

/// How many requests may wait for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// New requests are rejected while this many are waiting.
    pub most_waiting: u32,
}

/// The fields that [`read_entry`] reads in addition to the common ones.
pub(crate) const ENTRY_FIELDS: [&str; 3] = ["policy", "ledger", "queue"];

const KILOBYTE: u64 = 1024;
const MEGABYTE: u64 = 1024 * KILOBYTE;
const DEFAULT_BODY_LIMIT: ByteCount = ByteCount(MEGABYTE);
/// A dispatch must fit in one frame of the link (8 MB) with room for a resumed answer.
const MAX_BODY_LIMIT: u64 = 4 * MEGABYTE;
const DEFAULT_HEADER_LIMIT: ByteCount = ByteCount(16 * KILOBYTE);
const MAX_HEADER_LIMIT: u64 = 256 * KILOBYTE;

const DEFAULT_LEDGER: LedgerSettings = LedgerSettings {
    settle_interval: Duration::from_secs(2),
    grant_ahead: Duration::from_secs(30),
};
const DEFAULT_POLICY: PolicySettings =
    PolicySettings { routing: RoutingStrategy::Sagespool, budget: BudgetStrategy::Escrow };
const DEFAULT_QUEUE: QueueSettings = QueueSettings { most_waiting: 10_000 };

const SETTLE_INTERVAL_RANGE_MS: std::ops::RangeInclusive<u64> = 10..=60_000;
const GRANT_AHEAD_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=86_400_000;

const ROUTING_STRATEGIES: [(&str, RoutingStrategy); 4] = [
    ("sagespool", RoutingStrategy::Sagespool),
    ("round-robin", RoutingStrategy::RoundRobin),
    ("least-reported-load", RoutingStrategy::LeastReportedLoad),
    ("two-choices", RoutingStrategy::TwoChoices),
];
const BUDGET_STRATEGIES: [(&str, BudgetStrategy); 2] =
    [("escrow", BudgetStrategy::Escrow), ("store-each-request", BudgetStrategy::StoreEachRequest)];

pub(crate) fn read_entry(object: &ObjectNode) -> Option<EntrySettings> {
    let limits = read_limits(object);
    let policy = object.or_default("policy", DEFAULT_POLICY, |node| node.object(read_policy));
    let ledger = object.or_default("ledger", DEFAULT_LEDGER, |node| node.object(read_ledger));
    let queue = object.or_default("queue", DEFAULT_QUEUE, |node| node.object(read_queue));
    let (body_limit, header_limit) = limits?;
    Some(EntrySettings {
        body_limit,
        header_limit,
        policy: policy?,
        ledger: ledger?,
        queue: queue?,
    })
}

/// The limits on body and header sizes. That `http` is present and an object is checked with the
/// common fields.
fn read_limits(object: &ObjectNode) -> Option<(ByteCount, ByteCount)> {
    let http = object.peek_object("http")?;
    let body = http.or_default("body_limit_bytes", DEFAULT_BODY_LIMIT, |node| {
        node.number(1..=MAX_BODY_LIMIT).map(ByteCount)
    });
    let header = http.or_default("header_limit_bytes", DEFAULT_HEADER_LIMIT, |node| {
        node.number(KILOBYTE..=MAX_HEADER_LIMIT).map(ByteCount)
    });
    Some((body?, header?))
}

fn read_policy(object: &ObjectNode) -> Option<PolicySettings> {
    let routing = object
        .or_default("routing", DEFAULT_POLICY.routing, |node| node.one_of(&ROUTING_STRATEGIES));
    let budget = object.or_default("budget", DEFAULT_POLICY.budget, read_budget);
    Some(PolicySettings { routing: routing?, budget: budget? })
}

/// A strategy name, or `{"static-split": {"entries": 3}}`.
fn read_budget(node: ValueNode) -> Option<BudgetStrategy> {
    if !node.is_object() {
        let also = "or {\"static-split\": {\"entries\": N}}";
        return node.one_of_or(&BUDGET_STRATEGIES, also);
    }
    node.object(|object| {
        object.required("static-split", |split| {
            split.object(|split| {
                let entries = split.required("entries", |node| node.number_u32(1..=1000));
                Some(BudgetStrategy::StaticSplit { entries: entries? })
            })
        })
    })
}

fn read_ledger(object: &ObjectNode) -> Option<LedgerSettings> {
    let settle_interval =
        object.or_default("settle_interval_ms", DEFAULT_LEDGER.settle_interval, |node| {
            node.millis(SETTLE_INTERVAL_RANGE_MS)
        });
    let grant_ahead = object.or_default("grant_ahead_ms", DEFAULT_LEDGER.grant_ahead, |node| {
        node.millis(GRANT_AHEAD_RANGE_MS)
    });
    Some(LedgerSettings { settle_interval: settle_interval?, grant_ahead: grant_ahead? })
}

fn read_queue(object: &ObjectNode) -> Option<QueueSettings> {
    let most_waiting = object.or_default("most_waiting", DEFAULT_QUEUE.most_waiting, |node| {
        node.number_u32(1..=1_000_000)
    });
    Some(QueueSettings { most_waiting: most_waiting? })
}
