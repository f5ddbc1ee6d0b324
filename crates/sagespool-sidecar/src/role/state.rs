//! State shared by all tasks of a sidecar.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use event_listener::Event;
use sagespool_configuration::ConfigFollower;
use sagespool_link::LinkEndpoint;
use sagespool_log::log_event;
use sagespool_membership::{MemberTable, MembershipPolicy, initial_heartbeat_number};
use sagespool_messages::{ConfigScope, MemberInfo, MemberRole};
use sagespool_metrics::FleetMetrics;
use sagespool_platform::{InstanceClient, ObjectClient, ObjectOptions};
use sagespool_settings::{ProcessSettings, SidecarSettings};
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, InstanceCapacity, WallTime};

use crate::in_flight::InFlightCounter;
use crate::{Dispatcher, DispatcherOptions};

/// State shared by all tasks of a sidecar. Each part has its own locks.
pub(super) struct SidecarState {
    pub(super) process: ProcessSettings,
    pub(super) settings: SidecarSettings,
    pub(super) incarnation: IncarnationId,
    pub(super) started: ClockTime,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) members: MemberTable,
    /// Receives the fleet's configuration object and relays it to other members.
    pub(super) follower: ConfigFollower,
    pub(super) objects: ObjectClient,
    pub(super) instances: InstanceClient,
    pub(super) metrics: FleetMetrics,
    /// Answers that are being delivered to requesters.
    pub(super) deliveries: InFlightCounter,
    link: OnceLock<LinkEndpoint>,
    leaving: AtomicBool,
    leave_event: Event,
}

impl SidecarState {
    /// The state of a sidecar at its start, with the configured peers as its only members.
    pub(super) fn new(process: ProcessSettings, settings: SidecarSettings) -> Self {
        let incarnation = IncarnationId::random();
        let platform = &process.platform;
        let token = platform.token.as_ref().map(|token| token.reveal().to_owned());
        let options = ObjectOptions::builder().address(platform.object_api);
        let objects = ObjectClient::new(options.maybe_token(token.clone()).build());
        let instances = InstanceClient::new(platform.instance_list, token);
        let metrics = FleetMetrics::new();
        let dispatch = DispatcherOptions::builder()
            .sidecar(incarnation)
            .upstream(settings.upstream.clone())
            .answer_cache_bytes(settings.answers.most_bytes)
            .metrics(metrics.clone());
        let own = own_info(&process, incarnation);
        let members = MemberTable::new(own, MembershipPolicy::default(), incarnation.0);
        members.add_seeds(&process.peers, ClockTime::now());
        Self {
            dispatcher: Dispatcher::new(dispatch.build()),
            started: ClockTime::now(),
            follower: ConfigFollower::new(ConfigScope::Fleet, incarnation, ClockTime::now()),
            deliveries: InFlightCounter::default(),
            link: OnceLock::new(),
            leaving: AtomicBool::new(false),
            leave_event: Event::new(),
            process,
            settings,
            incarnation,
            members,
            objects,
            instances,
            metrics,
        }
    }

    /// Sets the link once it listens, and publishes its address to the members.
    pub(super) fn set_link(&self, link: LinkEndpoint) {
        let address = self.process.link.advertise.unwrap_or(link.local_address());
        self.members.update_own(|own| own.address = address);
        let is_first = self.link.set(link).is_ok();
        assert!(is_first, "the link is set once");
    }

    /// The link to other processes. A request may arrive before the link is set,
    /// but no request handler uses it.
    pub(super) fn link(&self) -> &LinkEndpoint {
        self.link.get().expect("no task starts before the link is set")
    }

    /// Refuses new requests from now on, and publishes that this process is leaving.
    pub(super) fn leave(&self) {
        self.dispatcher.set_leaving();
        self.members.update_own(|own| own.leaving = true);
        if !self.leaving.swap(true, Ordering::SeqCst) {
            log_event!(info, "sidecar-leaving", running = self.dispatcher.running_count());
        }
        self.leave_event.notify(usize::MAX);
    }

    /// Resolves when a leave was requested.
    pub(super) async fn leave_requested(&self) {
        loop {
            let requested = self.leave_event.listen();
            if self.leaving.load(Ordering::SeqCst) {
                return;
            }
            requested.await;
        }
    }
}

fn own_info(process: &ProcessSettings, incarnation: IncarnationId) -> MemberInfo {
    MemberInfo {
        instance: process.instance.clone(),
        incarnation,
        number: initial_heartbeat_number(WallTime::now()),
        role: MemberRole::Sidecar,
        region: process.region.clone(),
        centre: process.centre.clone(),
        address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        leaving: false,
        config: ConfigVersion::ZERO,
        started_at: None,
        serves: None,
        capacity: InstanceCapacity::default(),
    }
}
