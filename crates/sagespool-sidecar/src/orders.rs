//! Orders to the engine, kept in the order of their fencing numbers.
//!
//! Operators race each other, and an order may be held up on its way. Some
//! engines refuse an order with an old number, others ignore the number, so
//! the sidecar refuses it for either kind.
//!
//! The number is kept in memory, and a sidecar that was restarted would take
//! the held up order for the first: its engine, if it ignores numbers, would do
//! what a newer order undid. So a desk takes no order until it has been told
//! the newest number that the store gave out. A number is taken in the store
//! before its order is sent, so whatever this sidecar's earlier runs carried
//! out has a number that the store shows at the start of this one.

use std::sync::Mutex;

use sagespool_log::log_event;
use sagespool_messages::{EngineOrder, OrderReply, OrderRequest, UpstreamKind};
use sagespool_types::FenceNumber;
use serde_json::{Value, json};

use crate::shards::lock;
use crate::upstream::OrderOutcome;
use crate::{Dispatcher, UpstreamClient};

/// Why an order isn't carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A newer one was seen: this number.
    Stale(FenceNumber),
    /// The newest number isn't known yet.
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

/// The newest order seen, and the engine's turn.
#[derive(Debug, Default)]
pub struct OrderDesk {
    /// Nothing until the store's newest number is known.
    newest: Mutex<Option<FenceNumber>>,
    turn: async_lock::Mutex<()>,
}

impl OrderDesk {
    /// A desk that has seen no order and takes none yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes orders from now on, if they aren't older than the newest number
    /// that the store had given out after this process's start. What that order
    /// left behind is put in force before any other is taken; a second telling
    /// changes nothing, since orders may have come after the first.
    pub fn started(&self, newest: FenceNumber, put_in_force: impl FnOnce()) {
        let mut seen = lock(&self.newest);
        if seen.is_none() {
            put_in_force();
            *seen = Some(newest);
        }
    }

    /// Notes an order's number.
    ///
    /// # Errors
    ///
    /// If a higher number was seen, or may have been before this process's start.
    pub fn admit(&self, fence: FenceNumber) -> Result<(), OrderRefusal> {
        self.admit_then(fence, || {})
    }

    /// Notes an order's number and carries it out before another is noted: of two
    /// that come at the same time the older must not be carried out last.
    ///
    /// # Errors
    ///
    /// As `admit`; it isn't carried out then.
    pub fn admit_then(
        &self,
        fence: FenceNumber,
        carry_out: impl FnOnce(),
    ) -> Result<(), OrderRefusal> {
        let mut newest = lock(&self.newest);
        match *newest {
            None => Err(OrderRefusal::NotReady),
            Some(seen) if seen > fence => Err(OrderRefusal::Stale(seen)),
            Some(_) => {
                *newest = Some(fence);
                carry_out();
                Ok(())
            }
        }
    }

    /// Gives an order to the engine, unless a newer one was seen.
    ///
    /// Orders go to the engine one at a time. One that waited for its turn is
    /// checked again: a newer one may have come and gone meanwhile.
    pub async fn pass_on(
        &self,
        engine: &UpstreamClient,
        fence: FenceNumber,
        order: &Value,
    ) -> OrderReply {
        if let Err(refusal) = self.admit(fence) {
            return refusal.into();
        }
        let _turn = self.turn.lock().await;
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

/// An order in the engine's own form; none for what the sidecar does itself.
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
    /// Takes orders from now on, and is drained as the newest order before this process's start says.
    pub fn start_orders(&self, newest: FenceNumber, is_drained: bool) {
        self.orders.started(newest, || self.load.set_drained(is_drained));
    }

    /// Carries out an operator's order.
    pub async fn carry_out(&self, request: &OrderRequest) -> OrderReply {
        let reply = match &request.order {
            EngineOrder::Drain(is_on) => self.drain(request.fence, *is_on),
            order => self.order_engine(request.fence, order).await,
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
        match self.orders.admit_then(fence, || self.load.set_drained(is_on)) {
            Ok(()) => OrderReply::Done,
            Err(refusal) => refusal.into(),
        }
    }

    async fn order_engine(&self, fence: FenceNumber, order: &EngineOrder) -> OrderReply {
        let Some(order) = engine_order(order).filter(|_| self.kind == UpstreamKind::Engine) else {
            return OrderReply::Failed("a plain service takes no such order".to_owned());
        };
        self.orders.pass_on(&self.upstream, fence, &order).await
    }
}
