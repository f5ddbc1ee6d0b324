//! Helpers of the link's tests: certificates, endpoints, handlers and a lossy relay.
#![allow(dead_code, unused_imports, reason = "each test file uses some of it")]
#![allow(clippy::unwrap_used, reason = "these are tests")]

mod relay;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, bounded};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use sagespool_link::{EventSender, LinkEndpoint, LinkIdentity, PeerCall, PeerHandler};
use sagespool_messages::{
    AttachRequest, CallTarget, ChargeRecord, DispatchEnd, DispatchEvent, DispatchRequest,
    FinishReason, PeerRequest, ReservedCharge, StatusQuery,
};
use sagespool_types::{
    AttemptNumber, ChargeId, ContentDigest, GrantId, IncarnationId, KeyDigest, RequestId,
    SequenceNumber, StoreRevision, TokenCount,
};

pub use relay::UdpRelay;

/// Long enough for any machine; only a failing test waits for so long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A certificate authority with one key.
pub struct TestAuthority {
    pub certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

/// A certificate and its key, as PEM text.
pub struct TestCertificate {
    pub certificate: String,
    pub key: String,
}

impl TestAuthority {
    pub fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).unwrap().pem();
        Self { certificate, issuer: Issuer::new(params, key) }
    }

    pub fn issue(&self) -> TestCertificate {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec!["node.test".to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap().pem();
        TestCertificate { certificate, key: key.serialize_pem() }
    }

    pub fn identity(&self) -> LinkIdentity {
        self.issue().trusting(&self.certificate)
    }
}

impl TestCertificate {
    pub fn trusting(&self, authority: &str) -> LinkIdentity {
        LinkIdentity::from_pem(&self.certificate, &self.key, authority).unwrap()
    }
}

/// A handler that calls an async closure.
pub fn handler<F>(handle: impl Fn(PeerCall) -> F + Send + Sync + 'static) -> PeerHandler
where
    F: Future<Output = ()> + Send + 'static,
{
    Arc::new(move |call| -> Pin<Box<dyn Future<Output = ()> + Send>> { Box::pin(handle(call)) })
}

/// A handler that opens a stream of events for each call, and the channel of their senders.
pub fn event_handler() -> (PeerHandler, Receiver<EventSender>) {
    let (opened, senders) = bounded(10);
    let handler = handler(move |call| {
        let opened = opened.clone();
        async move {
            let _ = opened.send(call.responder.into_event_sender()).await;
        }
    });
    (handler, senders)
}

/// A handler that drops every request without a reply.
pub fn silent_handler() -> PeerHandler {
    handler(async |_| {})
}

/// An endpoint on loopback, at a port that the system chooses.
pub fn endpoint(identity: LinkIdentity, handler: PeerHandler) -> LinkEndpoint {
    LinkEndpoint::start(loopback(), identity, handler).unwrap()
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A small request.
pub fn status_request() -> PeerRequest {
    PeerRequest::Status(StatusQuery { branch: None, running: 0 })
}

/// A request that is answered by events.
pub fn attach_request() -> PeerRequest {
    PeerRequest::Attach(AttachRequest {
        request: RequestId(1),
        key: KeyDigest(2),
        content: ContentDigest(3),
        time_left: Duration::from_secs(1),
    })
}

/// A dispatch request with a body of `body` bytes.
pub fn dispatch_request(body: usize) -> PeerRequest {
    let grant = GrantId { holder: IncarnationId(4), number: 5 };
    PeerRequest::Dispatch(DispatchRequest {
        request: RequestId(1),
        attempt: AttemptNumber(1),
        sidecar: IncarnationId(2),
        branch: "ruwi-bids".parse().unwrap(),
        reserved: ReservedCharge {
            charge: ChargeId { grant, sequence: SequenceNumber(6) },
            grant_revision: StoreRevision(8),
            amount: TokenCount(9),
        },
        key: None,
        content: ContentDigest(3),
        non_idempotent: false,
        class: "batch".parse().unwrap(),
        priority: 1,
        time_left: Duration::from_secs(1),
        target: CallTarget::Completion {
            model: "dossier".parse().unwrap(),
            max_tokens: 10,
            prompt_tokens: 10,
            resume: None,
        },
        body: vec![b'x'; body],
    })
}

/// An event with one token of an answer.
pub fn token_event(at: u32) -> DispatchEvent {
    DispatchEvent::Piece { at, tokens: 1, data: b" token".to_vec() }
}

/// The event that ends a complete answer.
pub fn end_event() -> DispatchEvent {
    let grant = GrantId { holder: IncarnationId(4), number: 5 };
    DispatchEvent::End(DispatchEnd::Whole {
        charge: ChargeRecord {
            charge: ChargeId { grant, sequence: SequenceNumber(6) },
            branch: "ruwi-bids".parse().unwrap(),
            request: RequestId(1),
            key: None,
            attempt: AttemptNumber(1),
            used: TokenCount(7),
            ended: true,
            whole: true,
        },
        stop: FinishReason::Stop,
    })
}

/// The output of a future; panics after [`TEST_TIMEOUT`].
pub async fn within_timeout<T>(future: impl Future<Output = T>) -> T {
    let timer = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("not ready within {TEST_TIMEOUT:?}");
    };
    futures_lite::future::or(future, timer).await
}

/// Waits until a condition holds; panics after [`TEST_TIMEOUT`].
pub async fn wait_until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            smol::Timer::after(Duration::from_millis(2)).await;
        }
    };
    within_timeout(holds).await;
}
