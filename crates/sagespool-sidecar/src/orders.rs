//! Orders to the engine, kept in the order of their fencing numbers.
//!
//! Operators race each other, and an order may be held up on its way. Some
//! engines refuse an order with an old number, others ignore the number, so
//! the sidecar refuses it for either kind.

use std::sync::Mutex;

use sagespool_log::log_event;
use sagespool_messages::{EngineOrder, OrderReply, OrderRequest, UpstreamKind};
use sagespool_types::FenceNumber;
use serde_json::{Value, json};

use crate::shards::lock;
use crate::upstream::OrderOutcome;
use crate::{Dispatcher, UpstreamClient};

/// The newest order seen, and the engine's turn.
#[derive(Debug, Default)]
pub struct OrderDesk {
    newest: Mutex<Option<FenceNumber>>,
    turn: async_lock::Mutex<()>,
}

impl OrderDesk {
    /// A desk that has seen no order.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an order's number.
    ///
    /// # Errors
    ///
    /// The newest number seen, if that is higher.
    pub fn admit(&self, fence: FenceNumber) -> Result<(), FenceNumber> {
        let mut newest = lock(&self.newest);
        match *newest {
            Some(seen) if seen > fence => Err(seen),
            _ => {
                *newest = Some(fence);
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
        if let Err(newest) = self.admit(fence) {
            return OrderReply::Stale { newest };
        }
        let _turn = self.turn.lock().await;
        if let Err(newest) = self.admit(fence) {
            return OrderReply::Stale { newest };
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
        };
        log_event!(info, "order-ended", command = command, fence = fence, outcome = outcome);
        reply
    }

    fn drain(&self, fence: FenceNumber, is_on: bool) -> OrderReply {
        if let Err(newest) = self.orders.admit(fence) {
            return OrderReply::Stale { newest };
        }
        self.load.set_drained(is_on);
        OrderReply::Done
    }

    async fn order_engine(&self, fence: FenceNumber, order: &EngineOrder) -> OrderReply {
        let Some(order) = engine_order(order).filter(|_| self.kind == UpstreamKind::Engine) else {
            return OrderReply::Failed("a plain service takes no such order".to_owned());
        };
        self.orders.pass_on(&self.upstream, fence, &order).await
    }
}
