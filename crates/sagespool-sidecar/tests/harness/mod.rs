//! One dispatcher with one simulated upstream.

#![allow(dead_code)]

pub mod fleet;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use sagespool_messages::{
    CallTarget, ChargeRecord, DispatchEnd, DispatchEvent, DispatchRequest, ReservedCharge,
    ResumePoint, SealRequest, SealScope, UpstreamKind,
};
use sagespool_settings::UpstreamSettings;
use sagespool_sidecar::{AnswerReader, Dispatcher, DispatcherOptions};
use sagespool_testkit::{EngineOptions, FakeEngine, answer_text};
use sagespool_types::{
    AttemptNumber, ChargeId, ClockTime, ContentDigest, FenceNumber, GrantId, IncarnationId,
    KeyDigest, RequestId, SequenceNumber, StoreRevision, TokenCount, TokenRate,
};
use smol::io::{AsyncRead, AsyncReadExt};

pub const SIDECAR: IncarnationId = IncarnationId(1);
pub const GRANT: GrantId = GrantId { holder: IncarnationId(7), number: 1 };
pub const MODEL: &str = "tender-7b";
pub const PROMPT: &str = "Is bid 12 still open? len:20";
pub const ANSWER_TOKENS: u32 = 20;
pub const PROMPT_TOKENS: u32 = 7;

pub fn engine(change: impl FnOnce(&mut EngineOptions)) -> FakeEngine {
    let mut options = EngineOptions::builder()
        .name("engine-1".parse().unwrap())
        .models(vec![MODEL.parse().unwrap()])
        .first_token_base(Duration::from_millis(1))
        .tick(Duration::from_millis(1))
        .token_rate(TokenRate(2000))
        .restart_after(None)
        .build();
    change(&mut options);
    FakeEngine::start(options).unwrap()
}

/// An engine too slow to finish an answer during a test.
pub fn slow_engine() -> FakeEngine {
    engine(|options| options.token_rate = TokenRate(1))
}

pub fn dispatcher(address: SocketAddr, kind: UpstreamKind) -> Arc<Dispatcher> {
    let dispatcher = unstarted(address, kind);
    dispatcher.charges().set_started_at(StoreRevision(100));
    dispatcher.start_orders(FenceNumber(0), false);
    dispatcher
}

pub fn upstream_at(address: SocketAddr, kind: UpstreamKind) -> UpstreamSettings {
    UpstreamSettings {
        name: "engine-1".parse().unwrap(),
        kind,
        service: "sage-core".parse().unwrap(),
        address,
        honours_fence: true,
        capacity: 8,
        models: vec![],
    }
}

/// A dispatcher without a start revision from the store.
pub fn unstarted(address: SocketAddr, kind: UpstreamKind) -> Arc<Dispatcher> {
    let upstream = upstream_at(address, kind);
    let options = DispatcherOptions::builder().sidecar(SIDECAR).upstream(upstream).build();
    Dispatcher::new(options)
}

pub fn dispatcher_at(engine: &FakeEngine) -> Arc<Dispatcher> {
    dispatcher(engine.address(), UpstreamKind::Engine)
}

pub fn charge(sequence: u64) -> ChargeId {
    ChargeId { grant: GRANT, sequence: SequenceNumber(sequence) }
}

/// A completion that passes all checks.
pub fn completion(number: u64) -> DispatchRequest {
    let body = format!(r#"{{"model":"x","messages":[{{"role":"user","content":"{PROMPT}"}}]}}"#);
    DispatchRequest {
        request: RequestId(number.into()),
        attempt: AttemptNumber(1),
        sidecar: SIDECAR,
        branch: "ruwi-bids".parse().unwrap(),
        reserved: ReservedCharge {
            charge: charge(number),
            grant_revision: StoreRevision(101),
            amount: TokenCount(100),
        },
        key: None,
        content: ContentDigest(50),
        non_idempotent: false,
        class: "lookup".parse().unwrap(),
        priority: 1,
        time_left: Duration::from_secs(60),
        target: CallTarget::Completion {
            model: MODEL.parse().unwrap(),
            max_tokens: 64,
            prompt_tokens: PROMPT_TOKENS,
            resume: None,
        },
        body: body.into_bytes(),
    }
}

pub fn keyed(number: u64, key: u128) -> DispatchRequest {
    DispatchRequest { key: Some(KeyDigest(key)), ..completion(number) }
}

pub fn resumed(mut request: DispatchRequest, at: u32) -> DispatchRequest {
    if let CallTarget::Completion { resume, .. } = &mut request.target {
        *resume = Some(ResumePoint { tokens: at, text: answer_text(MODEL, PROMPT, at) });
    }
    request
}

/// A non-idempotent call to a plain service.
pub fn service_call(number: u64) -> DispatchRequest {
    let target = CallTarget::Service {
        method: "POST".to_owned(),
        path: "/letters?kind=clarification".to_owned(),
        headers: vec![],
        price: 30,
    };
    DispatchRequest { non_idempotent: true, target, body: b"Sirs,".to_vec(), ..completion(number) }
}

pub async fn dispatch(dispatcher: &Arc<Dispatcher>, request: DispatchRequest) -> AnswerReader {
    dispatcher.dispatch(request, ClockTime::now()).await
}

/// A complete answer.
#[derive(Debug)]
pub struct ReadAnswer {
    pub first_at: Option<u32>,
    pub data: Vec<u8>,
    pub status: Option<u16>,
    pub end: DispatchEnd,
}

impl ReadAnswer {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.data).unwrap()
    }
}

