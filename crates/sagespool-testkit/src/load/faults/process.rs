//! Faults of processes: killed, paused, restarted.

use fastrand::Rng;

use crate::fleet::{ProcessEventKind, RunningFleet};

/// The places of the members of a kind that run.
pub(super) fn running(fleet: &RunningFleet, entries: bool) -> Vec<usize> {
    let members = fleet.members.iter().enumerate();
    members
        .filter(|(_, member)| member.is_entry() == entries && member.process.is_some())
        .map(|(place, _)| place)
        .collect()
}

/// One entry or sidecar that runs, taken at random.
pub(super) fn pick(fleet: &RunningFleet, entries: bool, rng: &mut Rng) -> Option<usize> {
    let places = running(fleet, entries);
    rng.choice(places)
}

/// Ends a member's process at once.
pub(super) fn kill(fleet: &mut RunningFleet, place: usize) {
    let Some(process) = fleet.members[place].process.take() else {
        return;
    };
    // One that has ended by itself is as dead.
    let _ = process.kill();
    fleet.record_process_event(place, ProcessEventKind::Ended);
}

/// Starts a member again if it doesn't run.
pub(super) fn restart(fleet: &mut RunningFleet, place: usize) {
    if fleet.members[place].process.is_some() {
        return;
    }
    if let Err(report) = fleet.start_member(place) {
        eprintln!("{report:?}");
    }
}
