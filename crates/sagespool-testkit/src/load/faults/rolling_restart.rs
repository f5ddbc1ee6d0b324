//! Stops every process as the platform does, and starts it again, one after the other.

use sagespool_types::{ClockTime, UpstreamName};

use super::context::FaultContext;
use super::graceful;

/// Share of the time after which no more processes are stopped, so that the last one returns under
/// load.
const LAST_STOP_SHARE: f64 = 0.9;

/// Restarts entries and sidecars in turn.
pub(super) async fn rolling_restart(context: &FaultContext) {
    context.until(0.05).await;
    for index in restart_order(context).await {
        if context.share_passed() > LAST_STOP_SHARE {
            return;
        }
        restart(context, index).await;
    }
}

/// Member indices, entries and sidecars alternating, so that a short run covers both.
async fn restart_order(context: &FaultContext) -> Vec<usize> {
    let fleet = context.fleet().await;
    let indices = 0..fleet.members.len();
    let (entries, sidecars): (Vec<usize>, Vec<usize>) =
        indices.partition(|index| fleet.members[*index].is_entry());
    let longest = entries.len().max(sidecars.len());
    let pairs = (0..longest).flat_map(|turn| [entries.get(turn), sidecars.get(turn)]);
    pairs.flatten().copied().collect()
}

async fn restart(context: &FaultContext, index: usize) {
    let upstream = upstream_of(context, index).await;
    let began = ClockTime::now();
    let span = upstream.map(|upstream| context.fault_log.begin_leaving(&upstream, "stop", began));
    graceful::stop(context, index, true).await;
    if let Some(span) = span {
        context.fault_log.end_leaving(span, ClockTime::now(), true);
    }
    graceful::start(context, index).await;
}

/// The upstream of a sidecar; none for an entry.
pub(super) async fn upstream_of(context: &FaultContext, index: usize) -> Option<UpstreamName> {
    let fleet = context.fleet().await;
    fleet.members[index].upstream.as_ref().map(|(upstream, _)| upstream.clone())
}
