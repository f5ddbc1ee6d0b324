//! Kills a home and measures how long its grants stay open.

use std::time::Duration;

use fastrand::Rng;
use sagespool_types::ClockTime;
use trillium_client::Client;

use super::context::FaultContext;
use super::process;
use crate::fleet::RunningFleet;
use crate::load::HomeKill;
use crate::load::home_kill::held_branches;
use crate::load::scrape::incarnation_of;

/// Grants that are open for longer count as not settled.
const WATCH_LIMIT: Duration = Duration::from_secs(40);
const WATCH_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Kills a random entry that holds grants, or any entry if none does.
pub(super) async fn kill_one(fleet: &mut RunningFleet, rng: &mut Rng) -> Option<HomeKill> {
    let client = Client::new(trillium_smol::ClientConfig::default());
    let mut found = Vec::new();
    for index in process::running(fleet, true) {
        if let Some(holder) = incarnation_of(&client, fleet.members[index].http).await {
            found.push((index, holder, held_branches(fleet, holder)));
        }
    }
    if found.iter().any(|(_, _, branches)| !branches.is_empty()) {
        found.retain(|(_, _, branches)| !branches.is_empty());
    }
    let (index, holder, branches) = rng.choice(found)?;
    process::kill(fleet, index);
    Some(HomeKill { index, holder, branches, at: ClockTime::now(), settled_at: None })
}

/// Polls the books until no grant of a killed home is open, and records when that was.
pub(super) async fn watch_settled(context: FaultContext, mut kill: HomeKill) {
    while ClockTime::now().since(kill.at) < WATCH_LIMIT {
        if held_branches(&*context.fleet().await, kill.holder).is_empty() {
            kill.settled_at = Some(ClockTime::now());
            break;
        }
        smol::Timer::after(WATCH_POLL_PERIOD).await;
    }
    *context.home_kill.lock().await = Some(kill);
}
