//! Orders to an engine, with their fencing numbers.

use sagespool_types::{ClockTime, FenceNumber, derives};

derives! { record;
    /// An order to an engine.
    #[serde(rename_all = "snake_case")]
    pub enum EngineOrder {
        /// Load and serve a model, or a version of one.
        LoadModel(String),
        /// Stop serving a model; running requests continue.
        UnloadModel(String),
        /// Load an adapter and serve it under the name `MODEL.ADAPTER`.
        LoadAdapter(AdapterName),
        /// Change the role.
        SetRole(String),
    }
}

derives! { record;
    /// An adapter and the model that it belongs to.
    pub struct AdapterName {
        /// The base model.
        pub model: String,
        /// The adapter's name, also the name of its weights.
        pub adapter: String,
    }
}

derives! { record;
    /// The request body of `POST /orders`.
    pub struct FencedOrder {
        /// Fencing number of the order.
        pub fence: FenceNumber,
        /// The order to execute.
        pub order: EngineOrder,
    }
}

/// An order that an engine received.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderRecord {
    /// Time of receipt.
    pub at: ClockTime,
    /// The order with its fencing number.
    pub fenced: FencedOrder,
    /// False if the order was refused for its fencing number.
    pub accepted: bool,
}

/// All orders that an engine received. It is kept across crashes, as the highest fencing number
/// has to be: otherwise an outdated order would be accepted after a restart.
pub(crate) struct OrderLog {
    honours_fences: bool,
    newest: Option<FenceNumber>,
    records: Vec<OrderRecord>,
}

impl OrderLog {
    pub(crate) fn new(honours_fences: bool) -> Self {
        Self { honours_fences, newest: None, records: Vec::new() }
    }

    /// Records an order. The error is the highest fencing number so far if the order is outdated.
    pub(crate) fn accept(
        &mut self,
        fenced: &FencedOrder,
        now: ClockTime,
    ) -> Result<(), FenceNumber> {
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
