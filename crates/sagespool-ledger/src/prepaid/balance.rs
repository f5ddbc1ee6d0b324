//! The state of one instance's share of an account's budget.

use std::time::Duration;

use sagespool_types::{ClockTime, TokenCount};

use super::PrepaidRecord;

/// Limits on the size of grants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantPolicy {
    /// A grant covers the expected use for this time: the store may become unavailable without
    /// warning, and only what is granted can be spent then.
    pub ahead: Duration,
    /// Maximum share of the free part that an instance takes, so that one restart never loses much
    /// of a total.
    pub share: f64,
    /// The share of a total that may be lost with killed runs; no supply is larger than what is
    /// left of it.
    ///
    /// A killed run loses its grant, and all runs may be killed at once. Callers rely on 97 % of a
    /// total. Once more than the remainder is lost, every later request of the account is refused
    /// although callers can show that the total covers it. With supplies limited only to three
    /// seconds of use, a kill lost up to a tenth of a total in the first half of it. A supply
    /// within this share bridges outages of the store as long as no kill has used up the share.
    pub idle: f64,
    /// Number of instances that take supplies of an account at the same time.
    pub instances: usize,
}

impl GrantPolicy {
    /// The limits for one of several instances, which divide the supplies between them.
    pub fn per_instance(self, instances: usize) -> Self {
        Self { instances: instances.max(1), ..self }
    }

    /// The limits in a fleet with this many homes. The supply of an account is held by its home.
    /// With more homes, a killed instance loses the supplies of fewer accounts, so supplies may
    /// bridge longer outages of the store, which affect all accounts at once.
    pub fn scaled_to_homes(self, homes: usize) -> Self {
        let factor = (homes as f64 / BASE_HOMES).clamp(1.0, MAX_HOMES_FACTOR);
        Self { ahead: self.ahead.mul_f64(factor), idle: (self.idle * factor).min(1.0), ..self }
    }

    /// One instance's part of an amount for all instances.
    fn instance_part(self, all: f64) -> f64 {
        all / self.instances as f64
    }

    /// The largest supply that keeps the losses within the allowed share.
    fn largest_supply(self, total: TokenCount, lost: TokenCount) -> f64 {
        let losable = total.0 as f64 * self.idle;
        let left = (losable - lost.0 as f64).max(losable * MIN_LOSABLE_SHARE);
        self.instance_part(left)
    }
}

/// What this instance may spend of one account and has spent.
#[derive(Debug, Clone, Default)]
pub struct PrepaidBalance {
    /// The last grant acknowledged by the store, or a lower one requested since.
    granted: TokenCount,
    /// Sum of the loans from other instances.
    borrowed: TokenCount,
    /// Sum of the loans to other instances, which count as spent here.
    lent: TokenCount,
    used: TokenCount,
    reserved: TokenCount,
    /// Tokens lost with killed runs, from the record as last seen.
    lost: TokenCount,
    /// Tokens per second; a decaying average.
    rate: f64,
    rate_at: ClockTime,
    /// The time of the first use.
    rate_since: Option<ClockTime>,
}

/// Up to this many homes, the limits apply as configured; beyond it, they grow in proportion.
const BASE_HOMES: f64 = 10.0;
/// Maximum growth factor: all instances may be killed at once.
const MAX_HOMES_FACTOR: f64 = 3.0;
/// The last share of a total, which is granted sparingly: a supply that is unused there, or lost
/// with a killed instance, would cause refusals of requests that the total covers.
const FINAL_SHARE: f64 = 0.1;
/// The share of that remainder that may be granted as a supply all the same: a write for each
/// request is expensive where requests are a thousandth of a total. With a grant share of 0.2, a
/// kill loses a hundredth of a total, of the three hundredths that may be left over.
const FINAL_SPARE_SHARE: f64 = 0.5;
/// The share of the allowed loss that is used for supplies even after all of it has been lost: with
/// less, each request would wait for a write of its own.
const MIN_LOSABLE_SHARE: f64 = 0.2;
/// Half-life of the rate of use.
const RATE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Minimum time span for a rate: a single request shows no trend.
const MIN_RATE_SPAN: Duration = Duration::from_secs(1);
/// A loan to an instance that uses much of an account covers its expected use for this time beside
/// the shortfall: loans for single requests took up most of both instances' time.
const LOAN_AHEAD_TIME: Duration = Duration::from_millis(1000);
/// An instance that uses fewer than this many requests' worth in that time borrows only its
/// shortfall: together, many such instances would hold a large unused part of the account.
const MIN_LOAN_AHEAD_REQUESTS: f64 = 10.0;
/// Maximum size of such a loan, as a share of the largest supply.
const MAX_LOAN_SHARE: f64 = 0.25;

