//! The gateway's life cycle, from its settings to its graceful stop.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use sagespool_log::log_event;
use sagespool_platform::{ObjectClient, ObjectOptions};
use sagespool_settings::GatewaySettings;
use sagespool_types::{ByteCount, ClockTime, IncarnationId};
use smol::{Task, Timer};

use crate::callers::accept;
use crate::crashes::{follow_quarantine, save_quarantine};
use crate::dialect::WireDialect;
use crate::evacuations::follow_evacuations;
use crate::fleet::LinkGuard;
use crate::follow::{follow_plan, follow_upstreams, sweep};
use crate::limits::query_limits;
use crate::peers::run_peers;
use crate::resumption::note_recent_streams;
use crate::rotation::run_rotation;
use crate::start::log_start;
use crate::state::GatewayState;
use crate::status::serve_status;
use crate::store_calls::log_store_calls;

/// Timeout of a call of the store. A call usually takes 4 ms, and 250 ms with a slow store.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest response of the store. An object and a page have up to 1 MB; a watch may return more.
pub(crate) const MAX_STORE_RESPONSE: ByteCount = ByteCount(16 << 20);
/// The load balancer checks once a second and removes an instance after two failed checks. Until
/// then new callers arrive and are served.
const ROTATION_TIME: Duration = Duration::from_millis(2600);
/// Part of a graceful stop's time limit reserved for closing grants and the last writes to the
/// store.
const GRANT_CLOSE_TIME: Duration = Duration::from_millis(1200);
/// Timeout of another instance's confirmation of returned loans.
const LOAN_RETURN_TIMEOUT: Duration = Duration::from_millis(300);
/// Backlog of the callers' listener: connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
const STOP_POLL: Duration = Duration::from_millis(25);
/// Time for connections to write their responses after the last request has ended.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Why a gateway can't start.
#[derive(Debug)]
pub enum GatewayError {
    /// The address can't be listened on.
    Listen(SocketAddr),
}

impl GatewayError {
    /// A hint for the operator.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Listen(_) => "check that the address belongs to this machine and is not in use",
        }
    }
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address) => write!(f, "can't listen at {address}"),
        }
    }
}

impl std::error::Error for GatewayError {}

/// The result of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Number of requests aborted at the time limit.
    pub cut: usize,
}

/// A running gateway.
pub struct GatewayRole {
    state: Arc<GatewayState>,
    accepting: Task<()>,
    _tasks: Vec<Task<()>>,
    _link: LinkGuard,
}

impl GatewayRole {
    /// Starts a gateway. It is ready once the configuration and the upstreams are loaded.
    ///
    /// # Errors
    /// If an address in the settings can't be listened on.
    pub fn start(
        settings: GatewaySettings,
        dialect: WireDialect,
    ) -> Result<Self, Report<GatewayError>> {
        let run = IncarnationId::random();
        let options = ObjectOptions::builder()
            .address(settings.object_api)
            .call_timeout(STORE_TIMEOUT)
            .max_response(MAX_STORE_RESPONSE)
            .dialect(dialect.store);
        let store = ObjectClient::new(options.build());
        log_event!(
            info,
            "gateway-starts",
            instance = settings.instance,
            run = run,
            centre = settings.centre,
            callers = settings.callers,
        );
        let callers = listen(settings.callers)?;
        let readiness = listen(settings.readiness)?;
        let metrics = settings.metrics.map(listen).transpose()?;
        let state = Arc::new(GatewayState::new(settings, run, dialect, store));
        for listener in std::iter::once(readiness).chain(metrics) {
            let address = state.settings.readiness;
            serve_status(state.clone(), listener)
                .change_context_lazy(|| GatewayError::Listen(address))?;
        }
        let address = state.settings.callers;
        let callers = smol::net::TcpListener::try_from(callers)
            .change_context_lazy(|| GatewayError::Listen(address))?;
        let accepting = smol::spawn(accept(state.clone(), callers));
        let mut tasks = vec![
            smol::spawn(follow_plan(state.clone())),
            smol::spawn(follow_upstreams(state.clone())),
            smol::spawn(follow_quarantine(state.clone())),
            smol::spawn(save_quarantine(state.clone())),
            smol::spawn(sweep(state.clone())),
            smol::spawn(log_store_calls(state.store.clone())),
            smol::spawn(log_start(state.clone())),
        ];
        if state.follows_evacuations() {
            tasks.push(smol::spawn(follow_evacuations(state.clone())));
        }
        if state.settings.link.is_some() {
            tasks.push(smol::spawn(run_peers(state.clone())));
            tasks.push(smol::spawn(query_limits(state.clone())));
            tasks.push(smol::spawn(note_recent_streams(state.clone())));
            if state.settings.rotation.is_some() {
                tasks.push(smol::spawn(run_rotation(state.clone())));
            }
        }
        let link = LinkGuard(state.fleet.clone());
        Ok(Self { state, accepting, _tasks: tasks, _link: link })
    }

    /// Compares reloaded settings with the current ones and logs whether they differ. Whether an operator keeps
    /// the gateway out of rotation takes effect at once, other changes at the next start.
    pub fn reload(&self, settings: &GatewaySettings) {
        let changed = *settings != self.state.settings;
        self.state.rotation.reload(settings.rotation);
        log_event!(info, "settings-read", changed = changed, in_force = "at the next start");
    }

    /// Stops gracefully. First the readiness check fails while callers are still served. Then new
    /// requests are accepted only if they can end in time, and connections are closed. Last,
    /// unspent loans and grants are returned.
    pub async fn stop(self, limit: Duration) -> StopReport {
        let Self { state, accepting, _tasks, _link } = self;
        let began = ClockTime::now();
        let last = began.after(limit.saturating_sub(GRANT_CLOSE_TIME));
        state.stopping.store(true, Ordering::Relaxed);
        state.fleet.members.update_own(|own| own.leaving = true);
        Timer::after(ROTATION_TIME.min(limit / 2)).await;
        state.start_closing(last);
        let requests = || state.requests.load(Ordering::Relaxed);
        wait_until(|| requests() == 0, last).await;
        let cut = requests();
        state.abort.set();
        // Later connections are refused by the kernel, which shows callers that nothing has run.
        drop(accepting);
        let open = || state.limiter.connections();
        wait_until(|| open() == 0, ClockTime::now().after(FLUSH_TIME)).await;
        state.budgets.return_loans(&state.fleet, LOAN_RETURN_TIMEOUT).await;
        state.budgets.close_all(GRANT_CLOSE_TIME / 2).await;
        let took = ClockTime::now().since(began);
        log_event!(info, "gateway-stopped", cut = cut, took_ms = took.as_millis());
        StopReport { cut }
    }
}

async fn wait_until(is_done: impl Fn() -> bool, last: ClockTime) {
    while !is_done() && ClockTime::now() < last {
        Timer::after(STOP_POLL).await;
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Report<GatewayError>> {
    let listener = TcpListener::bind(address).change_context(GatewayError::Listen(address))?;
    // The standard library's backlog is 128, which a burst of callers fills between two runs of the
    // accept task; connections that don't fit are retried by TCP only after seconds.
    let longer = rustix::net::listen(&listener, ACCEPT_BACKLOG);
    longer.change_context(GatewayError::Listen(address))?;
    Ok(listener)
}
