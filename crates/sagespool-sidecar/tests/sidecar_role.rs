//! A whole sidecar, reached over the link.

#![allow(clippy::unwrap_used)]

mod bench;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bench::fleet::{GrantHolder, INSTANCE, PlatformStands, TestFleet, end_of, first_piece_of};
use bench::*;
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

/// Longer than any machine takes; a stop ends as soon as there is nothing left.
const LONG: Duration = Duration::from_secs(60);

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
    let reply = holder.link.ask(sidecar, &query, LONG).await.unwrap();
    matches!(reply, PeerReply::Status(status) if status.member.info.leaving)
}

// A request's way over the link; then its charge goes to the grant's holder
// until that has it in its books.
#[test]
fn charge_reported() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, PlatformStands::start()).await;
        fleet.ready().await;
        fleet.holder.settles.store(false, Ordering::SeqCst);
        let end = end_of(&mut fleet.dispatch(completion(1)).await).await;
        let DispatchEnd::Whole { charge, .. } = end else { panic!("{end:?}") };

        let charges = fleet.role.dispatcher().charges();
        eventually(|| fleet.holder.reports.load(Ordering::SeqCst) == 1).await;
        assert_eq!(charges.unsettled(), 1, "not durable yet");
        fleet.holder.settles.store(true, Ordering::SeqCst);
        eventually(|| charges.unsettled() == 0).await;
        let heard = fleet.holder.heard.lock().unwrap().clone();
        assert!(heard.len() >= 2 && heard.iter().all(|record| *record == charge), "{heard:?}");
    });
}

// A home is restarted after it has settled its charges and closed its grant. The new run answers at the
// same address, and knows nothing of them: asked for ever, it never calls one durable, and a sidecar
// that stops says that it lost charges. The book says that they are settled.
#[test]
fn restarted_holder() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, PlatformStands::start()).await;
        fleet.ready().await;
        fleet.holder.settles.store(false, Ordering::SeqCst);
        let end = end_of(&mut fleet.dispatch(completion(1)).await).await;
        assert!(matches!(end, DispatchEnd::Whole { .. }), "{end:?}");
        fleet.introduce(IncarnationId(GRANT.holder.0 + 1), 2).await;
        let report = fleet.role.stop(LONG).await;
        assert_eq!((report.cut, report.unsettled), (0, 0));
    });
}

// A caller's entry goes away in the middle of an answer, while the engine is
// slow. Over the link, too, the slot must be free without waiting for a token.
#[test]
fn asker_leaves() {
    block_on(async {
        let engine = slow_engine();
        let fleet = TestFleet::start(&engine, PlatformStands::start()).await;
        fleet.ready().await;
        let mut stream = fleet.dispatch(completion(1)).await;
        first_piece_of(&mut stream).await;
        let query = StatusQuery { branch: None, running: 10 };
        let reply = fleet.ask(PeerRequest::Status(query)).await;
        let PeerReply::Status(status) = reply else { panic!("{reply:?}") };
        assert_eq!((status.running.len(), status.member.in_flight), (1, 1));
        assert_eq!(status.running[0].used, TokenCount(u64::from(PROMPT_TOKENS) + 1));

        // Nothing more to send would tell that the stream is closed.
        engine.freeze(true);
        drop(stream);
        eventually(|| fleet.role.dispatcher().running_count() == 0).await;
        engine.freeze(false);
        eventually(|| engine.load_now().running == 0).await;
        eventually(|| fleet.holder.heard.lock().unwrap().len() == 1).await;
    });
}

// The store is out of reach when a sidecar starts. It can't run anything, but
// homes need its word on seals and keys all the same, and that it has no
// start to vouch for.
#[test]
fn store_away() {
    block_on(async {
        let engine = engine(|_| {});
        let platform = PlatformStands::start();
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
        assert!(matches!(end, DispatchEnd::GrantUnusable(_)), "the seal holds: {end:?}");
        let reply = fleet.ask(PeerRequest::ReportCharges(ChargeReport {
            sidecar: IncarnationId(1),
            charges: vec![],
        }));
        assert!(matches!(reply.await, PeerReply::Unsupported(_)));
    });
}

// An instance is to be replaced while an answer streams. The answer must come
// whole, nothing new may start, and no charge may be lost with the process.
#[test]
fn graceful_stop() {
    block_on(async {
        let engine = engine(|options| options.token_rate = TokenRate(100));
        let fleet = TestFleet::start(&engine, PlatformStands::start()).await;
        fleet.ready().await;
        fleet.holder.settles.store(false, Ordering::SeqCst);
        let mut running = fleet.dispatch(completion(1)).await;
        first_piece_of(&mut running).await;
        let mut late = fleet.dispatch(completion(2)).await;
        first_piece_of(&mut late).await;

        let TestFleet { role, holder, .. } = fleet;
        let (address, incarnation) = (role.address(), role.incarnation());
        let stop = smol::spawn(role.stop(LONG));
        comes_true(async || is_leaving(&holder, address).await).await;
        let mut refused = completion(3);
        refused.sidecar = incarnation;
        let refused = PeerRequest::Dispatch(refused);
        let mut refused = holder.link.open(address, &refused, LONG).await.unwrap();
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
        assert_eq!(engine.witness().runs().len(), 2);
    });
}

// A request outlasts the stop's limit. Its entry has to hear what ran before
// the link closes, so that it can go on elsewhere; the stop counts it.
#[test]
fn stop_limit() {
    block_on(async {
        let engine = slow_engine();
        let fleet = TestFleet::start(&engine, PlatformStands::start()).await;
        fleet.ready().await;
        let mut stream = fleet.dispatch(completion(1)).await;
        first_piece_of(&mut stream).await;
        let stop = smol::spawn(fleet.role.stop(Duration::from_millis(50)));
        let end = end_of(&mut stream).await;
        assert!(matches!(end, DispatchEnd::Broken { ran: Some(_), crashed: false, .. }), "{end:?}");
        let report = stop.await;
        assert_eq!((report.cut, report.unsettled), (1, 0));
        assert_eq!(engine.load_now().running, 0);
    });
}

// The platform lists the instance as leaving before it takes it away. From
// then on it must take no work, and its process must hear of it.
#[test]
fn listed_leaving() {
    block_on(async {
        let engine = engine(|_| {});
        let platform = PlatformStands::start();
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

// The fleet is told to keep answers for a shorter time. A sidecar that went on
// with the old one would hand out what was to be gone.
#[test]
fn retention_followed() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, PlatformStands::start()).await;
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
        comes_true(async || !is_known().await).await;
    });
}

// An operator drains an upstream: every member has to see that it takes nothing.
#[test]
fn drain_seen() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, PlatformStands::start()).await;
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
