//! Faults of the platform's store.

use crate::fleet::RunningFleet;

/// Starts or ends an outage of the store.
pub(super) fn set_outage(fleet: &RunningFleet, outage: bool) {
    let mut faults = fleet.store.faults();
    faults.outage = outage;
    fleet.store.set_faults(faults);
}

/// Loses a share of the answers to writes that were applied.
pub(super) fn set_lost_answers(fleet: &RunningFleet, share: f64) {
    let mut faults = fleet.store.faults();
    faults.lose_answer_share = share;
    fleet.store.set_faults(faults);
}
