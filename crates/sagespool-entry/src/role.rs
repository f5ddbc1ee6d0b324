//! Starting and stopping an entry.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use sagespool_ledger::BOOK_COUNT;
use sagespool_link::{LinkEndpoint, LinkIdentity};
use sagespool_log::log_event;
use sagespool_settings::{EntrySettings, ProcessSettings};
use sagespool_types::{BookNumber, ClockTime, TokenCount};
use trillium_server_common::ServerHandle;

use crate::state::EntryState;
use crate::{caller, configuration, heartbeats, home, peers, upkeep};

/// How long an entry that is told to stop goes on answering at least. The balancer in front of it
/// sends callers until it has seen `/readyz` say no; a closed port would break their connections,
/// and a caller without a key can't come back. Until then they are refused and sent on.
const BALANCER_NOTICE: Duration = Duration::from_secs(2);

/// An entry that couldn't be started.
#[derive(Debug)]
pub struct RoleFault {
    /// What was being done.
    pub doing: &'static str,
}

impl fmt::Display for RoleFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the entry couldn't be started: {}", self.doing)
    }
}

impl std::error::Error for RoleFault {}

/// What was left when an entry stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that still ran when the time limit came.
    pub cut: u32,
    /// Books that couldn't be handed back to the store.
    pub unwritten_books: u32,
}

/// A running entry.
pub struct EntryRole {
    state: Arc<EntryState>,
    server: ServerHandle,
}

impl EntryRole {
    /// Starts an entry: its link, its tasks and its HTTP server.
    ///
    /// # Errors
    /// If the certificates can't be read or an address can't be taken.
    pub fn start(
        process: ProcessSettings,
        settings: EntrySettings,
    ) -> Result<Self, Report<RoleFault>> {
        let fault = |doing| RoleFault { doing };
        let files = &process.link;
        let identity = LinkIdentity::from_files(&files.certificate, &files.key, &files.authority)
            .change_context(fault("reading the link's certificates"))?;
        let state = Arc::new(EntryState::new(process, settings));
        let handler = peers::peer_handler(Arc::clone(&state));
        let link = LinkEndpoint::start(state.process.link.listen, identity, handler)
            .change_context(fault("opening the link's address"))?;
        state.take_link(link);
        let server = caller::serve(Arc::clone(&state), state.process.http.listen)
            .change_context(fault("opening the callers' address"))?;
        start_tasks(&state);
        log_event!(
            info,
            "entry-started",
            instance = state.process.instance,
            incarnation = state.incarnation,
            centre = state.process.centre
        );
        Ok(Self { state, server })
    }

    /// What the tasks share.
    pub fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Resolves when the instance list shows this instance as leaving. From then on it takes nothing
    /// new; the process is to stop.
    pub async fn leave_requested(&self) {
        loop {
            let told = self.state.leave_told.listen();
            if self.state.is_leaving() {
                return;
            }
            told.await;
        }
    }

    /// Stops gracefully: nothing new, what runs may end, grants go back to their books. What still
    /// runs at the time limit is counted and logged, never cut in silence.
    pub async fn stop(self, limit: Duration) -> StopReport {
        let state = &self.state;
        state.leave();
        let deadline = ClockTime::now().after(limit);
        smol::Timer::after(BALANCER_NOTICE.min(limit)).await;
        wait_for_runs(state, deadline).await;
        wait_for_others(state, deadline).await;
        let cut = state.in_flight();
        let unwritten_books = hand_back(state).await;
        log_event!(info, "entry-stopped", cut = cut, unwritten_books = unwritten_books);
        self.server.shut_down().await;
        state.link().close().await;
        StopReport { cut, unwritten_books }
    }
}

fn start_tasks(state: &Arc<EntryState>) {
    smol::spawn(configuration::run_configuration(Arc::clone(state))).detach();
    smol::spawn(heartbeats::run_heartbeats(Arc::clone(state))).detach();
    smol::spawn(heartbeats::run_instance_watch(Arc::clone(state))).detach();
    smol::spawn(home::run_book_writer(Arc::clone(state))).detach();
    smol::spawn(home::run_recovery(Arc::clone(state))).detach();
    smol::spawn(home::run_crash_watch(Arc::clone(state))).detach();
    smol::spawn(upkeep::run_upkeep(Arc::clone(state))).detach();
}

async fn wait_for_runs(state: &EntryState, deadline: ClockTime) {
    loop {
        let done = state.run_done.listen();
        let now = ClockTime::now();
        if state.in_flight() == 0 || now >= deadline {
            return;
        }
        let left = deadline.since(now);
        futures_lite::future::or(done, async {
            smol::Timer::after(left).await;
        })
        .await;
    }
}

/// Waits for the requests of other entries that this home has reserved for.
async fn wait_for_others(state: &EntryState, deadline: ClockTime) {
    loop {
        let changed = state.budget_changed.listen();
        let reserved: TokenCount =
            state.ledger.spend(None).iter().map(|spend| spend.reserved).sum();
        let now = ClockTime::now();
        if reserved == TokenCount::ZERO || now >= deadline {
            return;
        }
        let left = deadline.since(now);
        futures_lite::future::or(changed, async {
            smol::Timer::after(left).await;
        })
        .await;
    }
}

/// Returns every unspent grant, and says how many books the store didn't take.
async fn hand_back(state: &Arc<EntryState>) -> u32 {
    state.ledger.return_all(ClockTime::now());
    let mut unwritten = 0;
    for book in (0..BOOK_COUNT).map(BookNumber) {
        if state.ledger.holds_grants(book)
            && home::write_book(state, book, home::WriteCause::Turn).await.is_err()
        {
            unwritten += 1;
        }
    }
    unwritten
}
