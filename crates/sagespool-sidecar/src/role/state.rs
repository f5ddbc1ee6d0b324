//! What all tasks of a sidecar share.

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
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, WallTime};

use crate::tally::WorkTally;
use crate::{DispatchOptions, Dispatcher};

/// What all tasks of a sidecar share. Each part has its own locks.
pub(super) struct SidecarState {
    pub(super) process: ProcessSettings,
    pub(super) settings: SidecarSettings,
    pub(super) incarnation: IncarnationId,
    pub(super) started: ClockTime,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) members: MemberTable,
    /// Where the fleet's object comes from and goes on to.
    pub(super) follower: ConfigFollower,
    pub(super) objects: ObjectClient,
    pub(super) instances: InstanceClient,
    pub(super) metrics: FleetMetrics,
    /// Answers on their way to askers.
    pub(super) forwards: WorkTally,
    link: OnceLock<LinkEndpoint>,
    leaving: AtomicBool,
    left: Event,
}

impl SidecarState {
    /// The state of a sidecar that has just been started and knows nobody yet.
    pub(super) fn new(process: ProcessSettings, settings: SidecarSettings) -> Self {
        let incarnation = IncarnationId::random();
        let platform = &process.platform;
        let token = platform.token.as_ref().map(|token| token.reveal().to_owned());
        let options = ObjectOptions::builder().address(platform.object_api);
        let objects = ObjectClient::new(options.maybe_token(token.clone()).build());
        let instances = InstanceClient::new(platform.instance_list, token);
        let metrics = FleetMetrics::new();
        let dispatch = DispatchOptions::builder()
            .sidecar(incarnation)
            .upstream(settings.upstream.clone())
            .kept_answers(settings.answers.most_bytes)
            .metrics(metrics.clone());
        let own = own_description(&process, incarnation);
        let members = MemberTable::new(own, MembershipPolicy::default(), incarnation.0);
        members.add_seeds(&process.peers, ClockTime::now());
        Self {
            dispatcher: Dispatcher::new(dispatch.build()),
            started: ClockTime::now(),
            follower: ConfigFollower::new(ConfigScope::Fleet, incarnation, ClockTime::now()),
            forwards: WorkTally::default(),
            link: OnceLock::new(),
            leaving: AtomicBool::new(false),
            left: Event::new(),
            process,
            settings,
            incarnation,
            members,
            objects,
            instances,
            metrics,
        }
    }

    /// Takes the link once it listens, and tells the members its address.
    pub(super) fn take_link(&self, link: LinkEndpoint) {
        let address = self.process.link.advertise.unwrap_or(link.local_address());
        self.members.update_own(|own| own.address = address);
        let is_first = self.link.set(link).is_ok();
        assert!(is_first, "the link is started once");
    }

    /// The link to other processes. A request may come in before the start has
    /// taken the link, but nothing that answers one needs it.
    pub(super) fn link(&self) -> &LinkEndpoint {
        self.link.get().expect("no task starts before the link is taken")
    }

    /// From now on takes nothing new, and says so.
    pub(super) fn leave(&self) {
        self.dispatcher.leave();
        self.members.update_own(|own| own.leaving = true);
        if !self.leaving.swap(true, Ordering::SeqCst) {
            log_event!(info, "sidecar-leaving", running = self.dispatcher.running_count());
        }
        self.left.notify(usize::MAX);
    }

    /// Resolves when the sidecar leaves.
    pub(super) async fn leave_requested(&self) {
        loop {
            let left = self.left.listen();
            if self.leaving.load(Ordering::SeqCst) {
                return;
            }
            left.await;
        }
    }
}

fn own_description(process: &ProcessSettings, incarnation: IncarnationId) -> MemberInfo {
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
    }
}
