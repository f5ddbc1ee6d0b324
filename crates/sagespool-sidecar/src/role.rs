//! Starts and stops a sidecar process.

mod configuration;
mod members;
mod peers;
mod probes;
mod reports;
mod state;
mod upstream_tasks;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use sagespool_link::{LinkEndpoint, LinkIdentity};
use sagespool_log::log_event;
use sagespool_membership::MemberTable;
use sagespool_settings::{ProcessSettings, SidecarSettings};
use sagespool_types::IncarnationId;
use smol::{Task, Timer};
use trillium_server_common::ServerHandle;

use crate::Dispatcher;
use state::SidecarState;

/// How long a stop waits for charges to become durable after the last request.
/// A holder writes its books every few seconds.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// How long stopped attempts may take to release the engine and to send their
/// ends to requesters.
const STOPPED_ATTEMPTS_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a stop waits for probe responses in progress.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A sidecar failed to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarError {
    /// The step that failed.
    pub step: &'static str,
}

impl fmt::Display for SidecarError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to start the sidecar while {}", self.step)
    }
}

impl std::error::Error for SidecarError {}

/// Requests and charges that a stop left unfinished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Number of attempts that were still running at the time limit.
    pub cut: usize,
    /// Number of ended charges that are not known to be durable.
    pub unsettled: usize,
}

/// A running sidecar.
pub struct SidecarRole {
    state: Arc<SidecarState>,
    tasks: Vec<Task<()>>,
    server: ServerHandle,
}

impl SidecarRole {
    /// Starts a sidecar: its link, its tasks and its HTTP server for probes.
    ///
    /// It runs no request until the store has answered once. Heartbeats, seals and
    /// key requests are answered from the start.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificates cannot be read or an address cannot be bound.
    pub fn start(
        process: ProcessSettings,
        settings: SidecarSettings,
    ) -> Result<Self, Report<SidecarError>> {
        let error = |step| SidecarError { step };
        let files = &process.link;
        let identity = LinkIdentity::from_files(&files.certificate, &files.key, &files.authority)
            .change_context(error("reading the link's certificates"))?;
        let state = Arc::new(SidecarState::new(process, settings));
        let handler = peers::peer_handler(Arc::clone(&state));
        let link = LinkEndpoint::start(state.process.link.listen, identity, handler)
            .change_context(error("binding the link's address"))?;
        state.set_link(link);
        let server = probes::serve(Arc::clone(&state))
            .change_context(error("binding the address for probes"))?;
        let tasks = start_tasks(&state);
        log_event!(
            info,
            "sidecar-started",
            instance = state.process.instance,
            incarnation = state.incarnation,
            upstream = state.settings.upstream.name,
            address = state.link().local_address()
        );
        Ok(Self { state, tasks, server })
    }

    /// The incarnation of this process.
    pub fn incarnation(&self) -> IncarnationId {
        self.state.incarnation
    }

    /// The address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.state.link().local_address()
    }

    /// The dispatcher of the upstream.
    pub fn dispatcher(&self) -> &Arc<Dispatcher> {
        &self.state.dispatcher
    }

    /// The members of the fleet as seen by this sidecar.
    pub fn members(&self) -> &MemberTable {
        &self.state.members
    }

    /// Resolves when a leave was requested, by the instance list or an operator.
    /// The sidecar refuses new requests from then on, and the process must stop.
    pub async fn leave_requested(&self) {
        self.state.leave_requested().await;
    }

    /// Stops gracefully: refuses new requests, waits up to `limit` for running
    /// attempts, and reports charges until they are durable or a timeout passes.
    pub async fn stop(self, limit: Duration) -> StopReport {
        let state = &self.state;
        state.leave();
        let cut = drain_attempts(state, limit).await;
        let unsettled = settle_charges(state).await;
        log_event!(info, "sidecar-stopped", cut = cut, unsettled = unsettled);
        let server_stopped = self.server.shut_down();
        finishes_within(PROBE_TIMEOUT, server_stopped).await;
        for task in self.tasks {
            task.cancel().await;
        }
        self.state.link().close().await;
        StopReport { cut, unsettled }
    }
}

fn start_tasks(state: &Arc<SidecarState>) -> Vec<Task<()>> {
    vec![
        smol::spawn(upstream_tasks::wait_for_store(Arc::clone(state))),
        smol::spawn(upstream_tasks::probe_upstream(Arc::clone(state))),
        smol::spawn(upstream_tasks::follow_cache(Arc::clone(state))),
        smol::spawn(upstream_tasks::expire(Arc::clone(state))),
        smol::spawn(members::send_heartbeats(Arc::clone(state))),
        smol::spawn(members::read_instances(Arc::clone(state))),
        smol::spawn(configuration::follow(Arc::clone(state))),
        smol::spawn(reports::send_reports(Arc::clone(state))),
    ]
}

/// Waits for running attempts and stops those that run past the limit, with an
/// end from which their entry can resume. Returns the number stopped.
async fn drain_attempts(state: &SidecarState, limit: Duration) -> usize {
    let dispatcher = &state.dispatcher;
    if finishes_within(limit, answers_delivered(state)).await {
        return 0;
    }
    let cut = dispatcher.stop_running();
    if cut > 0 {
        log_event!(warn, "attempts-cut", count = cut, limit_ms = limit.as_millis());
    }
    finishes_within(STOPPED_ATTEMPTS_TIMEOUT, answers_delivered(state)).await;
    cut
}

/// Resolves when no attempt is running and every requester has the end of its answer.
async fn answers_delivered(state: &SidecarState) {
    state.dispatcher.wait_until_idle().await;
    state.deliveries.wait_until_idle().await;
}

/// Reports ended charges until they are durable or the timeout passes. Returns the number left.
async fn settle_charges(state: &Arc<SidecarState>) -> usize {
    finishes_within(FLUSH_TIMEOUT, reports::flush_charges(state)).await;
    state.dispatcher.charges().unsettled_count()
}

/// Whether the work ends within the limit.
async fn finishes_within(limit: Duration, work: impl Future<Output = ()>) -> bool {
    let done = async {
        work.await;
        true
    };
    let timeout = async {
        Timer::after(limit).await;
        false
    };
    done.or(timeout).await
}
