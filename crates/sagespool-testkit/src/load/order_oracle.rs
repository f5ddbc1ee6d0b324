//! Checks that engines carry out no stale orders, from the orders that each engine received.

use crate::fleet::RunningFleet;
use crate::{FakeEngine, OrderRecord};

/// The result of checking orders.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderVerdict {
    /// Orders carried out.
    pub carried_out: u64,
    /// Of those, orders with a lower fencing number than an order carried out before.
    pub stale: u64,
    /// Human-readable details, one line each.
    pub findings: Vec<String>,
}

/// Checks the orders to every engine of a fleet.
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
