//! Caching of budget shortages and failed loan rounds.

use std::time::Duration;

use sagespool_types::{ClockTime, ConfigVersion, TokenCount};

/// How long a shortage holds when it is first found. Short, since tokens may be on their way back
/// to the record.
const INITIAL_TTL: Duration = Duration::from_millis(300);
/// Maximum time that a shortage holds after repeated reads found no more. An instance that stops
/// returns its tokens within one or two seconds; a new configuration ends the shortage immediately.
const MAX_TTL: Duration = Duration::from_millis(1200);

/// A recent finding that the record and all instances' free tokens together don't cover a request.
///
/// Callers of a spent account continue to send requests, and each check is a read of the record and
/// a query to every other instance. Each check that finds no more doubles the time until the next
/// one: at 20 requests/s that makes 22 reads in 25 s, against 84 with a fixed interval of 300 ms.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CachedShortage {
    /// The amount that could have been covered.
    room: TokenCount,
    version: ConfigVersion,
    noted_at: ClockTime,
    ttl: Duration,
}

impl CachedShortage {
    /// A finding that no more than `room` can be covered, after the previous one, if any.
    pub fn updated(
        previous: Option<Self>,
        room: TokenCount,
        version: ConfigVersion,
        now: ClockTime,
    ) -> Self {
        let confirmed =
            previous.filter(|previous| previous.version == version && room <= previous.room);
        let ttl = confirmed.map_or(INITIAL_TTL, |previous| (previous.ttl * 2).min(MAX_TTL));
        Self { room, version, noted_at: now, ttl }
    }

    /// The finding after tokens were returned.
    pub fn widened(self, amount: TokenCount) -> Self {
        Self { room: self.room + amount, ..self }
    }

    /// The amount that could have been covered.
    pub fn room(&self) -> TokenCount {
        self.room
    }

    /// Whether the finding is recent enough to be used.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        now.since(self.noted_at) < self.ttl
    }

    /// Whether the finding rules out an amount. It holds for its own configuration version only.
    pub fn excludes(&self, amount: TokenCount, version: ConfigVersion, now: ClockTime) -> bool {
        self.version == version && self.is_fresh(now) && amount > self.room
    }
}

/// How long a failed round applies to the requests that waited for it.
const FAILED_ROUND_TTL: Duration = Duration::from_millis(200);

/// A loan round that brought too little while some gateways could not be queried.
///
/// Requests of an account wait for the round in progress. While the store is unreachable and a
/// holder doesn't reply, each round lasts until its timeout. With one round per request at 50
/// requests/s, the wait would grow by seconds each second and all requests would be refused at
/// their deadlines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailedLoanRound {
    /// The amount that the round could not cover.
    amount: TokenCount,
    noted_at: ClockTime,
}

impl FailedLoanRound {
    /// A round that ended at `now`.
    pub fn new(amount: TokenCount, now: ClockTime) -> Self {
        Self { amount, noted_at: now }
    }

    /// Whether a request for this amount is refused without another round.
    pub fn applies_to(&self, amount: TokenCount, now: ClockTime) -> bool {
        amount >= self.amount && now.since(self.noted_at) < FAILED_ROUND_TTL
    }
}
