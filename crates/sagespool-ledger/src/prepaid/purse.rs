//! One instance's side of an account's budget.

use std::time::Duration;

use sagespool_types::{ClockTime, TokenCount};

use super::PrepaidRecord;

/// How large grants are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantPolicy {
    /// A grant covers the use of so long a time: the store may be away without a warning, and
    /// what isn't granted can't be spent then.
    pub ahead: Duration,
    /// No instance takes more than this part of what is free, so that one restart never gives up
    /// much of a total.
    pub share: f64,
    /// The part of a total that may be given up: no supply is larger than what is left of it.
    ///
    /// Guards against totals that can't be used up: what a killed run held is given up, and so is
    /// what all runs held when all are killed at once. Callers count on 97 in 100 of a total. Once
    /// more than the rest is given up, every later request of the account is refused though
    /// callers can show that it would fit. With supplies for three seconds alone, a kill gave up
    /// as much as a tenth of a total in the first half of it. A supply that stays within what may
    /// be lost bridges outages of the store as long as no kill has used that up.
    pub idle: f64,
    /// How many instances take supplies of an account beside each other.
    pub instances: usize,
}

impl GrantPolicy {
    /// The terms of one of several instances: its part of what is free.
    pub fn per_instance(self, instances: usize) -> Self {
        Self { instances: instances.max(1), ..self }
    }

    /// The terms in a fleet in which accounts have their homes at so many instances. A supply lies with its
    /// account's home: the more homes there are, the fewer accounts lose theirs when an instance is
    /// killed, and the longer may supplies bridge outages of the store, which all accounts meet at once.
    pub fn scaled_to_homes(self, homes: usize) -> Self {
        let factor = (homes as f64 / HOMES_FOR_IDLE).clamp(1.0, MOST_IDLE_FACTOR);
        Self { ahead: self.ahead.mul_f64(factor), idle: (self.idle * factor).min(1.0), ..self }
    }

    /// One instance's part of what all may take.
    fn part_of(self, all: f64) -> f64 {
        all / self.instances as f64
    }

    /// The largest supply under which no more is given up than may be.
    fn largest_supply(self, total: TokenCount, given_up: TokenCount) -> f64 {
        let losable = total.0 as f64 * self.idle;
        let left = (losable - given_up.0 as f64).max(losable * LEAST_LEFT);
        self.part_of(left)
    }
}

/// What this instance may spend of one account, and has spent.
#[derive(Debug, Clone, Default)]
pub struct PrepaidBalance {
    /// The newest grant that the store acknowledged, or a lower one that was asked for since.
    granted: TokenCount,
    /// What other instances lent to this one in all.
    borrowed: TokenCount,
    /// What this one lent to others in all: it counts as spent here.
    lent: TokenCount,
    used: TokenCount,
    reserved: TokenCount,
    /// What killed runs had given up of the total when the book was seen last.
    given_up: TokenCount,
    /// Tokens a second, over the last seconds.
    rate: f64,
    rate_at: ClockTime,
    /// When the first use was seen.
    rate_since: Option<ClockTime>,
}

/// With so many homes, a supply may be as large as the terms say; with more, larger in proportion.
const HOMES_FOR_IDLE: f64 = 10.0;
/// All may be killed at once: supplies grow no further than this.
const MOST_IDLE_FACTOR: f64 = 3.0;
/// Of a total, the last part is granted sparingly: supplies that lie idle there, or are given up by a
/// killed instance, would turn requests away that the total covers.
const END_SHARE: f64 = 0.1;
/// Of what is left of that part, so much is spare all the same: a write for each request is dear
/// where requests are a thousandth of a total. With a share of 0.2 a kill gives up a hundredth of a
/// total, of the three that may be left over.
const END_SPARE: f64 = 0.5;
/// Of what may be given up, so much is risked even after all of it has been: with less, each request
/// would wait for a write of its own.
const LEAST_LEFT: f64 = 0.2;
/// The rate of use forgets half within this time.
const RATE_HALF_LIFE: Duration = Duration::from_secs(4);
/// A rate over less than this says little: one request isn't a habit.
const LEAST_RATE_SPAN: Duration = Duration::from_secs(1);
/// A loan to an instance that uses much of an account covers its use for so long beside what it
/// misses: with a loan for each request, both instances do little else.
const LOAN_AHEAD: Duration = Duration::from_millis(1000);
/// Instances that use less than so many requests' worth in that time borrow what they miss alone. Many
/// such hold an account's rests together.
const LEAST_LOAN_REQUESTS: f64 = 10.0;
/// Of the largest supply, a loan ahead is this part at most.
const LOAN_PART: f64 = 0.25;

impl PrepaidBalance {
    /// What can be spent beside what is reserved.
    pub fn free(&self) -> TokenCount {
        (self.granted + self.borrowed).less(self.lent + self.used + self.reserved)
    }

    /// Sets an amount aside for a request; false if the purse doesn't hold it.
    pub fn reserve(&mut self, amount: TokenCount, now: ClockTime) -> bool {
        self.note_demand(amount, now);
        if amount > self.free() {
            return false;
        }
        self.reserved += amount;
        true
    }

    /// Ends a reservation: a part of it was used.
    pub fn settle(&mut self, reserved: TokenCount, used: TokenCount) {
        self.reserved = self.reserved.less(reserved);
        self.used += used;
    }

    /// Gives a part of what is free to another instance.
    pub fn lend(&mut self, wanted: TokenCount) -> TokenCount {
        let lent = wanted.min(self.free());
        self.lent += lent;
        lent
    }

    /// Takes what another instance gave.
    pub fn borrow(&mut self, amount: TokenCount) {
        self.borrowed += amount;
    }

