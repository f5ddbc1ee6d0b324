//! Logging of the number of store calls by category.

use std::time::Duration;

use sagespool_log::log_event;
use sagespool_platform::ObjectClient;
use smol::Timer;

const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Logs the store call counts periodically until cancelled. Calls forwarded for other processes
/// have a kind of their own.
pub(crate) async fn log_store_calls(store: ObjectClient) {
    loop {
        Timer::after(LOG_PERIOD).await;
        for (category, count) in store.call_counts() {
            log_event!(
                info,
                "store-calls",
                kind = category.kind.as_str(),
                subject = category.subject,
                count = count,
            );
        }
    }
}
