//! Loans of an account whose callers are spread over many instances, some of which end.
//!
//! The load is that of a large account on 26 instances: its home holds the grant, and the others
//! borrow for expected use. A killed borrower loses what it holds, which the stored record can't
//! show. With loans for a whole second of use at each borrower, four kills lost 4 % of a total, and
//! hundreds of later requests were refused although callers could show that the total covered them.

use std::time::Duration;

use sagespool_ledger::{GrantPolicy, PrepaidBalance, PrepaidRecord};
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, InstanceName, TokenCount};

const TOTAL: TokenCount = TokenCount(5_000_000);
const REQUEST: TokenCount = TokenCount(7_000);
const POLICY: GrantPolicy =
    GrantPolicy { ahead: Duration::from_secs(3), share: 0.2, idle: 0.04, instances: 1 };
const HOME: IncarnationId = IncarnationId(7);
const INSTANCES: usize = 25;
/// Time between two requests of the account: 400 requests per second.
const REQUEST_INTERVAL: Duration = Duration::from_micros(2_500);

struct AccountModel {
    record: PrepaidRecord,
    home: PrepaidBalance,
    borrowers: Vec<PrepaidBalance>,
    name: InstanceName,
    used: TokenCount,
}

impl AccountModel {
    fn new() -> Self {
        let mut record = PrepaidRecord::default();
        record.set_total(ConfigVersion(1), TOTAL);
        Self {
            record,
            home: PrepaidBalance::default(),
            borrowers: vec![PrepaidBalance::default(); INSTANCES],
            name: "gateway-1".parse().expect("a name"),
            used: TokenCount::ZERO,
        }
    }

    fn lend(&mut self, missing: TokenCount, ahead: TokenCount, now: ClockTime) -> TokenCount {
        let wanted = missing + self.home.allowed_loan_ahead(POLICY, TOTAL, ahead, now);
        self.home.note_demand(wanted, now);
        if wanted > self.home.free() {
            let present = self.record.granted(HOME);
            let missing = wanted.saturating_sub(self.home.free());
            let granted = self.home.grant_to_request(&self.record, present, missing, POLICY, now);
            if let Some(granted) = granted {
                self.record.set_granted(HOME, &self.name, granted);
                self.home.set_acknowledged(granted);
            }
        }
        self.home.lend(wanted)
    }

    /// A request at a borrower; false if it can't be paid for.
    fn request(&mut self, borrower: usize, now: ClockTime) -> bool {
        let balance = &self.borrowers[borrower];
        let ahead = balance.loan_ahead(POLICY, TOTAL, REQUEST, now);
        if balance.free() < REQUEST {
            for ahead in [ahead, TokenCount::ZERO] {
                let missing = REQUEST.saturating_sub(self.borrowers[borrower].free());
                let lent = self.lend(missing, ahead, now);
                self.borrowers[borrower].borrow(lent);
                if self.borrowers[borrower].free() >= REQUEST {
                    break;
                }
            }
        }
        let balance = &mut self.borrowers[borrower];
        if !balance.reserve(REQUEST, now) {
            return false;
        }
        balance.settle(REQUEST, REQUEST);
        self.used += REQUEST;
        true
    }

    fn idle(&self) -> TokenCount {
        self.borrowers.iter().map(PrepaidBalance::free).sum()
    }
}

/// Guards against a large part of a total that is held unused by borrowers, where kills lose it.
#[test]
fn small_unused_loans() {
    let mut account = AccountModel::new();
    let mut random = fastrand::Rng::with_seed(1);
    let mut now = ClockTime(1_000_000);
    let mut most = TokenCount::ZERO;
    while account.request(random.usize(0..INSTANCES), now) {
        now = now.after(REQUEST_INTERVAL);
        // Amounts too small for another request can't be avoided.
        most = most.max(account.idle().saturating_sub(TokenCount(REQUEST.0 * INSTANCES as u64)));
    }
    assert!(most <= TokenCount(TOTAL.0 / 50), "{most} of {TOTAL} idle");
}

/// Guards against loans that are lost when instances stop gracefully, one after the other.
#[test]
fn rolling_stops() {
    let mut account = AccountModel::new();
    let mut random = fastrand::Rng::with_seed(2);
    let mut now = ClockTime(1_000_000);
    for turn in 0.. {
        if !account.request(random.usize(0..INSTANCES), now) {
            break;
        }
        now = now.after(REQUEST_INTERVAL);
        if turn % 20 == 0 {
            let mut ended = std::mem::take(&mut account.borrowers[turn / 20 % INSTANCES]);
            let surplus = ended.take_surplus();
            assert_eq!(ended.free(), TokenCount::ZERO);
            account.home.borrow(surplus);
        }
    }
    let unused = TOTAL.saturating_sub(account.used);
    let idle = account.idle() + account.home.free() + account.record.free();
    assert_eq!(unused, idle);
}

/// Guards against a loan that is counted twice: what an instance holds of its own grant stays in
/// the record.
#[test]
fn own_grant() {
    let now = ClockTime(1_000_000);
    let mut balance = PrepaidBalance::default();
    balance.set_acknowledged(TokenCount(100));
    balance.borrow(TokenCount(50));
    assert!(balance.reserve(TokenCount(30), now));
    balance.settle(TokenCount(30), TokenCount(30));
    assert_eq!(balance.take_surplus(), TokenCount(20));
    // The loan is returned, the instance's own grant is untouched.
    assert_eq!((balance.free(), balance.min_grant()), (TokenCount(100), TokenCount::ZERO));
    assert_eq!(balance.take_surplus(), TokenCount::ZERO);
}
