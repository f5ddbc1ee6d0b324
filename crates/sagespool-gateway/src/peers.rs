//! Other gateways: finding them, hearing from them, answering them.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use sagespool_forward::PlanIndex;
use sagespool_link::{LinkEndpoint, LinkError, PeerCall, PeerHandler};
use sagespool_log::log_event;
use sagespool_membership::{MemberTable, MembershipPolicy, first_number};
use sagespool_messages::{
    LendReply, LendRequest, MemberInfo, MemberRole, PeerReply, PeerRequest, PlanAsk, PlanReply,
};
use sagespool_platform::{ObjectClient, UpdateChoice, update_object};
use sagespool_settings::GatewaySettings;
use sagespool_types::{
    BranchName, ClockTime, ConfigVersion, IncarnationId, TokenCount, WallTime, derives,
};
use serde_json::value::RawValue;
use smol::Timer;

use crate::identity::make_identity;
use crate::state::GatewayState;

/// The membership asks what is due this often.
const ROUND: Duration = Duration::from_millis(200);
/// How often gateways of a small fleet hear from each other. Their configuration's version travels
/// with it, and must reach a gateway that the store turns away within seconds.
const MESH_PERIOD: Duration = Duration::from_millis(1000);
/// Without word for so long a gateway is taken to be away, which only means that it isn't asked.
const SUSPECT_AFTER: Duration = Duration::from_millis(3000);
const BEAT_LIMIT: Duration = Duration::from_millis(700);
/// A loan is a round trip of a millisecond or two.
const LEND_LIMIT: Duration = Duration::from_millis(60);
const PLAN_LIMIT: Duration = Duration::from_millis(500);
/// Between two readings of the gateways' addresses in the store; heartbeats tell of new ones.
const LISTING_PERIOD: Duration = Duration::from_secs(15);
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
const WRITE_LIMIT: Duration = Duration::from_secs(2);
/// Where gateways write their addresses.
const NO_LINK: &str = "the own link isn't open yet";
const ADDRESS_PREFIX: &str = "gateways/";

derives! { record;
    /// Where a gateway's link is.
    #[derive(Default)]
    struct AddressRecord {
        address: Option<SocketAddr>,
        run: Option<IncarnationId>,
    }
}

/// The other gateways, as far as they are known.
pub(crate) struct PeerBoard {
    members: MemberTable,
    link: OnceLock<LinkEndpoint>,
    run: IncarnationId,
}

/// What became of asking others for a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LoanRound {
    /// What they lent.
    pub(crate) lent: TokenCount,
    /// True if everyone who is known answered.
    pub(crate) complete: bool,
}

impl PeerBoard {
    pub(crate) fn new(settings: &GatewaySettings, run: IncarnationId, address: SocketAddr) -> Self {
        let own = MemberInfo {
            instance: settings.instance.clone(),
            incarnation: run,
            number: first_number(WallTime::now()),
            role: MemberRole::Entry,
            region: settings.region.clone(),
            centre: settings.centre.clone(),
            address,
            leaving: false,
            config: ConfigVersion::ZERO,
            started_at: None,
            serves: None,
        };
        let policy = MembershipPolicy::builder()
            .mesh_period(MESH_PERIOD)
            .suspect_after(SUSPECT_AFTER)
            .build();
        let members = MemberTable::new(own, policy, run.0);
        members.seeds(&settings.peers, ClockTime::now());
        Self { members, link: OnceLock::new(), run }
    }

    /// How many gateways there are, this one among them.
    pub(crate) fn count(&self) -> usize {
        self.members.members().len()
    }

    /// Tells the others which configuration is in force here.
    pub(crate) fn announce_plan(&self, version: ConfigVersion) {
        self.members.update_own(|own| own.config = version);
    }

    /// Tells the others that this gateway stops.
    pub(crate) fn announce_leaving(&self) {
        self.members.update_own(|own| own.leaving = true);
    }

    fn others(&self, now: ClockTime) -> Vec<MemberInfo> {
        let mut others = self.members.live(MemberRole::Entry, now);
        fastrand::shuffle(&mut others);
        others
    }

