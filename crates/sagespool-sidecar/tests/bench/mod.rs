//! One dispatcher beside one upstream stand.

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
use sagespool_sidecar::{AnswerReader, DispatchOptions, Dispatcher};
use sagespool_testkit::{EngineOptions, EngineStand, answer_text};
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

pub fn engine(change: impl FnOnce(&mut EngineOptions)) -> EngineStand {
    let mut options = EngineOptions::builder()
        .name("engine-1".parse().unwrap())
        .models(vec![MODEL.parse().unwrap()])
        .first_token_base(Duration::from_millis(1))
        .tick(Duration::from_millis(1))
        .token_rate(TokenRate(2000))
        .restart_after(None)
        .build();
    change(&mut options);
    EngineStand::start(options).unwrap()
}

/// An engine that never comes to the end of an answer by itself.
pub fn slow_engine() -> EngineStand {
    engine(|options| options.token_rate = TokenRate(1))
}

pub fn dispatcher(address: SocketAddr, kind: UpstreamKind) -> Arc<Dispatcher> {
    let dispatcher = unstarted(address, kind);
    dispatcher.charges().started(StoreRevision(100));
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

/// A dispatcher that hasn't reached the store.
pub fn unstarted(address: SocketAddr, kind: UpstreamKind) -> Arc<Dispatcher> {
    let upstream = upstream_at(address, kind);
    let options = DispatchOptions::builder().sidecar(SIDECAR).upstream(upstream).build();
    Dispatcher::new(options)
}

pub fn beside(engine: &EngineStand) -> Arc<Dispatcher> {
    dispatcher(engine.address(), UpstreamKind::Engine)
}

pub fn charge(sequence: u64) -> ChargeId {
    ChargeId { grant: GRANT, sequence: SequenceNumber(sequence) }
}

/// A completion with everything in order.
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

/// A call of a plain service that may never run twice.
pub fn letter(number: u64) -> DispatchRequest {
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

/// Everything an answer holds.
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
        match reader.next().await.expect("an answer ends with its end").as_ref() {
            DispatchEvent::Started | DispatchEvent::CacheNews(_) | DispatchEvent::Beside(_) => {}
            DispatchEvent::Head { status: came, .. } => status = Some(*came),
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

/// Reads up to the first piece, so that the request surely runs.
pub async fn first_piece(reader: &mut AnswerReader) {
    loop {
        let event = reader.next().await.expect("a piece comes before the end");
        if matches!(event.as_ref(), DispatchEvent::Piece { .. }) {
            return;
        }
        assert!(!matches!(event.as_ref(), DispatchEvent::End(_)), "{event:?}");
    }
}

/// What the dispatcher's book has of the grant.
pub fn charges(dispatcher: &Dispatcher) -> Vec<ChargeRecord> {
    let scope = SealScope::WholeGrant;
    let request = SealRequest { grant: GRANT, scope, reporter: IncarnationId(8) };
    dispatcher.charges().seal(&request, ClockTime::now()).charges
}

/// Waits until something holds, which must be within seconds.
pub async fn eventually(holds: impl Fn() -> bool) {
    comes_true(async || holds()).await;
}

/// The same for what has to be asked.
pub async fn comes_true(holds: impl AsyncFn() -> bool) {
    for _ in 0..1000 {
        if holds().await {
            return;
        }
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    panic!("it never came to hold");
}

/// An engine whose answers stop after a token, and whose cancel calls answer
/// when they are let. It notes what it is asked.
pub struct HeldEngine {
    pub address: SocketAddr,
    pub asked: Arc<Mutex<Vec<String>>>,
    pub let_cancel: smol::channel::Sender<()>,
}

impl HeldEngine {
    pub async fn start() -> Self {
        let asked = Arc::new(Mutex::new(Vec::new()));
        let (let_cancel, may_cancel) = smol::channel::unbounded();
        let notes = Arc::clone(&asked);
        let server =
            trillium_smol::config().with_host("127.0.0.1").with_port(0).without_signals().spawn(
                move |conn: trillium::Conn| {
                    let (notes, may_cancel) = (Arc::clone(&notes), may_cancel.clone());
                    async move { hold(conn, &notes, &may_cancel).await }
                },
            );
        let address = *server.info().await.tcp_socket_addr().unwrap();
        Self { address, asked, let_cancel }
    }

    pub fn asked(&self) -> Vec<String> {
        self.asked.lock().unwrap().clone()
    }
}

async fn hold(
    conn: trillium::Conn,
    notes: &Mutex<Vec<String>>,
    may_cancel: &smol::channel::Receiver<()>,
) -> trillium::Conn {
    let attempt = conn.request_headers().get_str("x-attempt").unwrap_or_default().to_owned();
    if conn.path().ends_with("/cancel") {
        may_cancel.recv().await.unwrap();
        notes.lock().unwrap().push(format!("cancelled {attempt}"));
        return conn.ok("{}").halt();
    }
    notes.lock().unwrap().push(format!("run {attempt}"));
    let token = b"data: {\"index\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    let body = smol::io::Cursor::new(token).chain(NeverRead::default());
    conn.with_status(200)
        .with_response_header("content-type", "text/event-stream")
        .with_body(trillium::Body::new_streaming(body, None))
        .halt()
}

/// Never has anything to read, and never ends.
///
/// It keeps the waker that it is asked with. The executor drops a task that waits and whose waker
/// nobody has: the engine then closed its connection in the middle of the answer, and the sidecar
/// saw it break before the test could supersede the attempt.
#[derive(Default)]
struct NeverRead(Option<Waker>);

impl AsyncRead for NeverRead {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        self.0 = Some(context.waker().clone());
        Poll::Pending
    }
}
