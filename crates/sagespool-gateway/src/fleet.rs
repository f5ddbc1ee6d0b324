//! Communication with the other processes: discovery, heartbeats, requests, and calls of the store
//! through them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bon::Builder;
use sagespool_forward::MIN_INSTANCES;
use sagespool_link::{LinkEndpoint, LinkError, LinkIdentity, PeerHandler};
use sagespool_log::log_event;
use sagespool_membership::{MemberTable, MembershipPolicy, initial_heartbeat_number};
use sagespool_messages::{
    Heartbeat, MemberInfo, MemberRole, PeerReply, PeerRequest, StoreCall, StoreCallReply,
    StoreMethod,
};
use sagespool_platform::{
    CallMethod, FallbackCall, ObjectClient, RawFailure, RawRequest, RawResponse, RawResponseFuture,
    StoreFallback, first_response,
};
use sagespool_types::{
    BranchName, CentreName, ClockTime, ConfigVersion, IncarnationId, InstanceCapacity,
    InstanceName, RegionName, WallTime,
};
use smol::Timer;

use crate::addresses::follow_addresses;
use crate::identity::create_identity;

/// Interval of the checks which heartbeats are due.
const HEARTBEAT_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// The largest fleet with a full mesh of heartbeats. A connection to a peer takes up to 1 MB on
/// each side, and the machines are small.
const MESH_LIMIT: usize = 8;
/// Heartbeat interval in larger fleets, which use gossip.
const GOSSIP_PERIOD: Duration = Duration::from_millis(1500);
/// Heartbeat interval in a full mesh. Heartbeats carry the configuration's version, which must
/// reach a gateway that the store rejects within seconds.
const MESH_PERIOD: Duration = Duration::from_millis(1000);
/// Without a heartbeat for this time a member is suspected. Suspicion only means that no requests
/// are sent to it.
const SUSPECT_AFTER: Duration = Duration::from_millis(3000);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);
const RETRY_BACKOFF: Duration = Duration::from_millis(400);
const NO_LINK: &str = "this process's link isn't open yet";
/// Number of processes tried to forward a call of the store.
const MAX_FALLBACK_MEMBERS: usize = 3;

/// The identity and addresses of this process in the fleet.
#[derive(Debug, Clone, Builder)]
pub(crate) struct LocalMember {
    pub(crate) instance: InstanceName,
    pub(crate) region: RegionName,
    pub(crate) centre: CentreName,
    pub(crate) role: MemberRole,
    /// The listen address of its link.
    pub(crate) link: SocketAddr,
    /// The address that others connect to, if it differs.
    pub(crate) advertise: Option<SocketAddr>,
    /// Link addresses of seed peers.
    pub(crate) peers: Vec<SocketAddr>,
    /// The work that this instance can carry.
    #[builder(default)]
    pub(crate) capacity: InstanceCapacity,
}

impl LocalMember {
    /// The address that others connect to.
    pub(crate) fn public_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.link)
    }

    /// Whether other processes contact this one first. True if there are no seeds.
    fn is_seed(&self) -> bool {
        self.peers.is_empty() || self.peers.contains(&self.public_address())
    }
}

/// The known members of the fleet, and the link to them.
pub(crate) struct FleetClient {
    pub(crate) local: LocalMember,
    pub(crate) run: IncarnationId,
    pub(crate) members: MemberTable,
    link: OnceLock<LinkEndpoint>,
    /// The gateways in the last listing of addresses, until it is taken.
    listed: Mutex<Option<Vec<InstanceName>>>,
}

/// Ends a process's link when it is dropped.
///
/// Guards against a role that was dropped and still replies to its peers: the link serves them in tasks of
/// its own.
pub(crate) struct LinkGuard(pub(crate) Arc<FleetClient>);

impl Drop for LinkGuard {
    fn drop(&mut self) {
        if let Some(link) = self.0.link.get() {
            link.abort();
        }
    }
}

impl FleetClient {
    pub(crate) fn new(local: LocalMember, run: IncarnationId) -> Self {
        let own = MemberInfo {
            instance: local.instance.clone(),
            incarnation: run,
            number: initial_heartbeat_number(WallTime::now()),
            role: local.role,
            region: local.region.clone(),
            centre: local.centre.clone(),
            address: local.public_address(),
            leaving: false,
            config: ConfigVersion::ZERO,
            started_at: None,
            serves: None,
            capacity: local.capacity,
        };
        let policy = MembershipPolicy::builder()
            .mesh_limit(MESH_LIMIT)
            .mesh_period(MESH_PERIOD)
            .gossip_period(GOSSIP_PERIOD)
            .suspect_after(SUSPECT_AFTER)
            .build();
        let members = MemberTable::new(own, policy, run.0);
        members.add_seeds(&local.peers, ClockTime::now());
        Self { local, run, members, link: OnceLock::new(), listed: Mutex::default() }
    }

