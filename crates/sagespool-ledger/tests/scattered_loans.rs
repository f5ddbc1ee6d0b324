//! Accounts whose requests arrive at hundreds of instances.
//!
//! Load of a fleet of 384 gateways and 333 accounts: an instance sees an account once in four minutes.
//! Each request borrows its maximum cost from the account's home and uses less.

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_ledger::{GrantPolicy, PrepaidBalance, PrepaidRecord};
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, InstanceName, TokenCount};

const INSTANCES: usize = 384;
const PREPAID: TokenCount = TokenCount(400_000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
const REQUEST_TIME: Duration = Duration::from_millis(900);
const IDLE_LOAN_TIME: Duration = Duration::from_secs(1);
const POLICY: GrantPolicy =
    GrantPolicy { ahead: Duration::from_secs(9), share: 0.2, idle: 0.12, instances: 1 };

/// A request in flight: its instance, its reserved and its used tokens, and its end.
struct Running {
    instance: usize,
    reserved: TokenCount,
    used: TokenCount,
    ends_at: ClockTime,
}

/// An account with its record, its home and the other instances.
struct Account {
    record: PrepaidRecord,
    home: PrepaidBalance,
    others: BTreeMap<usize, PrepaidBalance>,
    running: Vec<Running>,
    used: TokenCount,
}

impl Account {
    fn new() -> Self {
        let mut record = PrepaidRecord::default();
        record.set_total(ConfigVersion(1), PREPAID);
        Self {
            record,
            home: PrepaidBalance::default(),
            others: BTreeMap::new(),
            running: Vec::new(),
            used: TokenCount::ZERO,
        }
    }

    /// Raises the home's grant until it covers an amount; false if the record can't.
    fn cover(&mut self, amount: TokenCount, now: ClockTime) -> bool {
        let run = IncarnationId(1);
        let instance: InstanceName = "home".parse().expect("a valid name");
        self.home.note_demand(amount, now);
        if amount <= self.home.free() {
            return true;
        }
        let present = self.record.granted(run);
        let missing = amount.saturating_sub(self.home.free());
        let wanted = self.home.grant_to_request(&self.record, present, missing, POLICY, now);
        let Some(wanted) = wanted else { return false };
        self.record.set_granted(run, &instance, wanted);
        self.home.set_acknowledged(wanted);
        amount <= self.home.free()
    }

    /// Serves a request with a loan from the home; false if the home has too little.
    fn begin(
        &mut self,
        instance: usize,
        reserved: TokenCount,
        used: TokenCount,
        now: ClockTime,
    ) -> bool {
        let own = self.others.entry(instance).or_default();
        if !own.reserve(reserved, now) {
            let missing = reserved.saturating_sub(own.free());
            if !self.cover(missing, now) {
                return false;
            }
            let lent = self.home.lend(missing);
            let own = self.others.entry(instance).or_default();
            own.borrow(lent);
            assert!(own.reserve(reserved, now), "the loan covers the request");
        }
        self.running.push(Running { instance, reserved, used, ends_at: now.after(REQUEST_TIME) });
        true
    }

    fn end_requests(&mut self, now: ClockTime) {
        for done in self.running.extract_if(.., |request| request.ends_at <= now) {
            let own = self.others.get_mut(&done.instance).expect("it reserved the tokens");
            own.settle(done.reserved, done.used);
            self.used += done.used;
        }
    }

    /// Returns the unused loans of idle instances to the home.
    fn return_idle_loans(&mut self, now: ClockTime) {
        for own in self.others.values_mut() {
            if own.idle_time(now).is_some_and(|idle| idle >= IDLE_LOAN_TIME) {
                self.home.borrow(own.take_surplus());
            }
        }
    }

    /// Unused tokens at instances that have no request in flight.
    fn stranded(&self) -> TokenCount {
        self.others.values().map(PrepaidBalance::surplus).sum()
    }
}

/// Sends requests until one isn't covered. Returns the used and the stranded part of the total.
fn spend(seed: u64, returns_loans: bool) -> (f64, f64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut account = Account::new();
    let mut now = ClockTime::from_millis(1_000);
    loop {
        now = now.after(REQUEST_INTERVAL);
        account.end_requests(now);
        if returns_loans {
            account.return_idle_loans(now);
        }
        let reserved = TokenCount(random.u64(3_000..12_000));
        let used = TokenCount(reserved.0 * random.u64(60..100) / 100);
        if !account.begin(random.usize(0..INSTANCES), reserved, used, now) {
            break;
        }
        assert!(account.used <= PREPAID, "seed {seed}");
    }
    // The last requests end, and what they leave is returned.
    now = now.after(REQUEST_TIME + IDLE_LOAN_TIME);
    account.end_requests(now);
    if returns_loans {
        account.return_idle_loans(now);
    }
    let share = |tokens: TokenCount| tokens.0 as f64 / PREPAID.0 as f64;
    (share(account.used), share(account.stranded()))
}

/// Guards against refusals of requests that the total covers, because the tokens lie in small parts at
/// many instances. Callers rely on 97 % of a total.
#[test]
fn loans_return() {
    for seed in 0..200 {
        let (_, stranded) = spend(seed, true);
        assert!(stranded <= 0.03, "seed {seed}: {stranded:.3} of the total is stranded");
    }
}

/// Without returns, a tenth of the total and more is unusable when the account is refused.
#[test]
fn kept_loans_strand() {
    let stranded = (0..200).map(|seed| spend(seed, false).1).sum::<f64>() / 200.0;
    assert!(stranded > 0.1, "{stranded:.3} of the total is stranded");
}

/// Guards against returns that create tokens: whatever is lent and returned, the use never exceeds the
/// total, even if the account is spent again after the returns.
#[test]
fn returns_create_nothing() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut account = Account::new();
        let mut now = ClockTime::from_millis(1_000);
        for _ in 0..400 {
            now = now.after(Duration::from_millis(random.u64(0..700)));
            account.end_requests(now);
            account.return_idle_loans(now);
            let reserved = TokenCount(random.u64(1..20_000));
            let used = TokenCount(random.u64(0..=reserved.0));
            account.begin(random.usize(0..8), reserved, used, now);
        }
        account.end_requests(now.after(REQUEST_TIME));
        assert!(account.used <= PREPAID, "seed {seed}: {} used", account.used);
    }
}
