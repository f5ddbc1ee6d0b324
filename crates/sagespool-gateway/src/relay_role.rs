//! A relay: a small process beside an upstream that forwards gateways' calls of the store.
//!
//! Gateways may lose the store, sometimes all at once, while the machines beside upstreams usually
//! still reach it. A relay makes no decisions. Its only state are the origins of streams that gateways
//! note at it: all gateways may be killed at once, and callers then resume streams that no other
//! process knows.

use std::sync::Arc;

use sagespool_forward::StreamOrigins;
use sagespool_link::{PeerCall, PeerHandler};
use sagespool_log::log_event;
use sagespool_messages::{MemberRole, PeerReply, PeerRequest, StreamReply};
use sagespool_platform::{ObjectClient, ObjectOptions, StoreDialect};
use sagespool_settings::RelaySettings;
use sagespool_types::{ClockTime, IncarnationId};
use smol::Task;

use crate::fleet::{FleetClient, LocalMember, handle_store_call};
use crate::resumption::{find_note, record_notes};
use crate::role::STORE_TIMEOUT;
use crate::store_calls::log_store_calls;

/// A running relay. Dropping it stops it.
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
        let handler = handler(fleet.clone(), store.clone(), Arc::default());
        let telling = smol::spawn(log_store_calls(store.clone()));
        Self { _tasks: [smol::spawn(fleet.run(store, handler, |_| {})), telling] }
    }
}

fn handler(
    fleet: Arc<FleetClient>,
    store: ObjectClient,
    origins: Arc<StreamOrigins>,
) -> PeerHandler {
    Arc::new(move |call: PeerCall| {
        let (fleet, store, origins) = (fleet.clone(), store.clone(), origins.clone());
        Box::pin(async move {
            let reply = match call.request {
                PeerRequest::Heartbeat(beat) => fleet.handle_heartbeat(&beat),
                PeerRequest::CallStore(call) => handle_store_call(&store, call).await,
                PeerRequest::NoteStreams(notes) => {
                    record_notes(&origins, notes, ClockTime::now());
                    PeerReply::Done
                }
                PeerRequest::FindStream(query) => {
                    let origin = find_note(&origins, &query.request, ClockTime::now());
                    // A relay doesn't follow the list of upstreams.
                    PeerReply::Stream(StreamReply { origin, unnoted: None })
                }
                _ => PeerReply::Unsupported("this process is a relay".to_owned()),
            };
            call.responder.reply(reply).await;
        })
    })
}
