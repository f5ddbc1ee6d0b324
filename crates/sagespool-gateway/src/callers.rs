//! Callers' connections.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use futures_lite::future::{or, poll_fn};
use hyper::Response;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use sagespool_log::log_event;
use sagespool_types::ClockTime;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::body::AnswerBody;
use crate::flush::{CountedStream, FlushCounter};
use crate::intake::ConnectionPass;
use crate::pipeline::serve;
use crate::state::GatewayState;

/// Before there is a configuration: what the users' configuration says.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
/// The library's least.
const LEAST_BUFFER: usize = 8 << 10;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Takes callers' connections for ever.
pub(crate) async fn accept(state: Arc<GatewayState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => match state.intake.open_connection() {
                Some(pass) => smol::spawn(carry(state.clone(), stream, pass)).detach(),
                None => note_unread(&state, peer),
            },
            Err(error) => {
                // Out of descriptors, most likely: existing connections go on meanwhile.
                log_event!(warn, "accept-failed", error = error);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// The answer as it goes over the caller's connection, which ends with it where room is short.
fn passed_on(
    mut response: Response<AnswerBody>,
    is_tight: bool,
    flushes: &Arc<FlushCounter>,
) -> Response<AnswerBody> {
    if is_tight {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| body.sent_over(flushes))
}

fn note_unread(state: &GatewayState, peer: SocketAddr) {
    let now = ClockTime::now();
    state.metrics.closed_unread();
    let Some(count) = state.intake.note_unread(now) else {
        return;
    };
    let reading = state.intake.reading(now);
    log_event!(
        warn,
        "connections-closed-unread",
        count = count,
        last_peer = peer,
        turn_ms = reading.turn.as_millis(),
        open = reading.connections,
        held_bytes = reading.held,
        held_limit = reading.limit,
    );
}

/// Serves the requests of one connection. When the caller closes it, the library drops the request
/// under way, and all that hangs on it with it: nothing goes on for nobody.
async fn carry(state: Arc<GatewayState>, stream: TcpStream, pass: ConnectionPass) {
    let _open = pass;
    if stream.set_nodelay(true).is_err() {
        // The connection has ended already.
        return;
    }
    let plan = state.plan();
    let limits = plan.as_ref().map(|index| &index.plan().limits);
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_time);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes.0 as usize);
    let flushes = Arc::new(FlushCounter::default());
    let stream = CountedStream::new(stream, flushes.clone()).unread_for(idle);
    let shared = state.clone();
    let service = service_fn(move |request| {
        let (state, flushes) = (shared.clone(), flushes.clone());
        async move {
            let intake = state.intake.clone();
            let response = serve(state, request).await;
            let is_tight = intake.is_tight();
            Ok::<_, Infallible>(passed_on(response, is_tight, &flushes))
        }
    });
    let mut builder = http1::Builder::new();
    // The library's limit for a header runs from the end of the request before, so it has to allow
    // for the longest idle time.
    builder.timer(SmolTimer::new()).header_read_timeout(idle);
    builder.max_buf_size(header_bytes.max(LEAST_BUFFER));
    let mut connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    let asked = async {
        state.closing.wait().await;
        true
    };
    let served = poll_fn(|context| match connection.as_mut().poll(context) {
        Poll::Pending => Poll::Pending,
        // Why a caller's connection broke concerns the caller alone.
        Poll::Ready(_) => Poll::Ready(false),
    });
    if or(served, asked).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
