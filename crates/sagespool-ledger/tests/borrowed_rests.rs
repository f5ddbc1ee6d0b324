//! Loans of an account whose callers are spread over many instances, some of which end.
//!
//! The load is that of a large account on 26 instances: its home holds the grant, and everybody borrows
//! for the time ahead. What a borrower holds is lost when it is killed, and the book can't know of it:
//! with a loan for a whole second of use at each, four kills lost 4 in 100 of a total, and hundreds of
//! later requests were refused though callers could show that the total covered them.

use std::time::Duration;

use sagespool_ledger::{GrantPolicy, PrepaidBalance, PrepaidRecord};
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, InstanceName, TokenCount};

const TOTAL: TokenCount = TokenCount(5_000_000);
const REQUEST: TokenCount = TokenCount(7_000);
const TERMS: GrantPolicy =
    GrantPolicy { ahead: Duration::from_secs(3), share: 0.2, idle: 0.04, instances: 1 };
const HOME: IncarnationId = IncarnationId(7);
const INSTANCES: usize = 25;
/// Between two requests of the account: 400 a second.
const PACE: Duration = Duration::from_micros(2_500);

struct LentAccount {
    book: PrepaidRecord,
    home: PrepaidBalance,
    borrowers: Vec<PrepaidBalance>,
    name: InstanceName,
    used: TokenCount,
}

impl LentAccount {
    fn new() -> Self {
        let mut book = PrepaidRecord::default();
        book.set_total(ConfigVersion(1), TOTAL);
        Self {
            book,
            home: PrepaidBalance::default(),
            borrowers: vec![PrepaidBalance::default(); INSTANCES],
            name: "gateway-1".parse().expect("a name"),
            used: TokenCount::ZERO,
        }
    }

    fn lend(&mut self, missing: TokenCount, ahead: TokenCount, now: ClockTime) -> TokenCount {
        let wanted = missing + self.home.allowed_loan_ahead(TERMS, TOTAL, ahead, now);
        self.home.note_demand(wanted, now);
        if wanted > self.home.free() {
            let present = self.book.granted(HOME);
            let missing = wanted.less(self.home.free());
            let granted = self.home.grant_to_request(&self.book, present, missing, TERMS, now);
            if let Some(granted) = granted {
                self.book.set_granted(HOME, &self.name, granted);
                self.home.set_acknowledged(granted);
            }
        }
        self.home.lend(wanted)
    }

    /// A request at a borrower; false if it can't be paid for.
    fn request(&mut self, borrower: usize, now: ClockTime) -> bool {
        let purse = &self.borrowers[borrower];
        let ahead = purse.loan_ahead(TERMS, TOTAL, REQUEST, now);
        if purse.free() < REQUEST {
            for ahead in [ahead, TokenCount::ZERO] {
                let missing = REQUEST.less(self.borrowers[borrower].free());
                let lent = self.lend(missing, ahead, now);
                self.borrowers[borrower].borrow(lent);
                if self.borrowers[borrower].free() >= REQUEST {
                    break;
                }
            }
        }
        let purse = &mut self.borrowers[borrower];
        if !purse.reserve(REQUEST, now) {
            return false;
        }
        purse.settle(REQUEST, REQUEST);
        self.used += REQUEST;
        true
    }

    fn idle(&self) -> TokenCount {
        self.borrowers.iter().map(PrepaidBalance::free).sum()
    }
}

/// Guards against a large part of a total that lies in the borrowers' purses, where kills lose it.
#[test]
fn little_idle() {
    let mut account = LentAccount::new();
    let mut random = fastrand::Rng::with_seed(1);
    let mut now = ClockTime(1_000_000);
    let mut most = TokenCount::ZERO;
    while account.request(random.usize(0..INSTANCES), now) {
        now = now.after(PACE);
        // What a request's rest leaves over can't be avoided.
        most = most.max(account.idle().less(TokenCount(REQUEST.0 * INSTANCES as u64)));
    }
    assert!(most <= TokenCount(TOTAL.0 / 50), "{most} of {TOTAL} idle");
}

/// Guards against rests that are lost when instances stop gracefully, one after the other.
#[test]
fn rolling_stops() {
    let mut account = LentAccount::new();
    let mut random = fastrand::Rng::with_seed(2);
    let mut now = ClockTime(1_000_000);
    for turn in 0.. {
        if !account.request(random.usize(0..INSTANCES), now) {
            break;
        }
        now = now.after(PACE);
        if turn % 20 == 0 {
            let mut ended = std::mem::take(&mut account.borrowers[turn / 20 % INSTANCES]);
            let rest = ended.take_surplus();
            assert_eq!(ended.free(), TokenCount::ZERO);
            account.home.borrow(rest);
        }
    }
    let unused = TOTAL.less(account.used);
    let idle = account.idle() + account.home.free() + account.book.free();
    assert_eq!(unused, idle);
}

/// Guards against a rest that is counted twice: what an instance owes to its own grant stays with the
/// book.
#[test]
fn own_grant() {
    let now = ClockTime(1_000_000);
    let mut purse = PrepaidBalance::default();
    purse.set_acknowledged(TokenCount(100));
    purse.borrow(TokenCount(50));
    assert!(purse.reserve(TokenCount(30), now));
    purse.settle(TokenCount(30), TokenCount(30));
    assert_eq!(purse.take_surplus(), TokenCount(20));
    // The loan is gone, the own grant is whole.
    assert_eq!((purse.free(), purse.min_grant()), (TokenCount(100), TokenCount::ZERO));
    assert_eq!(purse.take_surplus(), TokenCount::ZERO);
}
