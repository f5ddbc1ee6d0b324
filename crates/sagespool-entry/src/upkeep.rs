//! Forgetting what has lapsed.

use std::sync::Arc;
use std::time::Duration;

use sagespool_types::ClockTime;

use crate::state::EntryState;

/// Longer than any request takes to be answered by a home that was paused when it came.
const ABANDONED_KEPT: Duration = Duration::from_secs(600);
const PERIOD: Duration = Duration::from_secs(5);

/// Drops lapsed keys and unused limits, for the process's whole life.
pub(crate) async fn run_upkeep(state: Arc<EntryState>) {
    loop {
        smol::Timer::after(PERIOD).await;
        let now = ClockTime::now();
        state.keys.expire(now);
        state.limits.expire(now);
        state.abandoned().retain(|_, at| now.since(*at) < ABANDONED_KEPT);
    }
}
