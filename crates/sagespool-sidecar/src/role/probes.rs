//! HTTP server for health probes and metrics.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use sagespool_http::http_server;
use trillium::{Conn, KnownHeaderName, Status};
use trillium_server_common::ServerHandle;

use super::state::SidecarState;

/// Starts the server and returns the handle that stops it.
pub(super) fn serve(state: Arc<SidecarState>) -> io::Result<ServerHandle> {
    let server = http_server(TcpListener::bind(state.process.http.listen)?)?;
    let handler = move |conn: Conn| {
        let state = Arc::clone(&state);
        async move { route(&state, conn) }
    };
    Ok(server.spawn(handler))
}

fn route(state: &SidecarState, conn: Conn) -> Conn {
    match conn.path() {
        "/healthz" => conn.ok("ok\n").halt(),
        "/readyz" => respond_ready(state, conn),
        "/metrics" => respond_metrics(state, conn),
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn respond_ready(state: &SidecarState, conn: Conn) -> Conn {
    let reason = if state.dispatcher.charges().started_at().is_none() {
        "the store has not answered yet\n"
    } else if !state.dispatcher.load().is_healthy() {
        "the upstream does not answer\n"
    } else {
        return conn.ok("ready\n").halt();
    };
    conn.with_status(Status::ServiceUnavailable).with_body(reason).halt()
}

fn respond_metrics(state: &SidecarState, conn: Conn) -> Conn {
    let metrics = &state.metrics;
    metrics.set_in_flight(state.dispatcher.running_count() as u64);
    metrics.set_members(state.members.members().len() as u64);
    let store = state.objects.counters();
    let list = state.instances.counters();
    metrics.set_store_calls(store.reads + list.reads, store.writes, store.watches + list.watches);
    let link = state.link().counters();
    let control = link.control_sent + link.control_received;
    let payload = link.payload_sent + link.payload_received;
    metrics.set_link_bytes(control.0, payload.0);
    conn.with_response_header(
        KnownHeaderName::ContentType,
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    )
    .ok(metrics.encode())
    .halt()
}
