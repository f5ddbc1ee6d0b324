//! The HTTP endpoints for readiness and metrics.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use sagespool_http::http_server;
use sagespool_messages::MemberRole;
use sagespool_types::ClockTime;
use trillium::{Conn, KnownHeaderName, Status};

use crate::metrics::RestrictionCounts;
use crate::rotation::RotationStatus;
use crate::start::describe_awaited;
use crate::state::GatewayState;

const METRICS_PATH: &str = "/metrics";
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the readiness check and the metrics on a listener.
pub(crate) fn serve_status(state: Arc<GatewayState>, listener: TcpListener) -> io::Result<()> {
    let server = http_server(listener)?;
    let handler = move |conn: Conn| {
        let state = state.clone();
        async move { respond(&state, conn) }
    };
    smol::spawn(server.run_async(handler)).detach();
    Ok(())
}

fn respond(state: &GatewayState, conn: Conn) -> Conn {
    match conn.path() {
        path if path == state.dialect.readiness_path => respond_readiness(state, conn),
        METRICS_PATH => conn
            .with_response_header(KnownHeaderName::ContentType, METRICS_TYPE)
            .with_status(Status::Ok)
            .with_body(metrics_text(state))
            .halt(),
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn metrics_text(state: &GatewayState) -> String {
    state.metrics.set_store_calls(state.store.call_counts());
    state.metrics.set_rotation(state.rotation.status());
    state.metrics.set_awaited_lists(state.awaited_lists());
    state.metrics.set_known_streams(state.origins.count());
    let now = ClockTime::now();
    let usage = state.limiter.usage(now);
    // Lock one at a time: the choice of an upstream locks them in another order.
    let evacuated = state.upstreams().evacuated().count();
    let throttle = state.throttle();
    let (cold, limited) = (throttle.cold_count(now), throttle.limited_count());
    let in_backoff = throttle.backoff_count(now);
    drop(throttle);
    let quarantined = state.crashes.count_quarantined();
    let restrictions = RestrictionCounts { evacuated, cold, limited, in_backoff, quarantined };
    let members = (state.fleet.count(MemberRole::Entry), state.fleet.count(MemberRole::Sidecar));
    state.metrics.encode(members, usage, restrictions)
}

fn respond_readiness(state: &GatewayState, conn: Conn) -> Conn {
    let status = if state.is_ready() { Status::Ok } else { Status::ServiceUnavailable };
    conn.with_status(status).with_body(readiness_text(state)).halt()
}

/// Why the load balancer sends no new callers here, for operators; empty if it does.
fn readiness_text(state: &GatewayState) -> String {
    let RotationStatus { pressure, source, out_for, .. } = state.rotation.status();
    match out_for {
        _ if state.is_stopping() => "stopping".to_owned(),
        _ if !state.can_serve() => format!("starting: {}", describe_awaited(state)),
        _ if state.rotation.is_kept_out() => "kept out of rotation by the settings".to_owned(),
        Some(out_for) => {
            let millis = out_for.as_millis();
            format!("out of rotation for {millis} ms: {source} at {pressure} thousandths")
        }
        None => String::new(),
    }
}
