//! Kills and restarts of processes.

use fastrand::Rng;

use crate::fleet::{ProcessEventKind, RunningFleet};

/// Indices of the running entries, or of the running sidecars.
pub(super) fn running(fleet: &RunningFleet, entries: bool) -> Vec<usize> {
    let members = fleet.members.iter().enumerate();
    members
        .filter(|(_, member)| member.is_entry() == entries && member.process.is_some())
        .map(|(index, _)| index)
        .collect()
}

/// The index of a random running entry or sidecar.
pub(super) fn pick(fleet: &RunningFleet, entries: bool, rng: &mut Rng) -> Option<usize> {
    let indices = running(fleet, entries);
    rng.choice(indices)
}

/// Kills a member's process.
pub(super) fn kill(fleet: &mut RunningFleet, index: usize) {
    let Some(process) = fleet.members[index].process.take() else {
        return;
    };
    // It may have exited already, which is equivalent here.
    let _ = process.kill();
    fleet.record_process_event(index, ProcessEventKind::Ended);
}

/// Starts a member if it is not running.
pub(super) fn restart(fleet: &mut RunningFleet, index: usize) {
    if fleet.members[index].process.is_some() {
        return;
    }
    if let Err(report) = fleet.start_member(index) {
        eprintln!("{report:?}");
    }
}