impl PrepaidBalance {
    /// Tokens that can be reserved.
    pub fn free(&self) -> TokenCount {
        (self.granted + self.borrowed).saturating_sub(self.lent + self.used + self.reserved)
    }

    /// Reserves an amount for a request; false if the free part doesn't cover it.
    pub fn reserve(&mut self, amount: TokenCount, now: ClockTime) -> bool {
        self.note_demand(amount, now);
        if amount > self.free() {
            return false;
        }
        self.reserved += amount;
        true
    }

    /// Ends a reservation with the part of it that was used.
    pub fn settle(&mut self, reserved: TokenCount, used: TokenCount) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.used += used;
    }

    /// Lends up to the wanted amount of the free part to another instance.
    pub fn lend(&mut self, wanted: TokenCount) -> TokenCount {
        let lent = wanted.min(self.free());
        self.lent += lent;
        lent
    }

    /// Adds a loan from another instance.
    pub fn borrow(&mut self, amount: TokenCount) {
        self.borrowed += amount;
    }

    /// The smallest grant that covers all that is spent, lent or reserved.
    pub fn min_grant(&self) -> TokenCount {
        (self.lent + self.used + self.reserved).saturating_sub(self.borrowed)
    }

    /// Whether to request a larger grant before the free part is used up.
    pub fn runs_low(&self, policy: GrantPolicy, total: TokenCount, now: ClockTime) -> bool {
        let wanted = self.intended_supply(policy, total, self.lost, now);
        (self.free().0 as f64) < wanted / 2.0
    }

    /// The amount to borrow for expected use, beside the shortfall of a request of this size.
    pub fn loan_ahead(
        &self,
        policy: GrantPolicy,
        total: TokenCount,
        amount: TokenCount,
        now: ClockTime,
    ) -> TokenCount {
        let expected_use = self.rate_now(now) * LOAN_AHEAD_TIME.as_secs_f64();
        if expected_use < amount.0 as f64 * MIN_LOAN_AHEAD_REQUESTS {
            return TokenCount::ZERO;
        }
        let most = policy.largest_supply(total, self.lost) * MAX_LOAN_SHARE;
        TokenCount(expected_use.min(most) as u64)
    }

    /// The part of a requested loan for expected use that a home lends. Many borrowers request such
    /// loans, which are unused at the same time: each gets a share according to its part of the
    /// account's use.
    ///
    /// A killed borrower loses its loan. With loans for a whole second of use at each of many
    /// borrowers, single kills lost 4 % of a total.
    pub fn allowed_loan_ahead(
        &self,
        policy: GrantPolicy,
        total: TokenCount,
        ahead: TokenCount,
        now: ClockTime,
    ) -> TokenCount {
        let requested_by_all = self.rate_now(now) * LOAN_AHEAD_TIME.as_secs_f64();
        let most = policy.largest_supply(total, self.lost) * MAX_LOAN_SHARE;
        let share = (most / requested_by_all.max(1.0)).min(1.0);
        TokenCount((ahead.0 as f64 * share) as u64)
    }

    /// Time since the last request of the account; `None` while one is in flight.
    pub fn idle_time(&self, now: ClockTime) -> Option<Duration> {
        (self.reserved == TokenCount::ZERO).then(|| now.since(self.rate_at))
    }

    /// Removes the unused part of loans from other instances, to be lent to another instance. The
    /// store's record doesn't include loans; its entry for this instance ends only with the grant.
    pub fn take_surplus(&mut self) -> TokenCount {
        let surplus = self.surplus();
        self.lend(surplus)
    }

    /// The unused part of loans from other instances.
    pub fn surplus(&self) -> TokenCount {
        self.borrowed.saturating_sub(self.lent + self.used + self.reserved)
    }

    /// The intended size of the supply.
    fn intended_supply(
        &self,
        policy: GrantPolicy,
        total: TokenCount,
        lost: TokenCount,
        now: ClockTime,
    ) -> f64 {
        let expected_use = self.rate_now(now) * policy.ahead.as_secs_f64();
        expected_use.min(policy.largest_supply(total, lost))
    }

    /// Updates the losses from the record.
    pub fn observe_record(&mut self, record: &PrepaidRecord) {
        self.lost = record.given_up;
    }

    /// The part of a grant beyond all that is spent, lent, reserved or missing.
    pub fn supply_in_grant(&self, granted: TokenCount, missing: TokenCount) -> TokenCount {
        granted.saturating_sub(self.min_grant() + missing)
    }

    /// The grant to request from a record, so that `missing` more can be reserved: that amount and
    /// a supply for expected use, as far as the record covers it. None if the record can't cover
    /// `missing`.
    ///
    /// Never less than the present grant, even if that is too large by now. A write that lowers it
    /// may take effect although its reply is lost, and this instance would go on spending what the
    /// record has granted to others. Call [`lower_grant_to`](Self::lower_grant_to) first to lower a
    /// grant.
    pub fn grant_to_request(
        &self,
        record: &PrepaidRecord,
        present: TokenCount,
        missing: TokenCount,
        policy: GrantPolicy,
        now: ClockTime,
    ) -> Option<TokenCount> {
        // The present grant of this run counts as free: it is about to be replaced.
        let room = record.free() + present;
        let least = self.min_grant() + missing;
        if least > room {
            return None;
        }
        let left = room.saturating_sub(least).0 as f64;
        let spare = (left - record.prepaid.0 as f64 * FINAL_SHARE).max(left * FINAL_SPARE_SHARE);
        let fair = policy.instance_part(spare * policy.share);
        let ahead = self.intended_supply(policy, record.prepaid, record.given_up, now).min(fair);
        Some((least + TokenCount(ahead as u64)).max(self.granted))
    }

    /// Sets the grant acknowledged by the store.
    pub fn set_acknowledged(&mut self, granted: TokenCount) {
        self.granted = granted;
    }

    /// Lowers the grant before the write that lowers it in the store is sent: the write may take
    /// effect although its reply is lost, and the difference may then be granted to others.
    pub fn lower_grant_to(&mut self, granted: TokenCount) {
        self.granted = self.granted.min(granted);
    }

    /// Counts an amount requested here or by another instance, so that supplies cover such demand.
    pub fn note_demand(&mut self, amount: TokenCount, now: ClockTime) {
        let rate = self.decayed_rate(now);
        let decay = std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        self.rate = rate + amount.0 as f64 * decay;
        self.rate_at = now;
        self.rate_since.get_or_insert(now);
    }

    /// The rate of use. The decaying sum covers only a part of it until some half-lives have passed
    /// since the first use; a supply based on that part alone would run out in the first second of
    /// an early outage.
    fn rate_now(&self, now: ClockTime) -> f64 {
        let span = self.rate_since.map_or(Duration::ZERO, |since| now.since(since));
        let half_lives = span.max(MIN_RATE_SPAN).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.decayed_rate(now) / (1.0 - 0.5f64.powf(half_lives))
    }

    fn decayed_rate(&self, now: ClockTime) -> f64 {
        let age = now.since(self.rate_at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(age)
    }
}