pub async fn read(reader: &mut AnswerReader) -> ReadAnswer {
    let (mut data, mut status, mut first_at) = (Vec::new(), None, None);
    loop {
        match reader.next().await.expect("an answer has an end event").as_ref() {
            DispatchEvent::Started | DispatchEvent::CacheNews(_) | DispatchEvent::Beside(_) => {}
            DispatchEvent::Head { status: received, .. } => status = Some(*received),
            DispatchEvent::Piece { at, data: piece, .. } => {
                first_at.get_or_insert(*at);
                data.extend(piece);
            }
            DispatchEvent::End(end) => {
                return ReadAnswer { first_at, data, status, end: end.clone() };
            }
        }
    }
}

/// Dispatches and reads the whole answer.
pub async fn run(dispatcher: &Arc<Dispatcher>, request: DispatchRequest) -> ReadAnswer {
    read(&mut dispatch(dispatcher, request).await).await
}

/// Reads up to the first piece, so that the request is certainly running.
pub async fn first_piece(reader: &mut AnswerReader) {
    loop {
        let event = reader.next().await.expect("a piece comes before the end");
        if matches!(event.as_ref(), DispatchEvent::Piece { .. }) {
            return;
        }
        assert!(!matches!(event.as_ref(), DispatchEvent::End(_)), "{event:?}");
    }
}

/// Lists the dispatcher's charges of the grant, by sealing it.
pub fn charges(dispatcher: &Dispatcher) -> Vec<ChargeRecord> {
    let scope = SealScope::WholeGrant;
    let request = SealRequest { grant: GRANT, scope, reporter: IncarnationId(8) };
    dispatcher.charges().seal(&request, ClockTime::now()).charges
}

/// Waits until a condition holds; panics after 10 s.
pub async fn eventually(holds: impl Fn() -> bool) {
    eventually_async(async || holds()).await;
}

/// The same for an asynchronous condition.
pub async fn eventually_async(holds: impl AsyncFn() -> bool) {
    for _ in 0..1000 {
        if holds().await {
            return;
        }
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    panic!("the condition did not hold within 10 s");
}

/// An engine whose answers stall after one token, and whose cancel calls answer
/// only when allowed. It records its calls.
pub struct StalledEngine {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<String>>>,
    pub allow_cancel: smol::channel::Sender<()>,
}

impl StalledEngine {
    pub async fn start() -> Self {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (allow_cancel, cancel_allowed) = smol::channel::unbounded();
        let recorded = Arc::clone(&calls);
        let server = trillium_smol::config()
            .with_host("127.0.0.1")
            .with_port(0)
            .without_signals()
            .spawn(move |conn: trillium::Conn| {
                let (recorded, cancel_allowed) = (Arc::clone(&recorded), cancel_allowed.clone());
                async move { respond(conn, &recorded, &cancel_allowed).await }
            });
        let address = *server.info().await.tcp_socket_addr().unwrap();
        Self { address, calls, allow_cancel }
    }

    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }
}

async fn respond(
    conn: trillium::Conn,
    recorded: &Mutex<Vec<String>>,
    cancel_allowed: &smol::channel::Receiver<()>,
) -> trillium::Conn {
    let attempt = conn.request_headers().get_str("x-attempt").unwrap_or_default().to_owned();
    if conn.path().ends_with("/cancel") {
        cancel_allowed.recv().await.unwrap();
        recorded.lock().unwrap().push(format!("cancelled {attempt}"));
        return conn.ok("{}").halt();
    }
    recorded.lock().unwrap().push(format!("run {attempt}"));
    let token = b"data: {\"index\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    let body = smol::io::Cursor::new(token).chain(PendingReader::default());
    conn.with_status(200)
        .with_response_header("content-type", "text/event-stream")
        .with_body(trillium::Body::new_streaming(body, None))
        .halt()
}

/// A reader that is always pending.
///
/// It keeps the waker of its task. The executor drops a pending task without a live waker: the
/// engine then closed its connection in the middle of the answer, and the attempt failed before the
/// test could supersede it.
#[derive(Default)]
struct PendingReader(Option<Waker>);

impl AsyncRead for PendingReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        self.0 = Some(context.waker().clone());
        Poll::Pending
    }
}
