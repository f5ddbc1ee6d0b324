//! Orders with stale fencing numbers, at engines that check the numbers and engines that do not.

#![allow(clippy::unwrap_used)]

mod harness;

use harness::*;
use sagespool_messages::{EngineOrder, OrderReply, OrderRequest, UpstreamKind};
use sagespool_sidecar::{OrderFence, UpstreamClient};
use sagespool_testkit::EngineOrder as ExecutedOrder;
use sagespool_types::{CommandId, FenceNumber};
use serde_json::json;
use smol::block_on;
use smol::future::{poll_once, zip};

fn order(fence: u64, order: EngineOrder) -> OrderRequest {
    OrderRequest { command: CommandId(fence.into()), fence: FenceNumber(fence), order }
}

fn load(fence: u64) -> OrderRequest {
    order(fence, EngineOrder::LoadModel("clause-3b".parse().unwrap()))
}

fn unload(fence: u64) -> OrderRequest {
    order(fence, EngineOrder::UnloadModel("clause-3b".parse().unwrap()))
}

const STALE: OrderReply = OrderReply::Stale { newest: FenceNumber(5) };

// Two operators race. One unloads a model, and the other's older order to load it
// is delayed in transit. An engine that ignores numbers would load it again.
#[test]
fn stale_order() {
    for honours_fences in [true, false] {
        let engine = engine(|options| options.honours_fences = honours_fences);
        let dispatcher = dispatcher_at(&engine);
        block_on(async {
            assert_eq!(dispatcher.execute_order(&unload(5)).await, OrderReply::Done);
            assert_eq!(dispatcher.execute_order(&load(4)).await, STALE);
            assert_eq!(dispatcher.execute_order(&unload(5)).await, OrderReply::Done, "sent again");
        });
        let reached = engine.orders().iter().map(|record| record.fenced.fence.0).max();
        assert_eq!(reached, Some(5));
        let loads = |order: &ExecutedOrder| matches!(order, ExecutedOrder::LoadModel(_));
        assert!(!engine.orders().iter().any(|record| loads(&record.fenced.order)));
    }
}

// The engine hangs on one order while two more arrive, the newer one last. The
// older of the two waits and must be refused when it is its turn.
#[test]
fn waiting_order() {
    let engine = engine(|options| options.honours_fences = false);
    let client = UpstreamClient::new(engine.address());
    let order_fence = OrderFence::new();
    order_fence.start(FenceNumber(0), || {});
    let unload = json!({ "unload_model": "clause-3b" });
    let send = |fence| Box::pin(order_fence.send(&client, FenceNumber(fence), &unload));
    engine.set_frozen(true);
    let replies = block_on(async {
        let mut orders = [send(3), send(4), send(5)];
        for order in &mut orders {
            assert_eq!(poll_once(order).await, None);
        }
        engine.set_frozen(false);
        let [first, older, newer] = orders;
        zip(zip(first, older), newer).await
    });
    assert_eq!(replies, ((OrderReply::Done, STALE), OrderReply::Done));
    let reached: Vec<_> = engine.orders().iter().map(|record| record.fenced.fence.0).collect();
    assert_eq!(reached, [3, 5]);
}

// A newer order reached the engine through another sidecar. The sidecar must adopt
// the newer number from the engine's reply.
#[test]
fn newer_at_engine() {
    let engine = engine(|_| {});
    let (first, second) = (dispatcher_at(&engine), dispatcher_at(&engine));
    block_on(async {
        first.execute_order(&unload(5)).await;
        assert_eq!(second.execute_order(&load(4)).await, STALE);
        engine.crash();
        assert_eq!(
            second.execute_order(&load(4)).await,
            STALE,
            "the number is known without the engine"
        );
        let reply = second.execute_order(&load(6)).await;
        assert!(matches!(reply, OrderReply::Failed(_)), "{reply:?}");
    });
}

// An order to load a model is delayed in transit, a newer one unloads it, and the
// sidecar restarts. The delayed order is the first that the new process receives,
// and an engine that ignores numbers would load the model again.
#[test]
fn restarted_sidecar() {
    for honours_fences in [true, false] {
        let engine = engine(|options| options.honours_fences = honours_fences);
        block_on(async {
            assert_eq!(dispatcher_at(&engine).execute_order(&unload(5)).await, OrderReply::Done);
            let restarted = unstarted(engine.address(), UpstreamKind::Engine);
            assert_eq!(restarted.execute_order(&load(4)).await, OrderReply::NotReady);
            assert_eq!(restarted.execute_order(&load(6)).await, OrderReply::NotReady);
            restarted.start_orders(FenceNumber(5), true);
            assert!(restarted.load().is_drained());
            assert_eq!(restarted.execute_order(&load(4)).await, STALE);
            assert_eq!(restarted.execute_order(&unload(6)).await, OrderReply::Done);
        });
        let loads = |order: &ExecutedOrder| matches!(order, ExecutedOrder::LoadModel(_));
        assert!(!engine.orders().iter().any(|record| loads(&record.fenced.order)));
    }
}

// Orders that start and end a drain race. The newest order must take effect.
#[test]
fn fenced_drain() {
    let engine = engine(|_| {});
    let dispatcher = dispatcher_at(&engine);
    block_on(async {
        assert_eq!(
            dispatcher.execute_order(&order(5, EngineOrder::Drain(true))).await,
            OrderReply::Done
        );
        assert_eq!(dispatcher.execute_order(&order(4, EngineOrder::Drain(false))).await, STALE);
        assert!(dispatcher.load().is_drained());
        dispatcher.execute_order(&order(6, EngineOrder::Drain(false))).await;
        assert!(!dispatcher.load().is_drained());
    });
    assert_eq!(engine.orders(), []);
}
