//! The judgement of orders, from what each engine was given.

use crate::fleet::RunningFleet;
use crate::{FakeEngine, OrderRecord};

/// What engines were ordered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderVerdict {
    /// Orders carried out.
    pub carried_out: u64,
    /// Of those, orders with a lower number than one that was carried out before.
    pub stale: u64,
    /// What was found, in words.
    pub findings: Vec<String>,
}

/// Judges the orders to every engine of a fleet.
pub fn judge_orders(fleet: &RunningFleet) -> OrderVerdict {
    let mut verdict = OrderVerdict::default();
    for engine in fleet.engines.values() {
        judge_engine(engine, &engine.orders(), &mut verdict);
    }
    verdict
}

fn judge_engine(engine: &FakeEngine, orders: &[OrderRecord], verdict: &mut OrderVerdict) {
    let mut newest = None;
    for record in orders.iter().filter(|record| record.accepted) {
        let fence = record.fenced.fence;
        verdict.carried_out += 1;
        if newest.is_some_and(|newest| newest > fence) {
            verdict.stale += 1;
            verdict.findings.push(format!(
                "stale order: {} carried out {fence} after {newest:?}: {:?}",
                engine.name(),
                record.fenced.order
            ));
        }
        newest = newest.max(Some(fence));
    }
}