    async fn ask(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, LinkError> {
        match self.link.get() {
            Some(link) => link.ask(address, request, limit).await,
            None => Err(LinkError::Unreachable { peer: address, detail: NO_LINK.to_owned() }),
        }
    }

    /// Asks one gateway after the other for a loan, until there is enough.
    pub(crate) async fn borrow(&self, branch: &BranchName, wanted: TokenCount) -> LoanRound {
        let others = self.others(ClockTime::now());
        // Whoever isn't fit to be asked may hold something.
        let mut complete = others.len() + 1 >= self.count();
        let mut lent = TokenCount::ZERO;
        for other in others {
            let request = PeerRequest::Lend(LendRequest {
                branch: branch.clone(),
                wanted: wanted.less(lent),
                borrower: self.run,
            });
            match self.ask(other.address, &request, LEND_LIMIT).await {
                Ok(PeerReply::Lend(reply)) => lent += reply.lent,
                _ => complete = false,
            }
            if lent >= wanted {
                break;
            }
        }
        LoanRound { lent, complete }
    }
}

/// Joins the other gateways, and stays in touch for ever.
pub(crate) async fn run_peers(state: Arc<GatewayState>, listen: SocketAddr) {
    let endpoint = open_link(&state, listen).await;
    let Some(endpoint) = endpoint else {
        return;
    };
    log_event!(info, "link-open", address = endpoint.local_address());
    if state.peers.link.set(endpoint).is_err() {
        log_event!(error, "link-opened-twice", address = listen);
        return;
    }
    smol::spawn(follow_addresses(state.clone(), listen)).detach();
    loop {
        for (address, beat) in state.peers.members.due(ClockTime::now()) {
            let state = state.clone();
            smol::spawn(async move {
                let request = PeerRequest::Heartbeat(beat);
                match state.peers.ask(address, &request, BEAT_LIMIT).await {
                    Ok(PeerReply::Heartbeat(reply)) => {
                        state.peers.members.answered(address, &reply, ClockTime::now());
                        catch_up(&state, &reply.from).await;
                    }
                    _ => state.peers.members.unanswered(address, ClockTime::now()),
                }
            })
            .detach();
        }
        Timer::after(ROUND).await;
    }
}

/// The link needs the fleet's authority, which is in the store: tries until it has it.
async fn open_link(state: &Arc<GatewayState>, listen: SocketAddr) -> Option<LinkEndpoint> {
    let mut told = false;
    loop {
        match make_identity(&state.store, &state.settings.instance).await {
            Ok(identity) => {
                return match LinkEndpoint::start(listen, identity, handler(state.clone())) {
                    Ok(endpoint) => Some(endpoint),
                    Err(report) => {
                        log_event!(error, "link-closed", detail = format!("{report:?}"));
                        None
                    }
                };
            }
            Err(fault) => {
                if !std::mem::replace(&mut told, true) {
                    log_event!(warn, "identity-missing", detail = fault);
                }
                Timer::after(FAILURE_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

fn handler(state: Arc<GatewayState>) -> PeerHandler {
    Arc::new(move |call: PeerCall| {
        let state = state.clone();
        Box::pin(async move {
            let reply = answer(&state, call.request);
            call.responder.reply(reply).await;
        })
    })
}

fn answer(state: &Arc<GatewayState>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Heartbeat(beat) => {
            let reply = state.peers.members.received(&beat, ClockTime::now());
            if beat.from.config > state.plan_version() {
                let (state, from) = (state.clone(), beat.from.clone());
                smol::spawn(async move { catch_up(&state, &from).await }).detach();
            }
            PeerReply::Heartbeat(reply)
        }
        PeerRequest::Lend(request) => {
            let lent = state.desk.lend(&request.branch, request.wanted);
            log_event!(
                info,
                "budget-lent",
                branch = request.branch,
                to = request.borrower,
                wanted = request.wanted,
                lent = lent,
            );
            PeerReply::Lend(LendReply { lent })
        }
        PeerRequest::AskPlan(ask) => {
            let document = (state.plan_version() > ask.have).then(|| state.plan_document());
            PeerReply::Plan(PlanReply { document: document.flatten() })
        }
        _ => PeerReply::Unsupported("this process is a gateway".to_owned()),
    }
}

/// Takes a newer configuration from a gateway that has one: the store may turn this one away while
/// it serves the others, and operators' changes hold here all the same.
async fn catch_up(state: &GatewayState, from: &MemberInfo) {
    let have = state.plan_version();
    if from.config <= have {
        return;
    }
    let request = PeerRequest::AskPlan(PlanAsk { have });
    let Ok(PeerReply::Plan(reply)) = state.peers.ask(from.address, &request, PLAN_LIMIT).await
    else {
        return;
    };
    let Some(document) = reply.document else {
        return;
    };
    let Ok(value) = RawValue::from_string(document) else {
        log_event!(error, "configuration-unreadable", from = from.instance);
        return;
    };
    match (state.dialect.read_plan)(&value) {
        Ok(plan) => {
            let version = plan.version;
            let taken = state.take_plan(PlanIndex::new(plan), value.get());
            log_event!(
                info,
                "configuration-relayed",
                version = version,
                from = from.instance,
                in_force = taken,
            );
        }
        Err(detail) => log_event!(error, "configuration-unreadable", detail = detail),
    }
}

/// Writes this gateway's address to the store, and reads the others'.
async fn follow_addresses(state: Arc<GatewayState>, own: SocketAddr) {
    let key = format!("{ADDRESS_PREFIX}{}", state.settings.instance);
    let record = AddressRecord { address: Some(own), run: Some(state.run) };
    let mut written = false;
    loop {
        written = written || write_address(&state.store, &key, &record).await;
        let listed = state.store.list::<AddressRecord>(ADDRESS_PREFIX).await;
        match listed {
            Ok(listing) => {
                let addresses: Vec<SocketAddr> = listing
                    .items
                    .into_iter()
                    .filter_map(|(_, object)| object.value.address)
                    .filter(|address| *address != own)
                    .collect();
                state.peers.members.seeds(&addresses, ClockTime::now());
                Timer::after(LISTING_PERIOD.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
            }
            Err(error) => {
                log_event!(warn, "addresses-unread", error = error);
                Timer::after(FAILURE_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

async fn write_address(store: &ObjectClient, key: &str, record: &AddressRecord) -> bool {
    let apply = |present: &mut AddressRecord| {
        if present == record {
            return UpdateChoice::Keep;
        }
        *present = record.clone();
        UpdateChoice::Write
    };
    match update_object(store, key, WRITE_LIMIT, apply).await {
        Ok(_) => true,
        Err(error) => {
            log_event!(warn, "address-unwritten", error = error);
            false
        }
    }
}
