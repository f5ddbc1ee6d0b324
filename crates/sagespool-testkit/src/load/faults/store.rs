//! Faults of the platform's store.

use crate::fleet::RunningFleet;

/// Takes the store out of service, or back.
pub(super) fn set_outage(fleet: &RunningFleet, outage: bool) {
    let mut faults = fleet.store.faults();
    faults.outage = outage;
    fleet.store.set_faults(faults);
}

/// Loses a share of the answers to writes that took effect.
pub(super) fn set_lost_answers(fleet: &RunningFleet, share: f64) {
    let mut faults = fleet.store.faults();
    faults.lose_answer_share = share;
    fleet.store.set_faults(faults);
}
