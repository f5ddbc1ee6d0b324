//! A complete sidecar process, called over the link.

#![allow(clippy::unwrap_used)]

mod harness;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use harness::fleet::{GrantHolder, INSTANCE, TestFleet, TestPlatform, end_of, first_piece_of};
use harness::*;
use sagespool_messages::{
    ChargeReport, DispatchEnd, EngineOrder, KeyRequest, OrderReply, OrderRequest, PeerReply,
    PeerRequest, RefusalNotice, SealRequest, SealScope, StatusQuery,
};
use sagespool_platform::{ObjectClient, ObjectOptions};
use sagespool_settings::FLEET_OBJECT_KEY;
use sagespool_types::{
    CommandId, FenceNumber, IncarnationId, KeyDigest, RefusalReason, StoreRevision, TokenCount,
    TokenRate,
};
use serde_json::json;
use smol::block_on;

/// Longer than any machine needs. A stop ends as soon as no work is left.
const GENEROUS_TIMEOUT: Duration = Duration::from_secs(60);

fn seal() -> PeerRequest {
    let scope = SealScope::WholeGrant;
    PeerRequest::Seal(SealRequest { grant: GRANT, scope, reporter: IncarnationId(8) })
}

fn find_key() -> PeerRequest {
    let service = "sage-core".parse().unwrap();
    PeerRequest::FindKey(KeyRequest { service, key: KeyDigest(5), fence: None })
}

async fn is_leaving(holder: &GrantHolder, sidecar: SocketAddr) -> bool {
    let query = PeerRequest::Status(StatusQuery { branch: None, running: 0 });
    let reply = holder.link.request(sidecar, &query, GENEROUS_TIMEOUT).await.unwrap();
    matches!(reply, PeerReply::Status(status) if status.member.info.leaving)
}

// A request runs over the link. Its charge is then reported to the grant's holder
// until the holder has it in its books.
#[test]
fn charge_reported() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, TestPlatform::start()).await;
        fleet.ready().await;
        fleet.holder.settles.store(false, Ordering::SeqCst);
        let end = end_of(&mut fleet.dispatch(completion(1)).await).await;
        let DispatchEnd::Whole { charge, .. } = end else { panic!("{end:?}") };

        let charges = fleet.role.dispatcher().charges();
        eventually(|| fleet.holder.reports.load(Ordering::SeqCst) == 1).await;
        assert_eq!(charges.unsettled_count(), 1, "not durable yet");
        fleet.holder.settles.store(true, Ordering::SeqCst);
        eventually(|| charges.unsettled_count() == 0).await;
        let received = fleet.holder.received.lock().unwrap().clone();
        assert!(
            received.len() >= 2 && received.iter().all(|record| *record == charge),
            "{received:?}"
        );
    });
}

// A home restarts after it has settled its charges and closed its grant. The new incarnation
// replies at the same address without records of them and never reports them durable. A sidecar
// that stops must find them settled in the book, or it would report them as lost.
#[test]
fn restarted_holder() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, TestPlatform::start()).await;
        fleet.ready().await;
        fleet.holder.settles.store(false, Ordering::SeqCst);
        let end = end_of(&mut fleet.dispatch(completion(1)).await).await;
        assert!(matches!(end, DispatchEnd::Whole { .. }), "{end:?}");
        fleet.introduce(IncarnationId(GRANT.holder.0 + 1), 2).await;
        let report = fleet.role.stop(GENEROUS_TIMEOUT).await;
        assert_eq!((report.cut, report.unsettled), (0, 0));
    });
}

// An entry disconnects in the middle of an answer while the engine is slow. The
// slot must be released over the link without waiting for the next token.
#[test]
fn requester_disconnects() {
    block_on(async {
        let engine = slow_engine();
        let fleet = TestFleet::start(&engine, TestPlatform::start()).await;
        fleet.ready().await;
        let mut stream = fleet.dispatch(completion(1)).await;
        first_piece_of(&mut stream).await;
        let query = StatusQuery { branch: None, running: 10 };
        let reply = fleet.ask(PeerRequest::Status(query)).await;
        let PeerReply::Status(status) = reply else { panic!("{reply:?}") };
        assert_eq!((status.running.len(), status.member.in_flight), (1, 1));
        assert_eq!(status.running[0].used, TokenCount(u64::from(PROMPT_TOKENS) + 1));

        // No further token is sent that would show that the stream is closed.
        engine.set_frozen(true);
        drop(stream);
        eventually(|| fleet.role.dispatcher().running_count() == 0).await;
        engine.set_frozen(false);
        eventually(|| engine.current_load().running == 0).await;
        eventually(|| fleet.holder.received.lock().unwrap().len() == 1).await;
    });
}

// The store is unreachable when a sidecar starts. The sidecar must refuse requests
// but answer seals and key requests of homes, with no start revision.
#[test]
fn store_outage() {
    block_on(async {
        let engine = engine(|_| {});
        let platform = TestPlatform::start();
        platform.set_outage(true);
        let fleet = TestFleet::start(&engine, platform).await;
        let reply = fleet.ask(seal()).await;
        let PeerReply::Seal(sealed) = reply else { panic!("{reply:?}") };
        assert_eq!((sealed.started_at, sealed.charges.len()), (None, 0));
        let reply = fleet.ask(find_key()).await;
        assert!(matches!(reply, PeerReply::Key(key) if key.known.is_none()));
        let end = end_of(&mut fleet.dispatch(completion(1)).await).await;
        let reason = RefusalReason::NotReady;
        assert!(
            matches!(end, DispatchEnd::Refused(RefusalNotice { reason: r, .. }) if r == reason)
        );

        fleet.platform.set_outage(false);
        fleet.ready().await;
        let end = end_of(&mut fleet.dispatch(completion(1)).await).await;
        assert!(
            matches!(end, DispatchEnd::GrantUnusable(_)),
            "the seal is still in effect: {end:?}"
        );
        let reply = fleet.ask(PeerRequest::ReportCharges(ChargeReport {
            sidecar: IncarnationId(1),
            charges: vec![],
        }));
        assert!(matches!(reply.await, PeerReply::Unsupported(_)));
    });
}

