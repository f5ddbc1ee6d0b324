//! Removal of expired state.

use std::sync::Arc;
use std::time::Duration;

use sagespool_types::ClockTime;

use crate::state::EntryState;

/// How long notices of abandoned requests are kept. Longer than a paused home may take to reply to
/// a request.
const ABANDONED_RETENTION: Duration = Duration::from_secs(600);
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Removes expired keys, unused limits and old abandon notices, for the lifetime of the process.
pub(crate) async fn run_expiry(state: Arc<EntryState>) {
    loop {
        smol::Timer::after(EXPIRY_INTERVAL).await;
        let now = ClockTime::now();
        state.keys.expire(now);
        state.limits.expire(now);
        state.abandoned().retain(|_, at| now.since(*at) < ABANDONED_RETENTION);
    }
}
