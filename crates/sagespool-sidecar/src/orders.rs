//! Executes operators' orders in the order of their fencing numbers.
//!
//! Orders of several operators race, and an order may be delayed in transit.
//! Some engines refuse an order with an old number and others ignore the
//! number, so the sidecar refuses it for both kinds.
//!
//! The newest number is kept in memory. A restarted sidecar would accept a
//! delayed order as its first, and an engine that ignores numbers would then
//! revert a newer order. The fence therefore accepts no order until it has the
//! newest number that the store has issued. A number is issued before its order
//! is sent, so the store shows the numbers of all orders that earlier
//! incarnations executed.

use std::sync::Mutex;

use sagespool_log::log_event;
use sagespool_messages::{EngineOrder, OrderReply, OrderRequest, UpstreamKind};
use sagespool_types::FenceNumber;
use serde_json::{Value, json};

use crate::shards::lock;
use crate::upstream::OrderOutcome;
use crate::{Dispatcher, UpstreamClient};

/// Why an order is not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// An order with this higher number was accepted already.
    Stale(FenceNumber),
    /// The newest number was not read from the store yet.
    NotReady,
}

impl From<OrderRefusal> for OrderReply {
    fn from(refusal: OrderRefusal) -> Self {
        match refusal {
            OrderRefusal::Stale(newest) => Self::Stale { newest },
            OrderRefusal::NotReady => Self::NotReady,
        }
    }
}

/// Tracks the newest fencing number and serializes orders to the engine.
#[derive(Debug, Default)]
pub struct OrderFence {
    /// `None` until the store's newest number is known.
    newest: Mutex<Option<FenceNumber>>,
    sending: async_lock::Mutex<()>,
}

impl OrderFence {
    /// A fence that accepts no order until [`Self::start`] is called.
    pub fn new() -> Self {
        Self::default()
    }

    /// Accepts orders from now on that are not older than `newest`, the newest
    /// number that the store had issued after this process started. `restore`
    /// applies the state of that order before any other is accepted. Later calls
    /// have no effect, because newer orders may have been accepted meanwhile.
    pub fn start(&self, newest: FenceNumber, restore: impl FnOnce()) {
        let mut known = lock(&self.newest);
        if known.is_none() {
            restore();
            *known = Some(newest);
        }
    }

    /// Accepts an order's number.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderRefusal`] if a higher number was accepted, or if an earlier process may
    /// have accepted one.
    pub fn admit(&self, fence: FenceNumber) -> Result<(), OrderRefusal> {
        self.admit_and_apply(fence, || {})
    }

    /// Accepts an order's number and applies the order under the same lock. Of two
    /// simultaneous orders, the older must not be applied last.
    ///
    /// # Errors
    ///
    /// As [`Self::admit`]; the order is not applied then.
    pub fn admit_and_apply(
        &self,
        fence: FenceNumber,
        apply: impl FnOnce(),
    ) -> Result<(), OrderRefusal> {
        let mut newest = lock(&self.newest);
        match *newest {
            None => Err(OrderRefusal::NotReady),
            Some(known) if known > fence => Err(OrderRefusal::Stale(known)),
            Some(_) => {
                *newest = Some(fence);
                apply();
                Ok(())
            }
        }
    }

    /// Sends an order to the engine, unless a newer one was accepted.
    ///
    /// Orders are sent one at a time. An order that waited is checked again,
    /// because a newer one may have been accepted meanwhile.
    pub async fn send(
        &self,
        engine: &UpstreamClient,
        fence: FenceNumber,
        order: &Value,
    ) -> OrderReply {
        if let Err(refusal) = self.admit(fence) {
            return refusal.into();
        }
        let _sending = self.sending.lock().await;
        if let Err(refusal) = self.admit(fence) {
            return refusal.into();
        }
        match engine.order(fence, order).await {
            OrderOutcome::Done => OrderReply::Done,
            OrderOutcome::Stale { newest } => {
                let _ = self.admit(newest);
                OrderReply::Stale { newest }
            }
            OrderOutcome::Failed(detail) => OrderReply::Failed(detail),
        }
    }
}

/// The engine's form of an order; `None` for orders that the sidecar executes itself.
fn engine_order(order: &EngineOrder) -> Option<Value> {
    match order {
        EngineOrder::LoadModel(model) => Some(json!({ "load_model": model })),
        EngineOrder::UnloadModel(model) => Some(json!({ "unload_model": model })),
        EngineOrder::LoadAdapter { model, adapter } => {
            Some(json!({ "load_adapter": { "model": model, "adapter": adapter } }))
        }
        EngineOrder::Drain(_) => None,
    }
}

impl Dispatcher {
    /// Accepts orders from now on, and restores the drain state of the newest earlier order.
    pub fn start_orders(&self, newest: FenceNumber, is_drained: bool) {
        self.orders.start(newest, || self.load.set_drained(is_drained));
    }

    /// Executes an operator's order.
    pub async fn execute_order(&self, request: &OrderRequest) -> OrderReply {
        let reply = match &request.order {
            EngineOrder::Drain(is_on) => self.drain(request.fence, *is_on),
            order => self.send_engine_order(request.fence, order).await,
        };
        let (command, fence) = (request.command, request.fence);
        let outcome = match &reply {
            OrderReply::Done => "done",
            OrderReply::Stale { .. } => "stale",
            OrderReply::Failed(_) => "failed",
            OrderReply::NotReady => "not-ready",
        };
        log_event!(info, "order-ended", command = command, fence = fence, outcome = outcome);
        reply
    }

    fn drain(&self, fence: FenceNumber, is_on: bool) -> OrderReply {
        match self.orders.admit_and_apply(fence, || self.load.set_drained(is_on)) {
            Ok(()) => OrderReply::Done,
            Err(refusal) => refusal.into(),
        }
    }

    async fn send_engine_order(&self, fence: FenceNumber, order: &EngineOrder) -> OrderReply {
        let Some(order) = engine_order(order).filter(|_| self.kind == UpstreamKind::Engine) else {
            return OrderReply::Failed("a plain service does not support this order".to_owned());
        };
        self.orders.send(&self.upstream, fence, &order).await
    }
}
