//! Starting and stopping a sidecar.

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

/// After the requests in flight, how long a stop waits for charges to be
/// durable: a holder writes its books every few seconds.
const FLUSH_LIMIT: Duration = Duration::from_secs(10);

/// How long attempts that are cut off may take to free the engine and to tell
/// their askers.
const CUT_LIMIT: Duration = Duration::from_secs(2);

/// How long a probe that is being answered may hold up a stop.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// A sidecar that couldn't be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleFault {
    /// What was being done.
    pub doing: &'static str,
}

impl fmt::Display for RoleFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the sidecar couldn't be started: {}", self.doing)
    }
}

impl std::error::Error for RoleFault {}

/// What was left when a sidecar stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Attempts that still ran when the time limit came.
    pub cut: usize,
    /// Ended charges that no holder has said are durable.
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
    /// It runs nothing until the store has answered once; heartbeats, seals and
    /// questions about keys are answered from the start.
    ///
    /// # Errors
    ///
    /// If the certificates can't be read or an address can't be taken.
    pub fn start(
        process: ProcessSettings,
        settings: SidecarSettings,
    ) -> Result<Self, Report<RoleFault>> {
        let fault = |doing| RoleFault { doing };
        let files = &process.link;
        let identity = LinkIdentity::from_files(&files.certificate, &files.key, &files.authority)
            .change_context(fault("reading the link's certificates"))?;
        let state = Arc::new(SidecarState::new(process, settings));
        let handler = peers::peer_handler(Arc::clone(&state));
        let link = LinkEndpoint::start(state.process.link.listen, identity, handler)
            .change_context(fault("opening the link's address"))?;
        state.take_link(link);
        let server = probes::serve(Arc::clone(&state))
            .change_context(fault("opening the probes' address"))?;
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

    /// This run's id.
    pub fn incarnation(&self) -> IncarnationId {
        self.state.incarnation
    }

    /// Where its link listens.
    pub fn address(&self) -> SocketAddr {
        self.state.link().local_address()
    }

    /// What runs requests.
    pub fn dispatcher(&self) -> &Arc<Dispatcher> {
        &self.state.dispatcher
    }

    /// Who is in the fleet, as this sidecar sees it.
    pub fn members(&self) -> &MemberTable {
        &self.state.members
    }

    /// Resolves when the instance list shows this instance as leaving. From
    /// then on it takes nothing new; the process is to stop.
    pub async fn leave_requested(&self) {
        self.state.leave_requested().await;
    }

    /// Stops gracefully: nothing new from now on, what runs may end within the
    /// limit, and charges are reported until they are durable or it is in vain.
    pub async fn stop(self, limit: Duration) -> StopReport {
        let state = &self.state;
        state.leave();
        let cut = finish_attempts(state, limit).await;
        let unsettled = settle_charges(state).await;
        log_event!(info, "sidecar-stopped", cut = cut, unsettled = unsettled);
        let probes_ended = self.server.shut_down();
        within(PROBE_LIMIT, probes_ended).await;
        for task in self.tasks {
            task.cancel().await;
        }
        self.state.link().close().await;
        StopReport { cut, unsettled }
    }
}

fn start_tasks(state: &Arc<SidecarState>) -> Vec<Task<()>> {
    vec![
        smol::spawn(upstream_tasks::find_start(Arc::clone(state))),
        smol::spawn(upstream_tasks::watch_load(Arc::clone(state))),
        smol::spawn(upstream_tasks::follow_cache(Arc::clone(state))),
        smol::spawn(upstream_tasks::expire(Arc::clone(state))),
        smol::spawn(members::send_heartbeats(Arc::clone(state))),
        smol::spawn(members::read_instances(Arc::clone(state))),
        smol::spawn(configuration::follow(Arc::clone(state))),
        smol::spawn(reports::send_reports(Arc::clone(state))),
    ]
}

/// Waits for what runs; what still does at the limit is stopped, with an end
/// that its entry can go on from. How many those were.
async fn finish_attempts(state: &SidecarState, limit: Duration) -> usize {
    let dispatcher = &state.dispatcher;
    if within(limit, passed_on(state)).await {
        return 0;
    }
    let cut = dispatcher.stop_running();
    if cut > 0 {
        log_event!(warn, "attempts-cut", count = cut, limit_ms = limit.as_millis());
    }
    within(CUT_LIMIT, passed_on(state)).await;
    cut
}

/// Resolves when nothing runs and every asker has its answer's end.
async fn passed_on(state: &SidecarState) {
    state.dispatcher.finished().await;
    state.forwards.empty().await;
}

/// Reports ended charges until they are durable. How many are left.
async fn settle_charges(state: &Arc<SidecarState>) -> usize {
    within(FLUSH_LIMIT, reports::flush(state)).await;
    state.dispatcher.charges().unsettled()
}

/// True if the work ended within the limit.
async fn within(limit: Duration, work: impl Future<Output = ()>) -> bool {
    let done = async {
        work.await;
        true
    };
    let late = async {
        Timer::after(limit).await;
        false
    };
    done.or(late).await
}
