//! How the store fares, as seen by what follows it.

use std::fmt::Display;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::MemberInfo;
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, IncarnationId};
use smol::Timer;

use crate::follow::Followed;
use crate::state::GatewayState;

/// Between a failed call and the next: enough that a store that comes back isn't flooded. Each
/// further failure doubles it.
const FAILURE_PAUSE: Duration = Duration::from_millis(120);
const LONGEST_FAILURE_PAUSE: Duration = Duration::from_millis(900);
const MOST_DOUBLINGS: u32 = 8;

/// How the store fares, as far as one that follows it can tell.
#[derive(Default)]
pub(crate) struct StoreContact {
    /// Since when it has been lost.
    lost: Option<ClockTime>,
    /// Calls that failed in a row.
    failures: u32,
    /// The neighbour that is asked in its place.
    neighbour: Option<IncarnationId>,
}

impl StoreContact {
    /// Notes whom changes are learnt from.
    pub(crate) fn go_by(&mut self, followed: &Followed, neighbour: Option<&MemberInfo>) {
        let id = neighbour.map(|member| member.incarnation);
        if std::mem::replace(&mut self.neighbour, id) == id {
            return;
        }
        let from =
            neighbour.map_or_else(|| "store".to_owned(), |member| member.instance.to_string());
        log_event!(info, "followed-by-way-of", what = followed.what, from = from);
    }

    /// Notes that the store doesn't answer.
    pub(crate) fn lose(&mut self, state: &GatewayState, followed: &Followed, error: &dyn Display) {
        state.feeds.slot(followed.kind).note_store(true);
        if self.lost.is_none() {
            self.lost = Some(ClockTime::now());
            log_event!(warn, "store-lost", what = followed.what, error = error);
        }
    }

    /// Notes that it does.
    pub(crate) fn succeed(&mut self, state: &GatewayState, followed: &Followed) {
        self.failures = 0;
        state.feeds.slot(followed.kind).note_store(false);
        if let Some(since) = self.lost.take() {
            let outage = ClockTime::now().since(since);
            let away_ms = outage.as_millis();
            log_event!(info, "store-regained", what = followed.what, away_ms = away_ms);
            (followed.on_return)(state, outage);
        }
    }

    /// Notes a call that failed, and waits before the next one.
    ///
    /// Guards against a store that is down or turns callers away: all instances would call it again
    /// at once, many times a second, and the first thing that it meets when it comes back is that.
    pub(crate) async fn fail(
        &mut self,
        state: &GatewayState,
        followed: &Followed,
        error: &StoreError,
    ) {
        self.lose(state, followed, error);
        let pause = FAILURE_PAUSE * 2u32.saturating_pow(self.failures.min(MOST_DOUBLINGS));
        self.failures += 1;
        Timer::after(pause.min(LONGEST_FAILURE_PAUSE).mul_f64(0.5 + fastrand::f64())).await;
    }
}