    /// The least grant under which everything that was spent or promised is covered.
    pub fn min_grant(&self) -> TokenCount {
        (self.lent + self.used + self.reserved).less(self.borrowed)
    }

    /// Whether a larger grant should be asked for before the purse is empty.
    pub fn runs_low(&self, terms: GrantPolicy, total: TokenCount, now: ClockTime) -> bool {
        let wanted = self.wanted_ahead(terms, total, self.given_up, now);
        (self.free().0 as f64) < wanted / 2.0
    }

    /// What to borrow for the time ahead, beside what a request of some amount misses.
    pub fn loan_ahead(
        &self,
        terms: GrantPolicy,
        total: TokenCount,
        amount: TokenCount,
        now: ClockTime,
    ) -> TokenCount {
        let lasting = self.rate_now(now) * LOAN_AHEAD.as_secs_f64();
        if lasting < amount.0 as f64 * LEAST_LOAN_REQUESTS {
            return TokenCount::ZERO;
        }
        let most = terms.largest_supply(total, self.given_up) * LOAN_PART;
        TokenCount(lasting.min(most) as u64)
    }

    /// What a home gives of a loan for the time ahead. It is asked by many borrowers, whose loans lie
    /// idle together: each gets its share of what may, by its part of the account's use.
    ///
    /// Guards against totals that can't be used up: what a borrower holds is lost when it is killed,
    /// and with a loan for a whole second at each of many, single kills lost 4 in 100 of a total.
    pub fn allowed_loan_ahead(
        &self,
        terms: GrantPolicy,
        total: TokenCount,
        ahead: TokenCount,
        now: ClockTime,
    ) -> TokenCount {
        let asked_by_all = self.rate_now(now) * LOAN_AHEAD.as_secs_f64();
        let most = terms.largest_supply(total, self.given_up) * LOAN_PART;
        let share = (most / asked_by_all.max(1.0)).min(1.0);
        TokenCount((ahead.0 as f64 * share) as u64)
    }

    /// Takes out what is left of loans beyond all that was spent or promised, for another instance. The
    /// book doesn't know of it: what it has for this instance ends with its grant alone.
    pub fn take_surplus(&mut self) -> TokenCount {
        let surplus = self.borrowed.less(self.lent + self.used + self.reserved);
        self.lend(surplus)
    }

    /// The supply that is aimed at.
    fn wanted_ahead(
        &self,
        terms: GrantPolicy,
        total: TokenCount,
        given_up: TokenCount,
        now: ClockTime,
    ) -> f64 {
        let lasting = self.rate_now(now) * terms.ahead.as_secs_f64();
        lasting.min(terms.largest_supply(total, given_up))
    }

    /// Takes note of what the book says of losses.
    pub fn observe_record(&mut self, book: &PrepaidRecord) {
        self.given_up = book.given_up;
    }

    /// What a grant holds beyond what is spent, promised, or missing.
    pub fn supply_in_grant(&self, granted: TokenCount, missing: TokenCount) -> TokenCount {
        granted.less(self.min_grant() + missing)
    }

    /// The grant to ask a book for, so that `missing` more can be reserved: that and a supply for
    /// the time ahead, as far as the book goes. Nothing if the book can't cover `missing`.
    ///
    /// Never less than the grant that this purse goes by, however large that is by now. A write
    /// that lowers it may take effect without an answer; the purse would go on spending what the
    /// book has given to others. [`lower_grant_to`](Self::lower_grant_to) comes first where a grant is to shrink.
    pub fn grant_to_request(
        &self,
        book: &PrepaidRecord,
        present: TokenCount,
        missing: TokenCount,
        terms: GrantPolicy,
        now: ClockTime,
    ) -> Option<TokenCount> {
        // What the book has for this run counts as free: it is about to be set anew.
        let room = book.free() + present;
        let least = self.min_grant() + missing;
        if least > room {
            return None;
        }
        let left = room.less(least).0 as f64;
        let spare = (left - book.prepaid.0 as f64 * END_SHARE).max(left * END_SPARE);
        let fair = terms.part_of(spare * terms.share);
        let ahead = self.wanted_ahead(terms, book.prepaid, book.given_up, now).min(fair);
        Some((least + TokenCount(ahead as u64)).max(self.granted))
    }

    /// Takes the grant that the store acknowledged.
    pub fn set_acknowledged(&mut self, granted: TokenCount) {
        self.granted = granted;
    }

    /// Lowers the grant before a write that says so is sent: the write may take effect without an
    /// answer, and what it gave back may then be granted to others.
    pub fn lower_grant_to(&mut self, granted: TokenCount) {
        self.granted = self.granted.min(granted);
    }

    /// Counts what a request, or another instance, wants from this one: supplies allow for it.
    pub fn note_demand(&mut self, amount: TokenCount, now: ClockTime) {
        let rate = self.decayed_rate(now);
        let decay = std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        self.rate = rate + amount.0 as f64 * decay;
        self.rate_at = now;
        self.rate_since.get_or_insert(now);
    }

    /// The rate of use. The decaying sum has seen only a part of it until some half-lives have passed
    /// since the first use; a supply that allowed for that part alone would end in the first second
    /// of an early outage.
    fn rate_now(&self, now: ClockTime) -> f64 {
        let span = self.rate_since.map_or(Duration::ZERO, |since| now.since(since));
        let half_lives = span.max(LEAST_RATE_SPAN).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.decayed_rate(now) / (1.0 - 0.5f64.powf(half_lives))
    }

    fn decayed_rate(&self, now: ClockTime) -> f64 {
        let age = now.since(self.rate_at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(age)
    }
}
