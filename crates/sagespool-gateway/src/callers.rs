//! Callers' connections.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use futures_lite::future::{or, poll_fn};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use sagespool_log::log_event;
use sagespool_types::ClockTime;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::admission::ConnectionPermit;
use crate::body::ResponseBody;
use crate::flush::{FlushCounter, FlushCountingStream};
use crate::pipeline::serve;
use crate::state::GatewayState;

/// Idle timeout until a configuration is loaded; the usual configured value.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Header limit until a configuration is loaded; the usual configured value.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
/// The smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers' connections until cancelled.
pub(crate) async fn accept(state: Arc<GatewayState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => match state.limiter.open_connection() {
                Some(permit) => {
                    smol::spawn(serve_connection(state.clone(), stream, permit)).detach()
                }
                None => log_unread(&state, peer),
            },
            Err(error) => {
                // Most likely out of file descriptors. Open connections are still served.
                log_event!(warn, "accept-failed", error = error);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Prepares a response for the caller's connection, which closes after it if resources are short or the caller
/// is better served elsewhere.
fn prepare_response(
    mut response: Response<ResponseBody>,
    closes: bool,
    version: Version,
    flushes: &Arc<FlushCounter>,
) -> Response<ResponseBody> {
    if closes {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| body.with_version(version).with_flush_counter(flushes))
}

fn log_unread(state: &GatewayState, peer: SocketAddr) {
    let now = ClockTime::now();
    state.metrics.closed_unread();
    let Some(count) = state.limiter.note_unread(now) else {
        return;
    };
    let usage = state.limiter.usage(now);
    log_event!(
        warn,
        "connections-closed-unread",
        count = count,
        last_peer = peer,
        turn_ms = usage.scheduling_delay.as_millis(),
        open = usage.connections,
        held_bytes = usage.held,
        held_limit = usage.limit,
    );
}

/// Serves the requests of one connection. When the caller closes it, hyper drops the request in
/// flight, which cancels its attempt too.
async fn serve_connection(state: Arc<GatewayState>, stream: TcpStream, permit: ConnectionPermit) {
    let permit = Arc::new(permit);
    if stream.set_nodelay(true).is_err() {
        // The connection is closed already.
        return;
    }
    let plan = state.plan();
    let limits = plan.as_ref().map(|index| &index.plan().limits);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_time);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes.0 as usize);
    let flushes = Arc::new(FlushCounter::default());
    let stream = FlushCountingStream::new(stream, flushes.clone()).with_write_timeout(idle);
    let shared = state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, flushes) = (shared.clone(), flushes.clone());
        permit.begin_request();
        async move {
            let version = request.version();
            let response = serve(state.clone(), request).await;
            let closes = state.limiter.is_nearly_full() || state.rotation.closes_connections();
            Ok::<_, Infallible>(prepare_response(response, closes, version, &flushes))
        }
    });
    let mut builder = http1::Builder::new();
    // hyper's header timeout starts at the end of the previous request, so it has to include the
    // idle timeout.
    builder.timer(SmolTimer::new()).header_read_timeout(idle);
    builder.max_buf_size(header_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    let closing = async {
        state.closing.wait().await;
        true
    };
    let served = poll_fn(|context| match connection.as_mut().poll(context) {
        Poll::Pending => Poll::Pending,
        // Connection errors are the caller's concern and aren't logged.
        Poll::Ready(_) => Poll::Ready(false),
    });
    if or(served, closing).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
