//! Waiting until the processes of a fleet that was started are ready.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use error_stack::Report;
use trillium_client::Client;

use super::{FleetError, RunningFleet};

/// How long a start may take in all.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Times that a member is moved to other ports.
const MOST_MOVES: u32 = 3;
/// Between two rounds of questions.
const READY_STEP: Duration = Duration::from_millis(20);
/// A process that doesn't answer for so long is asked again after the others.
const ASK_LIMIT: Duration = Duration::from_secs(1);

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
            let is_late = started.elapsed() > READY_LIMIT;
            let mut still = Vec::new();
            for mut member in waiting {
                if !self.is_ready(&mut member, &client).await? {
                    still.push(member);
                }
            }
            let Some(first) = still.first() else { return Ok(()) };
            if is_late {
                return Err(self.not_ready(first));
            }
            waiting = still;
            smol::Timer::after(READY_STEP).await;
        }
    }

    /// Asks a process whether it is ready; one that isn't to run counts as ready.
    async fn is_ready(
        &mut self,
        member: &mut WaitingMember,
        client: &Client,
    ) -> Result<bool, Report<FleetError>> {
        if self.members[member.place].process.is_none() {
            return Ok(true);
        }
        // Another program may have taken a port between its choice and the process's start.
        if self.has_ended(member.place) && member.moves < MOST_MOVES {
            member.moves += 1;
            self.move_member(member.place)?;
        }
        let asked = Instant::now();
        let answer = check_ready(client, self.members[member.place].http, ASK_LIMIT).await;
        member.took = asked.elapsed();
        member.answer = answer.err();
        Ok(member.answer.is_none())
    }

    fn not_ready(&self, waiting: &WaitingMember) -> Report<FleetError> {
        let member = &self.members[waiting.place];
        let doing = format!("waiting for {} to be ready", member.instance);
        let answer = waiting.answer.as_deref().unwrap_or_default();
        let answer = format!("the last answer, after {:?}: {answer}", waiting.took);
        Report::new(FleetError::new(doing)).attach(answer).attach(member.log_tail())
    }
}

/// A process that hasn't said yet that it is ready.
struct WaitingMember {
    place: usize,
    /// How often it was moved to other ports.
    moves: u32,
    /// What it said last in place of that it is ready.
    answer: Option<String>,
    /// How long that answer took.
    took: Duration,
}

impl WaitingMember {
    fn new(place: usize) -> Self {
        Self { place, moves: 0, answer: None, took: Duration::ZERO }
    }
}

/// Asks a process once whether it is ready.
///
/// # Errors
/// What is said in place of that, or that nothing was within the limit.
pub(crate) async fn check_ready(
    client: &Client,
    address: SocketAddr,
    limit: Duration,
) -> Result<(), String> {
    let asked = async {
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
    futures_lite::future::or(asked, late).await
}
