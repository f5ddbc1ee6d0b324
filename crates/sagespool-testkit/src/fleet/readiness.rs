//! Waiting until the processes of a fleet that was started are ready.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use error_stack::Report;
use trillium_client::Client;

use super::{FleetError, RunningFleet};

/// How long a start may take in all.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Times that a member is moved to other ports.
const MAX_MOVES: u32 = 3;
/// Between two rounds of questions.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A process that doesn't answer for so long is asked again after the others.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl RunningFleet {
    /// Waits until every process that runs has said once that it is ready. All are asked in turn
    /// for the whole time, so that one that needs long takes none of it from those after it.
    ///
    /// # Errors
    /// If one hasn't been ready within 20 s: its name, its last answer and the end of its log.
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

    /// Asks a process whether it is ready; one that isn't to run counts as ready.
    async fn is_ready(
        &mut self,
        member: &mut WaitingMember,
        client: &Client,
    ) -> Result<bool, Report<FleetError>> {
        if self.members[member.index].process.is_none() {
            return Ok(true);
        }
        // Another program may have taken a port between its choice and the process's start.
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
        let answer = format!("the last answer, after {:?}: {answer}", waiting.elapsed);
        Report::new(FleetError::new(doing)).attach(answer).attach(member.log_tail())
    }
}

/// A process that hasn't said yet that it is ready.
struct WaitingMember {
    index: usize,
    /// How often it was moved to other ports.
    moves: u32,
    /// What it said last in index of that it is ready.
    answer: Option<String>,
    /// How long that answer elapsed.
    elapsed: Duration,
}

impl WaitingMember {
    fn new(index: usize) -> Self {
        Self { index, moves: 0, answer: None, elapsed: Duration::ZERO }
    }
}

/// Asks a process once whether it is ready.
///
/// # Errors
/// What is said in index of that, or that nothing was within the limit.
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