    /// The number of members of a role, including this process.
    pub(crate) fn count(&self, role: MemberRole) -> usize {
        self.members.members().iter().filter(|member| member.role == role).count()
    }

    /// The number of gateways that shared limits are divided by, including this one.
    pub(crate) fn instances(&self) -> usize {
        self.count(MemberRole::Entry).max(MIN_INSTANCES)
    }

    /// Whether this process is an account's home. True too if no home is known.
    pub(crate) fn is_home(&self, branch: &BranchName, now: ClockTime) -> bool {
        let home = self.members.home_of(branch, now);
        home.is_none_or(|home| home.incarnation == self.run)
    }

    /// The reachable members of a role without this process, in random order. Includes leaving
    /// ones.
    pub(crate) fn others(&self, role: MemberRole, now: ClockTime) -> Vec<MemberInfo> {
        let mut others = self.members.live(role, now);
        fastrand::shuffle(&mut others);
        others
    }

    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, LinkError> {
        match self.link.get() {
            Some(link) => link.request(address, request, limit).await,
            None => Err(LinkError::Unreachable { peer: address, detail: NO_LINK.to_owned() }),
        }
    }

    pub(crate) fn handle_heartbeat(&self, heartbeat: &Heartbeat) -> PeerReply {
        PeerReply::Heartbeat(self.members.handle_heartbeat(heartbeat, ClockTime::now()))
    }

    /// Opens the link and sends heartbeats until cancelled. `on_reply` is called for each member
    /// that replies.
    pub(crate) async fn run(
        self: Arc<Self>,
        store: ObjectClient,
        handler: PeerHandler,
        on_reply: impl Fn(&MemberInfo) + Clone + Send + 'static,
    ) {
        let endpoint = self.open_link(&store, handler).await;
        log_event!(info, "link-open", address = endpoint.local_address());
        if self.link.set(endpoint).is_err() {
            log_event!(error, "link-opened-twice", address = self.local.link);
            return;
        }
        smol::spawn(follow_addresses(self.clone(), store)).detach();
        loop {
            for (address, heartbeat) in self.members.due_heartbeats(ClockTime::now()) {
                smol::spawn(self.clone().send_heartbeat(address, heartbeat, on_reply.clone()))
                    .detach();
            }
            Timer::after(HEARTBEAT_CHECK_PERIOD).await;
        }
    }

    async fn send_heartbeat(
        self: Arc<Self>,
        address: SocketAddr,
        heartbeat: Heartbeat,
        on_reply: impl Fn(&MemberInfo),
    ) {
        match self.call(address, &PeerRequest::Heartbeat(heartbeat), HEARTBEAT_TIMEOUT).await {
            Ok(PeerReply::Heartbeat(reply)) => {
                self.members.handle_reply(address, &reply, ClockTime::now());
                on_reply(&reply.from);
            }
            _ => self.members.record_call_failure(address, ClockTime::now()),
        }
    }

    /// Opens the link. The port is tried until it is free.
    ///
    /// Guards against a process without a link for good: after a kill and a start, another process may
    /// still hold the port.
    async fn open_link(&self, store: &ObjectClient, handler: PeerHandler) -> LinkEndpoint {
        let identity = self.find_identity(store).await;
        let mut logged = false;
        loop {
            match LinkEndpoint::start(self.local.link, identity.clone(), handler.clone()) {
                Ok(endpoint) => return endpoint,
                Err(report) if !std::mem::replace(&mut logged, true) => {
                    log_event!(error, "link-closed", detail = format!("{report:?}"));
                }
                Err(_) => {}
            }
            pause_after_failure().await;
        }
    }

    /// Creates the identity of the link. It needs the fleet's certificate authority from the store, which
    /// is read with retries until it succeeds.
    async fn find_identity(&self, store: &ObjectClient) -> LinkIdentity {
        let mut logged = false;
        loop {
            match create_identity(store, &self.local.instance, self.local.is_seed()).await {
                Ok(identity) => return identity,
                Err(error) if !std::mem::replace(&mut logged, true) => {
                    log_event!(warn, "identity-missing", detail = error);
                }
                Err(_) => {}
            }
            pause_after_failure().await;
        }
    }

    fn listed(&self) -> MutexGuard<'_, Option<Vec<InstanceName>>> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps the gateways in a listing of the store until they are taken.
    pub(crate) fn note_listed(&self, gateways: Vec<InstanceName>) {
        *self.listed() = Some(gateways);
    }

