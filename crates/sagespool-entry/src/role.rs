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
use crate::{caller, configuration, expiry, heartbeats, home, peers};

/// The minimum time for which a stopping entry keeps its port open. The load balancer in front of
/// it sends requests until it has seen `/readyz` fail. A closed port would break their connections,
/// and a caller without an idempotency key can't retry. Requests that arrive in this time are
/// refused and can go to another entry.
const LOAD_BALANCER_DELAY: Duration = Duration::from_secs(2);

/// An entry that could not be started.
#[derive(Debug)]
pub struct EntryError {
    /// The step that failed.
    pub step: &'static str,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "entry could not be started: {}", self.step)
    }
}

impl std::error::Error for EntryError {}

/// What was unfinished when an entry stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were still running at the time limit.
    pub cut: u32,
    /// Books with grants that could not be returned in the store.
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
    /// If the certificates can't be read or an address can't be bound.
    pub fn start(
        process: ProcessSettings,
        settings: EntrySettings,
    ) -> Result<Self, Report<EntryError>> {
        let error = |step| EntryError { step };
        let files = &process.link;
        let identity = LinkIdentity::from_files(&files.certificate, &files.key, &files.authority)
            .change_context(error("reading the certificates of the link"))?;
        let state = Arc::new(EntryState::new(process, settings));
        let handler = peers::peer_handler(Arc::clone(&state));
        let link = LinkEndpoint::start(state.process.link.listen, identity, handler)
            .change_context(error("binding the address of the link"))?;
        state.set_link(link);
        let server = caller::serve(Arc::clone(&state), state.process.http.listen)
            .change_context(error("binding the HTTP address"))?;
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

    /// The state that the entry's tasks share.
    pub fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Resolves when the instance list shows this instance as leaving or an operator stops it. The
    /// entry then accepts nothing new, and the process should stop.
    pub async fn leave_requested(&self) {
        loop {
            let leaving = self.state.leave_event.listen();
            if self.state.is_leaving() {
                return;
            }
            leaving.await;
        }
    }

    /// Stops gracefully: accepts nothing new, waits for running requests, and returns unspent
    /// grants to their books. Requests that still run at the time limit are counted and logged.
    pub async fn stop(self, limit: Duration) -> StopReport {
        let state = &self.state;
        state.leave();
        let deadline = ClockTime::now().after(limit);
        smol::Timer::after(LOAD_BALANCER_DELAY.min(limit)).await;
        wait_for_requests(state, deadline).await;
        wait_for_reservations(state, deadline).await;
        let cut = state.in_flight();
        let unwritten_books = return_grants(state).await;
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
    smol::spawn(expiry::run_expiry(Arc::clone(state))).detach();
}

async fn wait_for_requests(state: &EntryState, deadline: ClockTime) {
    loop {
        let done = state.request_done.listen();
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

/// Waits until reservations of other entries' requests are settled.
async fn wait_for_reservations(state: &EntryState, deadline: ClockTime) {
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

/// Returns every unspent grant. Returns the number of books that could not be written.
async fn return_grants(state: &Arc<EntryState>) -> u32 {
    state.ledger.return_all(ClockTime::now());
    let mut unwritten = 0;
    for book in (0..BOOK_COUNT).map(BookNumber) {
        if state.ledger.holds_grants(book)
            && home::write_book(state, book, home::WriteCause::Scheduled).await.is_err()
        {
            unwritten += 1;
        }
    }
    unwritten
}
