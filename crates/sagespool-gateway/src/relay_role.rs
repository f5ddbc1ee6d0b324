//! A relay: a small process beside an upstream that forwards gateways' calls of the store.
//!
//! Gateways may lose the store, sometimes all at once, while the machines beside upstreams usually
//! still reach it. A relay makes no decisions. Its only state is what gateways tell it because all of
//! them may restart or be killed at once: the origins of streams, which callers resume then, and the
//! reports of requests that crash upstreams.

use std::sync::Arc;

use sagespool_claims::{CrashNote, CrashTracker};
use sagespool_forward::StreamOrigins;
use sagespool_link::{PeerCall, PeerHandler};
use sagespool_log::log_event;
use sagespool_messages::{ContentCrashes, MemberRole, PeerReply, PeerRequest, StreamReply};
use sagespool_platform::{ObjectClient, ObjectOptions, StoreDialect};
use sagespool_settings::RelaySettings;
use sagespool_types::{ClockTime, IncarnationId};
use smol::Task;

use crate::fleet::{FleetClient, LinkGuard, LocalMember, handle_store_call};
use crate::resumption::{find_note, record_notes};
use crate::role::{MAX_STORE_RESPONSE, STORE_TIMEOUT};
use crate::store_calls::log_store_calls;

/// A running relay. Dropping it stops it.
pub struct RelayRole {
    _tasks: [Task<()>; 2],
    _link: LinkGuard,
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
            .max_response(MAX_STORE_RESPONSE)
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
        let link = LinkGuard(fleet.clone());
        Self { _tasks: [smol::spawn(fleet.run(store, handler, |_| {})), telling], _link: link }
    }
}

/// What gateways have told a relay.
#[derive(Default)]
struct RelayNotes {
    origins: StreamOrigins,
    crashes: CrashTracker,
}

impl RelayNotes {
    /// Records the reports that a gateway knows, and returns all that are known here.
    fn record_crashes(&self, known: &ContentCrashes, now: ClockTime) -> ContentCrashes {
        let before = self.crashes.notes_of(known.content);
        let fresh = known.reports.iter().filter(|report| !before.contains(&CrashNote::of(report)));
        for report in fresh {
            self.crashes.record(report, now);
        }
        self.crashes.crashes_of(known.content, now)
    }
}

fn handler(fleet: Arc<FleetClient>, store: ObjectClient, notes: Arc<RelayNotes>) -> PeerHandler {
    Arc::new(move |call: PeerCall| {
        let (fleet, store, notes) = (fleet.clone(), store.clone(), notes.clone());
        Box::pin(async move {
            let reply = match call.request {
                PeerRequest::Heartbeat(beat) => fleet.handle_heartbeat(&beat),
                PeerRequest::CallStore(call) => handle_store_call(&store, call).await,
                PeerRequest::ReportCrashes(known) => {
                    PeerReply::Crashes(notes.record_crashes(&known, ClockTime::now()))
                }
                PeerRequest::WithdrawCrashes(withdrawn) => {
                    notes.crashes.withdraw(&withdrawn);
                    PeerReply::Done
                }
                PeerRequest::NoteStreams(streams) => {
                    record_notes(&notes.origins, streams, ClockTime::now());
                    PeerReply::Done
                }
                PeerRequest::FindStream(query) => {
                    let origin = find_note(&notes.origins, &query.request, ClockTime::now());
                    // A relay doesn't follow the list of upstreams.
                    PeerReply::Stream(StreamReply { origin, unnoted: None })
                }
                _ => PeerReply::Unsupported("this process is a relay".to_owned()),
            };
            call.responder.reply(reply).await;
        })
    })
}