    /// Takes the gateways in the store's listing; `None` if there was no listing since the last
    /// call.
    pub(crate) fn listed_gateways(&self) -> Option<Vec<InstanceName>> {
        self.listed().take()
    }

    /// Forwards calls of the store through other members when it can't be reached directly. Relays
    /// come first: they run beside upstreams and seldom lose the store together with this process.
    pub(crate) fn store_fallback(self: &Arc<Self>) -> StoreFallback {
        let client = self.clone();
        StoreFallback::new(move |call| {
            let client = client.clone();
            Box::pin(async move { client.call_store(call).await })
        })
    }

    async fn call_store(self: Arc<Self>, call: FallbackCall) -> Result<RawResponse, RawFailure> {
        let FallbackCall { request, wait, timeout } = call;
        let only_reads = request.method == CallMethod::Get;
        let Some(request) = store_request(request, timeout) else {
            return Err(RawFailure::NotSent);
        };
        let others = self.fallback_members(ClockTime::now());
        if only_reads {
            // A member that is partitioned or frozen would otherwise take the whole timeout, while
            // changes that the store has accepted don't take effect here.
            let stagger = wait + timeout.saturating_sub(wait) / MAX_FALLBACK_MEMBERS as u32;
            let calls = others.into_iter().map(|other| -> RawResponseFuture {
                let (client, request) = (self.clone(), request.clone());
                Box::pin(
                    async move { client.call_store_at(other.address, &request, timeout).await },
                )
            });
            return first_response(calls.collect(), stagger).await;
        }
        let mut outcome = Err(RawFailure::NotSent);
        for other in others {
            match self.call_store_at(other.address, &request, timeout).await {
                Err(RawFailure::NotSent) => {}
                // The store may turn this member away and serve the next one.
                Ok(rejected) if rejected.is_rejected() => outcome = Ok(rejected),
                ended => return ended,
            }
        }
        outcome
    }

    /// Makes a call of the store through one member.
    async fn call_store_at(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<RawResponse, RawFailure> {
        match self.call(address, request, timeout).await {
            Ok(PeerReply::StoreCall(StoreCallReply::Answered { status, body })) => {
                Ok(RawResponse { status, body })
            }
            Ok(PeerReply::StoreCall(StoreCallReply::NotSent)) | Ok(PeerReply::Unsupported(_)) => {
                Err(RawFailure::NotSent)
            }
            Ok(PeerReply::StoreCall(StoreCallReply::Lost)) => Err(RawFailure::Unanswered),
            Err(error) if error.definitely_not_handled() => Err(RawFailure::NotSent),
            _ => Err(RawFailure::Lost),
        }
    }

    fn fallback_members(&self, now: ClockTime) -> Vec<MemberInfo> {
        // Always the same members, whose connections are open already: new ones are expensive. The
        // order differs between processes, so that the load is spread.
        let preference = |other: &MemberInfo| other.incarnation.0 ^ self.run.0;
        let mut others = self.members.live(MemberRole::Sidecar, now);
        others.sort_by_key(|other| (other.centre != self.local.centre, preference(other)));
        let mut entries = self.members.live(MemberRole::Entry, now);
        entries.sort_by_key(preference);
        others.extend(entries);
        others.truncate(MAX_FALLBACK_MEMBERS);
        others
    }
}

fn store_request(raw_request: RawRequest, wait: Duration) -> Option<PeerRequest> {
    let method = match raw_request.method {
        CallMethod::Get => StoreMethod::Get,
        CallMethod::Post => StoreMethod::Post,
        CallMethod::Put => StoreMethod::Put,
        CallMethod::Delete => StoreMethod::Delete,
        _ => return None,
    };
    let RawRequest { path, body, .. } = raw_request;
    Some(PeerRequest::CallStore(StoreCall { method, path, body, wait }))
}

/// Calls the store on behalf of another process.
pub(crate) async fn handle_store_call(store: &ObjectClient, call: StoreCall) -> PeerReply {
    let method = match call.method {
        StoreMethod::Get => CallMethod::Get,
        StoreMethod::Post => CallMethod::Post,
        StoreMethod::Put => CallMethod::Put,
        StoreMethod::Delete => CallMethod::Delete,
    };
    let raw_request = RawRequest { method, path: call.path, body: call.body };
    PeerReply::StoreCall(match store.forward(raw_request, call.wait).await {
        Ok(RawResponse { status, body }) => StoreCallReply::Answered { status, body },
        Err(RawFailure::NotSent) => StoreCallReply::NotSent,
        Err(RawFailure::Lost | RawFailure::Unanswered) => StoreCallReply::Lost,
    })
}

pub(crate) async fn pause_after_failure() {
    Timer::after(RETRY_BACKOFF.mul_f64(0.5 + fastrand::f64())).await;
}
