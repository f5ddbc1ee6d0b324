//! Orders to an engine, and the fencing numbers that they carry.

use sagespool_types::{ClockTime, FenceNumber, derives};

derives! { record;
    /// What an engine is told to do.
    #[serde(rename_all = "snake_case")]
    pub enum EngineOrder {
        /// Serve a model, or a version of one.
        LoadModel(String),
        /// Stop serving a model; what runs goes on.
        UnloadModel(String),
        /// Serve a model with an adapter, under the name `MODEL.ADAPTER`.
        LoadAdapter(AdapterName),
        /// Take a role.
        SetRole(String),
    }
}

derives! { record;
    /// An adapter of a model.
    pub struct AdapterName {
        /// The model.
        pub model: String,
        /// The adapter.
        pub adapter: String,
    }
}

derives! { record;
    /// The body of an order call.
    pub struct FencedOrder {
        /// The order's fencing number.
        pub fence: FenceNumber,
        /// The order.
        pub order: EngineOrder,
    }
}

/// An order that reached an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderRecord {
    /// When.
    pub at: ClockTime,
    /// The order.
    pub fenced: FencedOrder,
    /// Whether it was carried out, not refused for its fencing number.
    pub accepted: bool,
}

/// The orders that an engine was given. It outlives the engine's crashes, as the highest
/// fencing number must: else an old order would pass after a restart.
pub(crate) struct OrderBook {
    honours_fences: bool,
    newest: Option<FenceNumber>,
    records: Vec<OrderRecord>,
}

impl OrderBook {
    pub(crate) fn new(honours_fences: bool) -> Self {
        Self { honours_fences, newest: None, records: Vec::new() }
    }

    /// Notes an order; an error is the newest number that makes it too old.
    pub(crate) fn take(&mut self, fenced: &FencedOrder, now: ClockTime) -> Result<(), FenceNumber> {
        let newer = self.newest.filter(|newest| *newest > fenced.fence);
        let refusal = newer.filter(|_| self.honours_fences);
        self.newest = self.newest.max(Some(fenced.fence));
        let accepted = refusal.is_none();
        self.records.push(OrderRecord { at: now, fenced: fenced.clone(), accepted });
        match refusal {
            Some(newest) => Err(newest),
            None => Ok(()),
        }
    }

    pub(crate) fn records(&self) -> Vec<OrderRecord> {
        self.records.clone()
    }
}
