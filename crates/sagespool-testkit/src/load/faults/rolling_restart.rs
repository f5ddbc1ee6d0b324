//! Every process is stopped as the platform stops it, and started again, one after the other.

use sagespool_types::{ClockTime, UpstreamName};

use super::graceful;
use super::stage::FaultStage;

/// After this share of the time nothing more is stopped, so that the last can come back under load.
const LAST_STOP: f64 = 0.9;

/// Stops and starts entries and sidecars in turn.
pub(super) async fn rolling_restart(stage: &FaultStage) {
    stage.until(0.05).await;
    for place in turns(stage).await {
        if stage.share_passed() > LAST_STOP {
            return;
        }
        restart(stage, place).await;
    }
}

/// An entry, a sidecar, an entry, …, so that a run cut short has seen both.
async fn turns(stage: &FaultStage) -> Vec<usize> {
    let fleet = stage.fleet().await;
    let places = 0..fleet.members.len();
    let (entries, sidecars): (Vec<usize>, Vec<usize>) =
        places.partition(|place| fleet.members[*place].is_entry());
    let longest = entries.len().max(sidecars.len());
    let pairs = (0..longest).flat_map(|turn| [entries.get(turn), sidecars.get(turn)]);
    pairs.flatten().copied().collect()
}

async fn restart(stage: &FaultStage, place: usize) {
    let upstream = upstream_of(stage, place).await;
    let began = ClockTime::now();
    let span = upstream.map(|upstream| stage.notes.begin(&upstream, "stop", began));
    graceful::stop(stage, place, true).await;
    if let Some(span) = span {
        stage.notes.end(span, ClockTime::now(), true);
    }
    graceful::start(stage, place).await;
}

/// The upstream beside a sidecar.
pub(super) async fn upstream_of(stage: &FaultStage, place: usize) -> Option<UpstreamName> {
    let fleet = stage.fleet().await;
    fleet.members[place].upstream.as_ref().map(|(upstream, _)| upstream.clone())
}
