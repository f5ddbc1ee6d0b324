//! What a gateway that isn't ready yet waits for.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_types::ClockTime;
use smol::Timer;

use crate::state::GatewayState;

const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Interval of the log lines of a start that takes long.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Logs what the start waits for, until the gateway can serve or stops.
pub(crate) async fn log_start(state: Arc<GatewayState>) {
    let began = ClockTime::now();
    let mut logged_at = began;
    while !state.can_serve() {
        Timer::after(CHECK_PERIOD).await;
        if state.is_stopping() {
            return;
        }
        let now = ClockTime::now();
        if now.since(logged_at) >= LOG_PERIOD {
            logged_at = now;
            let waited_ms = now.since(began).as_millis();
            log_event!(
                warn,
                "start-waits",
                waited_ms = waited_ms,
                lists = describe_awaited(&state)
            );
        }
    }
    let took_ms = ClockTime::now().since(began).as_millis();
    log_event!(info, "gateway-ready", took_ms = took_ms);
}

/// The lists that a gateway hasn't read yet, each with the last error of the store.
pub(crate) fn describe_awaited(state: &GatewayState) -> String {
    let mut text = String::new();
    for kind in state.awaited_lists() {
        let separator = if text.is_empty() { "" } else { "; " };
        let error = state.feeds.replica(kind).store_error();
        let cause = error.as_deref().unwrap_or("not answered yet");
        write!(text, "{separator}{}: {cause}", kind.as_str()).expect("writing to a String");
    }
    text
}
