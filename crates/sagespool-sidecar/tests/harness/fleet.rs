//! A complete sidecar with a grant holder, a platform and an engine.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use sagespool_link::{EventStream, LinkEndpoint, LinkIdentity, PeerCall};
use sagespool_log::LogLevel;
use sagespool_messages::{
    ChargeRecord, ChargesDurable, DispatchEnd, DispatchEvent, DispatchRequest, Heartbeat,
    MemberInfo, MemberRole, PeerReply, PeerRequest, UpstreamKind,
};
use sagespool_settings::{
    AnswerSettings, HttpSettings, LinkSettings, LogSettings, PlatformSettings, ProcessSettings,
    RoleSettings, SidecarSettings,
};
use sagespool_sidecar::SidecarRole;
use sagespool_testkit::{
    FakeEngine, FakeInstanceList, FakeObjectStore, InstanceEntry, InstanceListOptions,
    InstanceState, ObjectStoreOptions, StoreFaults,
};
use sagespool_types::{ByteCount, ConfigVersion, IncarnationId, InstanceCapacity};
use tempfile::TempDir;

use super::{GRANT, upstream_at};

/// Name of the sidecar's instance.
pub const INSTANCE: &str = "side-1";

const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// The platform's store and instance list.
pub struct TestPlatform {
    pub store: FakeObjectStore,
    pub list: FakeInstanceList,
}

impl TestPlatform {
    /// An empty store, and a list with the sidecar in it.
    pub fn start() -> Self {
        let store = FakeObjectStore::start(ObjectStoreOptions::builder().build()).unwrap();
        let list = FakeInstanceList::start(InstanceListOptions::builder().build()).unwrap();
        list.set(InstanceEntry {
            instance: INSTANCE.parse().unwrap(),
            role: MemberRole::Sidecar,
            region: "muscat".parse().unwrap(),
            centre: "ghala".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            state: InstanceState::Live,
        });
        Self { store, list }
    }

    /// Begins or ends an outage of the store.
    pub fn set_outage(&self, outage: bool) {
        self.store.set_faults(StoreFaults { outage, ..self.store.faults() });
    }
}

/// A grant holder that records reported charges, and replies that they are durable
/// while `settles` is set.
pub struct GrantHolder {
    pub link: LinkEndpoint,
    pub received: Arc<Mutex<Vec<ChargeRecord>>>,
    pub reports: Arc<AtomicUsize>,
    pub settles: Arc<AtomicBool>,
}

impl GrantHolder {
    fn start(identity: LinkIdentity) -> Self {
        let received = Arc::new(Mutex::new(Vec::new()));
        let reports = Arc::new(AtomicUsize::new(0));
        let settles = Arc::new(AtomicBool::new(true));
        let (records, count, settle) =
            (Arc::clone(&received), Arc::clone(&reports), Arc::clone(&settles));
        let handler = move |call: PeerCall| {
            let reply = match call.request {
                PeerRequest::ReportCharges(report) => {
                    count.fetch_add(1, Ordering::SeqCst);
                    let charges = report.charges.iter().map(|record| record.charge).collect();
                    records.lock().unwrap().extend(report.charges);
                    let settled = settle.load(Ordering::SeqCst);
                    let charges = if settled { charges } else { vec![] };
                    PeerReply::ChargesDurable(ChargesDurable { charges })
                }
                _ => PeerReply::Unsupported("a holder in a test".to_owned()),
            };
            Box::pin(call.responder.reply(reply))
                as std::pin::Pin<Box<dyn Future<Output = ()> + Send>>
        };
        let listen = "127.0.0.1:0".parse().unwrap();
        let link = LinkEndpoint::start(listen, identity, Arc::new(handler)).unwrap();
        Self { link, received, reports, settles }
    }
}

/// A sidecar with its surroundings.
pub struct TestFleet {
    pub role: SidecarRole,
    pub holder: GrantHolder,
    pub platform: TestPlatform,
    _files: TempDir,
}

