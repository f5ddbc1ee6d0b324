//! A limit that an upstream names, divided among instances that send in turn.

use std::time::Duration;

use sagespool_types::{ClockTime, SendRate};

/// The span over which a named limit is shared out: each sender gets its turn within it.
const SHARED_SPAN: Duration = Duration::from_secs(4);
/// Senders of an upstream that takes next to nothing, and of any other by how much more than the
/// requests that it takes in a second.
const FEWEST_SENDERS: usize = 1;
const EXTRA_SENDERS: usize = 4;
/// The longest pause of a sender, for upstreams that name a limit of nothing: somebody has to learn when
/// they take work again.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// An instance that isn't a sender, and hears nothing more of a limit for so long, tries the upstream. It
/// has no other way to learn of the limit's end.
const TRIAL_AFTER: Duration = Duration::from_secs(20);
/// How much later the next instance in order does so.
const TRIAL_STEP: Duration = Duration::from_secs(8);

/// How a named limit is divided among instances that send in turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SenderTurns {
    /// How many instances send.
    pub(super) senders: usize,
    /// The least time between two requests of one sender.
    pub(super) pause: Duration,
}

/// A limit that an upstream names in its answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct NamedLimit {
    /// Requests a second from all instances together.
    pub(super) rate: SendRate,
    /// Since when answers have named limits without a break.
    pub(super) since: ClockTime,
    /// When an answer named it last.
    pub(super) told: ClockTime,
}

impl NamedLimit {
    /// How the limit is divided among a fleet of so many instances. An instance that takes itself for a
    /// sender beside the others, as a newcomer may, is allowed for: senders are few against what
    /// upstreams bear.
    pub(super) fn turns(&self, instances: usize) -> SenderTurns {
        let per_second = self.rate.per_second();
        let in_span = (per_second * SHARED_SPAN.as_secs_f64()) as usize;
        let most = (per_second as usize).saturating_add(EXTRA_SENDERS);
        let senders = in_span.min(most).clamp(FEWEST_SENDERS, instances.max(FEWEST_SENDERS));
        let each = SendRate::new(per_second / senders as f64).unwrap_or(self.rate);
        SenderTurns { senders, pause: each.interval(LONGEST_PAUSE) }
    }

    /// Instances that may try the upstream because nothing was heard of its limit for long.
    pub(super) fn triers(&self, now: ClockTime) -> usize {
        let overdue = now.since(self.told).checked_sub(TRIAL_AFTER);
        overdue.map_or(0, |overdue| (overdue.as_secs() / TRIAL_STEP.as_secs()) as usize)
    }
}
