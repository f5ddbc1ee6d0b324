//! A relay: a small process beside an upstream that forwards gateways' calls of the store.
//!
//! Gateways may lose the store, sometimes all at once, while the machines beside upstreams usually
//! still reach it. A relay is stateless and makes no decisions.

use std::sync::Arc;

use sagespool_link::{PeerCall, PeerHandler};
use sagespool_log::log_event;
use sagespool_messages::{MemberRole, PeerReply, PeerRequest};
use sagespool_platform::{ObjectClient, ObjectOptions, StoreDialect};
use sagespool_settings::RelaySettings;
use sagespool_types::IncarnationId;
use smol::Task;

use crate::fleet::{FleetClient, LocalMember, handle_store_call};
use crate::role::STORE_TIMEOUT;
use crate::store_calls::log_store_calls;

/// A running relay. Dropping it stops it; it has no state to save.
pub struct RelayRole {
    _tasks: [Task<()>; 2],
}

impl RelayRole {
    /// Starts a relay; `dialect` is the store's API.
    pub fn start(settings: RelaySettings, dialect: StoreDialect) -> Self {
        let run = IncarnationId::random();
        log_event!(
            info,
            "relay-starts",
            instance = settings.instance,
            run = run,
            centre = settings.centre,
            link = settings.link,
        );
        let options = ObjectOptions::builder()
            .address(settings.object_api)
            .call_timeout(STORE_TIMEOUT)
            .dialect(dialect);
        let store = ObjectClient::new(options.build());
        let local = LocalMember::builder()
            .instance(settings.instance)
            .region(settings.region)
            .centre(settings.centre)
            .role(MemberRole::Sidecar)
            .link(settings.link)
            .maybe_advertise(settings.advertise)
            .peers(settings.peers)
            .build();
        let fleet = Arc::new(FleetClient::new(local, run));
        let handler = handler(fleet.clone(), store.clone());
        let telling = smol::spawn(log_store_calls(store.clone()));
        Self { _tasks: [smol::spawn(fleet.run(store, handler, |_| {})), telling] }
    }
}

fn handler(fleet: Arc<FleetClient>, store: ObjectClient) -> PeerHandler {
    Arc::new(move |call: PeerCall| {
        let (fleet, store) = (fleet.clone(), store.clone());
        Box::pin(async move {
            let reply = match call.request {
                PeerRequest::Heartbeat(beat) => fleet.handle_heartbeat(&beat),
                PeerRequest::CallStore(call) => handle_store_call(&store, call).await,
                _ => PeerReply::Unsupported("this process is a relay".to_owned()),
            };
            call.responder.reply(reply).await;
        })
    })
}