impl TestFleet {
    /// Starts a sidecar next to an engine, with the holder as a member.
    pub async fn start(engine: &FakeEngine, platform: TestPlatform) -> Self {
        let files = TempDir::new().unwrap();
        let [sidecar_link, holder_link] = write_identities(files.path());
        let settings = SidecarSettings {
            upstream: upstream_at(engine.address(), UpstreamKind::Engine),
            answers: AnswerSettings { most_bytes: ByteCount(1 << 20) },
        };
        let process = ProcessSettings {
            instance: INSTANCE.parse().unwrap(),
            region: "muscat".parse().unwrap(),
            centre: "ghala".parse().unwrap(),
            link: sidecar_link,
            http: HttpSettings { listen: "127.0.0.1:0".parse().unwrap() },
            platform: PlatformSettings {
                object_api: platform.store.address(),
                instance_list: platform.list.address(),
                token: None,
            },
            peers: vec![],
            stop_limit: Duration::from_secs(1),
            log: LogSettings { level: LogLevel::Info },
            role: RoleSettings::Sidecar(settings.clone()),
        };
        let role = SidecarRole::start(process, settings).unwrap();
        let identity = LinkIdentity::from_files(
            &holder_link.certificate,
            &holder_link.key,
            &holder_link.authority,
        );
        let holder = GrantHolder::start(identity.unwrap());
        let fleet = Self { role, holder, platform, _files: files };
        fleet.introduce(GRANT.holder, 1).await;
        fleet
    }

    /// Introduces an incarnation of the holder's instance, at the holder's address.
    pub async fn introduce(&self, incarnation: IncarnationId, number: u64) {
        let from = MemberInfo {
            instance: "entry-1".parse().unwrap(),
            incarnation,
            number,
            role: MemberRole::Entry,
            region: "muscat".parse().unwrap(),
            centre: "ghala".parse().unwrap(),
            address: self.holder.link.local_address(),
            leaving: false,
            config: ConfigVersion::ZERO,
            started_at: None,
            serves: None,
            capacity: InstanceCapacity::default(),
        };
        let (others, suspects, slices) = (vec![], vec![], vec![]);
        let heartbeat = Heartbeat { from, others, view_digest: 0, suspects, slices };
        let reply = self.ask(PeerRequest::Heartbeat(heartbeat)).await;
        assert!(matches!(reply, PeerReply::Heartbeat(_)), "{reply:?}");
    }

    /// Sends a request to the sidecar over the link.
    pub async fn ask(&self, request: PeerRequest) -> PeerReply {
        self.holder.link.request(self.role.address(), &request, REPLY_TIMEOUT).await.unwrap()
    }

    /// Dispatches over the link to the running incarnation.
    pub async fn dispatch(&self, mut request: DispatchRequest) -> EventStream {
        request.sidecar = self.role.incarnation();
        let request = PeerRequest::Dispatch(request);
        self.holder.link.open_stream(self.role.address(), &request, REPLY_TIMEOUT).await.unwrap()
    }

    /// Waits until the sidecar has read its start revision from the store.
    pub async fn ready(&self) {
        let charges = self.role.dispatcher().charges();
        super::eventually(|| charges.started_at().is_some()).await;
    }
}

/// Reads up to the first piece.
pub async fn first_piece_of(stream: &mut EventStream) {
    loop {
        match stream.next().await.unwrap().unwrap() {
            DispatchEvent::Piece { .. } => return,
            DispatchEvent::End(end) => panic!("{end:?}"),
            _ => {}
        }
    }
}

/// Reads to the end.
pub async fn end_of(stream: &mut EventStream) -> DispatchEnd {
    loop {
        if let DispatchEvent::End(end) = stream.next().await.unwrap().unwrap() {
            return end;
        }
    }
}

/// Writes the files of two certificates of one authority.
fn write_identities(directory: &Path) -> [LinkSettings; 2] {
    let key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = directory.join("authority.pem");
    std::fs::write(&authority, params.self_signed(&key).unwrap().pem()).unwrap();
    let issuer = Issuer::new(params, key);
    ["sidecar", "holder"].map(|name| {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec!["node.test".to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &issuer).unwrap().pem();
        let file = |kind: &str| directory.join(format!("{name}-{kind}.pem"));
        std::fs::write(file("certificate"), certificate).unwrap();
        std::fs::write(file("key"), key.serialize_pem()).unwrap();
        LinkSettings {
            listen: "127.0.0.1:0".parse().unwrap(),
            advertise: None,
            certificate: file("certificate"),
            key: file("key"),
            authority: authority.clone(),
        }
    })
}