// An instance is replaced while answers stream. They must be completed, no new
// request may start, and no charge may be lost with the process.
#[test]
fn graceful_stop() {
    block_on(async {
        let engine = engine(|options| options.token_rate = TokenRate(100));
        let fleet = TestFleet::start(&engine, TestPlatform::start()).await;
        fleet.ready().await;
        fleet.holder.settles.store(false, Ordering::SeqCst);
        let mut running = fleet.dispatch(completion(1)).await;
        first_piece_of(&mut running).await;
        let mut late = fleet.dispatch(completion(2)).await;
        first_piece_of(&mut late).await;

        let TestFleet { role, holder, .. } = fleet;
        let (address, incarnation) = (role.address(), role.incarnation());
        let stop = smol::spawn(role.stop(GENEROUS_TIMEOUT));
        eventually_async(async || is_leaving(&holder, address).await).await;
        let mut refused = completion(3);
        refused.sidecar = incarnation;
        let refused = PeerRequest::Dispatch(refused);
        let mut refused =
            holder.link.open_stream(address, &refused, GENEROUS_TIMEOUT).await.unwrap();
        let end = end_of(&mut refused).await;
        let reason = RefusalReason::Leaving;
        assert!(
            matches!(end, DispatchEnd::Refused(RefusalNotice { reason: r, .. }) if r == reason)
        );

        for stream in [&mut running, &mut late] {
            let end = end_of(stream).await;
            assert!(matches!(end, DispatchEnd::Whole { .. }), "{end:?}");
        }
        eventually(|| holder.reports.load(Ordering::SeqCst) > 1).await;
        holder.settles.store(true, Ordering::SeqCst);
        let report = stop.await;
        assert_eq!((report.cut, report.unsettled), (0, 0));
        assert_eq!(engine.run_log().runs().len(), 2);
    });
}

// A request runs past the limit of a stop. Its entry must get the charge before
// the link closes, so that it can resume elsewhere, and the stop must count it.
#[test]
fn stop_limit() {
    block_on(async {
        let engine = slow_engine();
        let fleet = TestFleet::start(&engine, TestPlatform::start()).await;
        fleet.ready().await;
        let mut stream = fleet.dispatch(completion(1)).await;
        first_piece_of(&mut stream).await;
        let stop = smol::spawn(fleet.role.stop(Duration::from_millis(50)));
        let end = end_of(&mut stream).await;
        assert!(matches!(end, DispatchEnd::Broken { ran: Some(_), crashed: false, .. }), "{end:?}");
        let report = stop.await;
        assert_eq!((report.cut, report.unsettled), (1, 0));
        assert_eq!(engine.current_load().running, 0);
    });
}

// The platform lists an instance as leaving before it removes it. The sidecar must
// refuse new requests from then on, and its process must be notified.
#[test]
fn listed_leaving() {
    block_on(async {
        let engine = engine(|_| {});
        let platform = TestPlatform::start();
        platform.list.mark_leaving(&INSTANCE.parse().unwrap());
        let fleet = TestFleet::start(&engine, platform).await;
        fleet.role.leave_requested().await;
        assert!(fleet.role.members().own().leaving);
        let end = end_of(&mut fleet.dispatch(completion(1)).await).await;
        let reason = RefusalReason::Leaving;
        assert!(
            matches!(end, DispatchEnd::Refused(RefusalNotice { reason: r, .. }) if r == reason)
        );
    });
}

// The retention time of answers is shortened. A sidecar must apply it, or it would
// return answers that should have expired.
#[test]
fn retention_applied() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, TestPlatform::start()).await;
        fleet.ready().await;
        end_of(&mut fleet.dispatch(keyed(1, 5)).await).await;
        let is_known = async || {
            let reply = fleet.ask(find_key()).await;
            matches!(reply, PeerReply::Key(key) if key.known.is_some())
        };
        assert!(is_known().await);

        let configuration = json!({
            "classes": [{
                "name": "lookup", "priority": 0, "deadline_ms": 2000, "longest_deadline_ms": 10000,
            }],
            "default_class": "lookup", "services": [],
            "key_retention_ms": 2, "answer_retention_ms": 1,
        });
        let address = fleet.platform.store.address();
        let client = ObjectClient::new(ObjectOptions::builder().address(address).build());
        let version = client.put(FLEET_OBJECT_KEY, StoreRevision(0), &configuration).await.unwrap();
        eventually(|| fleet.role.members().own().config.0 == version.0).await;
        eventually_async(async || !is_known().await).await;
    });
}

// An operator drains an upstream. The sidecar must publish it as unhealthy to all members.
#[test]
fn drain_published() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, TestPlatform::start()).await;
        let is_healthy = || fleet.role.members().own().serves.is_some_and(|served| served.healthy);
        eventually(is_healthy).await;
        let order = |fence, is_on| {
            let (command, order) = (CommandId(1), EngineOrder::Drain(is_on));
            PeerRequest::Order(OrderRequest { command, fence: FenceNumber(fence), order })
        };
        assert_eq!(fleet.ask(order(2, true)).await, PeerReply::Order(OrderReply::Done));
        eventually(|| !is_healthy()).await;
        fleet.ask(order(3, false)).await;
        eventually(is_healthy).await;
    });
}
