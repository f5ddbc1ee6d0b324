//! Orders with old fencing numbers, at engines of both kinds.

#![allow(clippy::unwrap_used)]

mod bench;

use bench::*;
use sagespool_messages::{EngineOrder, OrderReply, OrderRequest, UpstreamKind};
use sagespool_sidecar::{OrderDesk, UpstreamClient};
use sagespool_testkit::EngineOrder as TakenOrder;
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

// Two operators race: one unloads a model, the other's older order to load it
// is held up on its way. An engine that ignores numbers would load it again.
#[test]
fn stale_order() {
    for honours_fences in [true, false] {
        let engine = engine(|options| options.honours_fences = honours_fences);
        let dispatcher = beside(&engine);
        block_on(async {
            assert_eq!(dispatcher.carry_out(&unload(5)).await, OrderReply::Done);
            assert_eq!(dispatcher.carry_out(&load(4)).await, STALE);
            assert_eq!(dispatcher.carry_out(&unload(5)).await, OrderReply::Done, "sent again");
        });
        let reached = engine.orders().iter().map(|record| record.fenced.fence.0).max();
        assert_eq!(reached, Some(5));
        let loads = |order: &TakenOrder| matches!(order, TakenOrder::LoadModel(_));
        assert!(!engine.orders().iter().any(|record| loads(&record.fenced.order)));
    }
}

// The engine hangs over one order. Two more come, the newer one last: the
// older waits for its turn and must be dropped when that comes.
#[test]
fn waiting_order() {
    let engine = engine(|options| options.honours_fences = false);
    let client = UpstreamClient::new(engine.address());
    let desk = OrderDesk::new();
    desk.started(FenceNumber(0), || {});
    let unload = json!({ "unload_model": "clause-3b" });
    let pass_on = |fence| Box::pin(desk.pass_on(&client, FenceNumber(fence), &unload));
    engine.freeze(true);
    let replies = block_on(async {
        let mut orders = [pass_on(3), pass_on(4), pass_on(5)];
        for order in &mut orders {
            assert_eq!(poll_once(order).await, None);
        }
        engine.freeze(false);
        let [first, older, newer] = orders;
        zip(zip(first, older), newer).await
    });
    assert_eq!(replies, ((OrderReply::Done, STALE), OrderReply::Done));
    let reached: Vec<_> = engine.orders().iter().map(|record| record.fenced.fence.0).collect();
    assert_eq!(reached, [3, 5]);
}

// A sidecar learns of a newer order only from its engine, which other hands
// reach too.
#[test]
fn engine_knows_newer() {
    let engine = engine(|_| {});
    let (first, second) = (beside(&engine), beside(&engine));
    block_on(async {
        first.carry_out(&unload(5)).await;
        assert_eq!(second.carry_out(&load(4)).await, STALE);
        engine.crash();
        assert_eq!(second.carry_out(&load(4)).await, STALE, "known without the engine now");
        let reply = second.carry_out(&load(6)).await;
        assert!(matches!(reply, OrderReply::Failed(_)), "{reply:?}");
    });
}

// An order to load is held up on its way, a newer one unloads, and the sidecar
// is restarted. The late order is the first that the new process sees, and its
// engine ignores numbers: it would load the model again.
#[test]
fn restarted_sidecar() {
    for honours_fences in [true, false] {
        let engine = engine(|options| options.honours_fences = honours_fences);
        block_on(async {
            assert_eq!(beside(&engine).carry_out(&unload(5)).await, OrderReply::Done);
            let restarted = unstarted(engine.address(), UpstreamKind::Engine);
            assert_eq!(restarted.carry_out(&load(4)).await, OrderReply::NotReady);
            assert_eq!(restarted.carry_out(&load(6)).await, OrderReply::NotReady);
            restarted.start_orders(FenceNumber(5), true);
            assert!(restarted.load().is_drained());
            assert_eq!(restarted.carry_out(&load(4)).await, STALE);
            assert_eq!(restarted.carry_out(&unload(6)).await, OrderReply::Done);
        });
        let loads = |order: &TakenOrder| matches!(order, TakenOrder::LoadModel(_));
        assert!(!engine.orders().iter().any(|record| loads(&record.fenced.order)));
    }
}

// A drain and its end race. The upstream must stay as the newest order says.
#[test]
fn fenced_drain() {
    let engine = engine(|_| {});
    let dispatcher = beside(&engine);
    block_on(async {
        assert_eq!(
            dispatcher.carry_out(&order(5, EngineOrder::Drain(true))).await,
            OrderReply::Done
        );
        assert_eq!(dispatcher.carry_out(&order(4, EngineOrder::Drain(false))).await, STALE);
        assert!(dispatcher.load().is_drained());
        dispatcher.carry_out(&order(6, EngineOrder::Drain(false))).await;
        assert!(!dispatcher.load().is_drained());
    });
    assert_eq!(engine.orders(), []);
}
