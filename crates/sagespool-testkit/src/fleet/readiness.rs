//! Readiness of the processes after a fleet's start.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use error_stack::Report;
use trillium_client::Client;

use super::{FleetError, RunningFleet};

/// Time for the start of all processes.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Most moves of a member to other ports.
const MAX_MOVES: u32 = 3;
/// Pause between two rounds of checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A process that doesn't answer within this time is checked again after the others.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl RunningFleet {
    /// Waits until every running process has reported ready once. All are checked in turn during
    /// the whole time, so that a slow one does not use up the time of those after it.
    ///
    /// # Errors
    /// If a process is not ready within 20 s: its name, its last answer and the end of its log.
    pub async fn wait_ready(&mut self) -> Result<(), Report<FleetError>> {
        let client = Client::new(trillium_smol::ClientConfig::default());
        let started = Instant::now();
        let mut waiting: Vec<WaitingMember> =
            (0..self.members.len()).map(WaitingMember::new).collect();
        loop {
            let timed_out = started.elapsed() > READY_TIMEOUT;
            let mut not_ready = Vec::new();
            for mut member in waiting {
                if !self.is_ready(&mut member, &client).await? {
                    not_ready.push(member);
                }
            }
            let Some(first) = not_ready.first() else { return Ok(()) };
            if timed_out {
                return Err(self.not_ready_error(first));
            }
            waiting = not_ready;
            smol::Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Checks whether a process is ready; a stopped one counts as ready.
    async fn is_ready(
        &mut self,
        member: &mut WaitingMember,
        client: &Client,
    ) -> Result<bool, Report<FleetError>> {
        if self.members[member.index].process.is_none() {
            return Ok(true);
        }
        // Another program may have taken the port before the process started.
        if self.has_ended(member.index) && member.moves < MAX_MOVES {
            member.moves += 1;
            self.move_member(member.index)?;
        }
        let started = Instant::now();
        let answer = check_ready(client, self.members[member.index].http, CHECK_TIMEOUT).await;
        member.elapsed = started.elapsed();
        member.answer = answer.err();
        Ok(member.answer.is_none())
    }

    fn not_ready_error(&self, waiting: &WaitingMember) -> Report<FleetError> {
        let member = &self.members[waiting.index];
        let doing = format!("waiting for {} to be ready", member.instance);
        let answer = waiting.answer.as_deref().unwrap_or_default();
        let answer = format!("last answer, after {:?}: {answer}", waiting.elapsed);
        Report::new(FleetError::new(doing)).attach(answer).attach(member.log_tail())
    }
}

/// A process that has not reported ready yet.
struct WaitingMember {
    index: usize,
    /// Number of moves to other ports so far.
    moves: u32,
    /// The last answer other than ready, or the error of the last check.
    answer: Option<String>,
    /// Duration of the last check.
    elapsed: Duration,
}

impl WaitingMember {
    fn new(index: usize) -> Self {
        Self { index, moves: 0, answer: None, elapsed: Duration::ZERO }
    }
}

/// Checks once whether a process is ready.
///
/// # Errors
/// The answer if it is other than ready, the connection error, or the timeout.
pub(crate) async fn check_ready(
    client: &Client,
    address: SocketAddr,
    limit: Duration,
) -> Result<(), String> {
    let started = async {
        let url = format!("http://{address}/readyz");
        let mut conn = client.get(url.as_str()).await.map_err(|error| error.to_string())?;
        let status = conn.status();
        if status.is_some_and(|status| status.is_success()) {
            return Ok(());
        }
        let body = conn.response_body().read_string().await;
        Err(format!("{status:?} {body:?}"))
    };
    let late = async {
        smol::Timer::after(limit).await;
        Err(format!("no answer within {limit:?}"))
    };
    futures_lite::future::or(started, late).await
}
