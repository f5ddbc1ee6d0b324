//! How long word of a spent budget is good for.

use std::time::Duration;

use sagespool_types::{ClockTime, ConfigVersion, TokenCount};

/// A book that couldn't cover a request is taken to be no fuller for so long at first: money may be
/// on its way back to it.
const FIRST_LIFE: Duration = Duration::from_millis(300);
/// As long at most, when one reading after the other finds no more. Money comes back from an
/// instance that stops, within a second or two, and with a new configuration, which ends what is
/// known at once.
const LONGEST_LIFE: Duration = Duration::from_millis(1200);

/// A book, and balances beside it, that couldn't cover a request.
///
/// Callers of a spent account go on asking, and each reading of its book is a call of the store and
/// a question to every other instance. Each that finds no more lets the next one wait twice as
/// long: with twenty requests a second 22 readings in 25 s, where one each 300 ms makes 84.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownShortage {
    /// What could have been covered.
    room: TokenCount,
    version: ConfigVersion,
    noted: ClockTime,
    life: Duration,
}

impl KnownShortage {
    /// Notes that no more than `room` can be covered, after what was known until now.
    pub fn noted(
        known: Option<Self>,
        room: TokenCount,
        version: ConfigVersion,
        now: ClockTime,
    ) -> Self {
        let confirmed = known.filter(|known| known.version == version && room <= known.room);
        let life = confirmed.map_or(FIRST_LIFE, |known| (known.life * 2).min(LONGEST_LIFE));
        Self { room, version, noted: now, life }
    }

    /// What could have been covered.
    pub fn room(&self) -> TokenCount {
        self.room
    }

    /// Whether it still holds.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        now.since(self.noted) < self.life
    }

    /// Whether an amount is known to be too much, under a configuration.
    pub fn covers_less_than(
        &self,
        amount: TokenCount,
        version: ConfigVersion,
        now: ClockTime,
    ) -> bool {
        self.version == version && self.is_fresh(now) && amount > self.room
    }
}

/// How long word that nobody could be asked stands for the requests that waited for it.
const FAILED_LIFE: Duration = Duration::from_millis(200);

/// A round of questions that brought too little, while not everybody could be asked.
///
/// Requests of an account wait for each other's rounds. While the store is away and a holder doesn't
/// answer, each round lasts until it gives that up; with a round for each of fifty requests a second
/// the wait would grow by seconds each second, and all would be refused at their deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailedRound {
    /// What was asked for in vain.
    amount: TokenCount,
    noted: ClockTime,
}

impl FailedRound {
    /// Notes a round that has just ended.
    pub fn noted(amount: TokenCount, now: ClockTime) -> Self {
        Self { amount, noted: now }
    }

    /// Whether a request needn't ask again.
    pub fn stands_for(&self, amount: TokenCount, now: ClockTime) -> bool {
        amount >= self.amount && now.since(self.noted) < FAILED_LIFE
    }
}
