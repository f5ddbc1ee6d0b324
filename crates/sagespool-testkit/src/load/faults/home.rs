//! The death of a home, and how long its grants stay open.

use std::time::Duration;

use fastrand::Rng;
use sagespool_types::ClockTime;
use trillium_client::Client;

use super::process;
use super::stage::FaultStage;
use crate::fleet::RunningFleet;
use crate::load::HomeKill;
use crate::load::home_kill::held_branches;
use crate::load::scrape::incarnation_of;

/// Grants that are open for longer count as never settled.
const WATCH_LIMIT: Duration = Duration::from_secs(40);
const WATCH_STEP: Duration = Duration::from_millis(20);

/// Kills an entry that holds grants; any, if none does.
pub(super) async fn kill_one(fleet: &mut RunningFleet, rng: &mut Rng) -> Option<HomeKill> {
    let client = Client::new(trillium_smol::ClientConfig::default());
    let mut found = Vec::new();
    for place in process::running(fleet, true) {
        if let Some(holder) = incarnation_of(&client, fleet.members[place].http).await {
            found.push((place, holder, held_branches(fleet, holder)));
        }
    }
    if found.iter().any(|(_, _, branches)| !branches.is_empty()) {
        found.retain(|(_, _, branches)| !branches.is_empty());
    }
    let (place, holder, branches) = rng.choice(found)?;
    process::kill(fleet, place);
    Some(HomeKill { place, holder, branches, at: ClockTime::now(), settled_at: None })
}

/// Looks into the books until no grant of a killed home is open, and notes when that was.
pub(super) async fn watch_settled(stage: FaultStage, mut kill: HomeKill) {
    while ClockTime::now().since(kill.at) < WATCH_LIMIT {
        if held_branches(&*stage.fleet().await, kill.holder).is_empty() {
            kill.settled_at = Some(ClockTime::now());
            break;
        }
        smol::Timer::after(WATCH_STEP).await;
    }
    *stage.home_kill.lock().await = Some(kill);
}
