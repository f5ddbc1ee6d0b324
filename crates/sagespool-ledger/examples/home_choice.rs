//! Cost of book writes if homes are chosen for each branch, or for each book.
//!
//! ```text
//! cargo run --release --locked -p sagespool-ledger --example home_choice
//! ```
//!
//! The homes of one region share 64 books and 2,000 branches in steady use. A tick takes 100 ms.
//! All homes whose book is due read it at the same version; one write takes effect, and the others
//! fail with a conflict and are retried.

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_ledger::{
    BOOK_COUNT, BookRecord, HomeLedger, LedgerPolicy, ReserveDecision, book_of,
};
use sagespool_messages::{ChargeRecord, FinishReport, FinishState, ReserveRequest};
use sagespool_types::{
    AttemptNumber, BookNumber, BranchName, ClockTime, CommandId, ContentDigest, IncarnationId,
    RequestId, StoreRevision, TokenCount,
};
use twox_hash::XxHash3_64;

const BRANCHES: usize = 2_000;
const HOMES: [u64; 5] = [3, 6, 9, 50, 200];
const TICK: Duration = Duration::from_millis(100);
const TICKS: u32 = 400;
/// Grants reach their size within these ticks; writes before that aren't counted.
const WARM_UP: u32 = 200;
/// Each branch sends one request in this many ticks.
const REQUEST_TICKS: usize = 10;
const AMOUNT: TokenCount = TokenCount(300);
const USED: TokenCount = TokenCount(80);

#[derive(Clone, Copy)]
enum HomeChoice {
    ByBranch,
    ByBook,
}

struct StoredBook {
    record: BookRecord,
    version: StoreRevision,
}

#[derive(Default)]
struct WriteTally {
    applied: u64,
    conflicts: u64,
    requests: u64,
}

fn home_of(branch: &BranchName, homes: u64, choice: HomeChoice) -> usize {
    let key = match choice {
        HomeChoice::ByBranch => branch.to_string(),
        HomeChoice::ByBook => format!("book-{}", book_of(branch)),
    };
    let weight = |home: &u64| XxHash3_64::oneshot(format!("{home}/{key}").as_bytes());
    (0..homes).max_by_key(weight).unwrap_or_default() as usize
}

fn order(branch: &BranchName) -> ReserveRequest {
    ReserveRequest {
        request: RequestId(7),
        entry: IncarnationId(1),
        branch: branch.clone(),
        service: "engines".parse().expect("a service name"),
        class: "lookup".parse().expect("a class name"),
        key: None,
        content: ContentDigest(1),
        non_idempotent: false,
        amount: AMOUNT,
        time_left: Duration::from_secs(30),
    }
}

/// Reserves for and finishes one request; false if the home holds too little.
fn serve(home: &HomeLedger, branch: &BranchName, now: ClockTime) -> bool {
    let order = order(branch);
    let ReserveDecision::Reserved(reserved) = home.reserve(&order, now) else {
        home.note_waiting(branch, AMOUNT, now);
        return false;
    };
    let record = ChargeRecord {
        charge: reserved.charge,
        branch: branch.clone(),
        request: order.request,
        key: None,
        attempt: AttemptNumber(1),
        used: USED,
        ended: true,
        whole: true,
    };
    let report = FinishReport {
        request: order.request,
        branch: branch.clone(),
        charge: reserved.charge,
        state: FinishState::Ran(record),
        key: None,
        rerun_tokens: TokenCount::ZERO,
    };
    home.finish(&report, now);
    true
}

/// Writes a book for all homes that have read it at the same version.
fn write_together(
    stored: &mut StoredBook,
    number: BookNumber,
    homes: &[&HomeLedger],
    now: ClockTime,
    tally: &mut WriteTally,
) {
    let mut left = homes.to_vec();
    while !left.is_empty() {
        let base = stored.version;
        let mut drafts = Vec::new();
        for home in left {
            home.observe(number, &stored.record, base, now);
            let mut draft = stored.record.clone();
            if home.apply(number, &mut draft, base, base, now) {
                drafts.push((home, draft));
            }
        }
        let Some((first, draft)) = drafts.pop() else {
            return;
        };
        stored.version = StoreRevision(base.0 + 1);
        stored.record = draft;
        first.observe(number, &stored.record, stored.version, now);
        tally.applied += 1;
        tally.conflicts += drafts.len() as u64;
        left = drafts.into_iter().map(|(home, _)| home).collect();
    }
}

fn run(homes: u64, choice: HomeChoice) -> WriteTally {
    let branches: Vec<BranchName> = (0..BRANCHES)
        .map(|n| format!("client-account-{n:05}").parse().expect("a branch name"))
        .collect();
    let mut books: Vec<StoredBook> = (0..BOOK_COUNT)
        .map(|_| StoredBook { record: BookRecord::default(), version: StoreRevision(1) })
        .collect();
    for (number, branch) in branches.iter().enumerate() {
        let book = &mut books[book_of(branch).0 as usize];
        book.record.top_up(CommandId(number as u128), branch, TokenCount(5_000_000));
    }
    let ledgers: Vec<HomeLedger> = (0..homes)
        .map(|home| HomeLedger::new(IncarnationId(100 + home), LedgerPolicy::default()))
        .collect();
    let places: Vec<usize> = branches.iter().map(|branch| home_of(branch, homes, choice)).collect();
    let mut tally = WriteTally::default();
    for tick in 0..TICKS {
        if tick == WARM_UP {
            tally = WriteTally::default();
        }
        let now = ClockTime::from_millis(1_000).after(TICK * tick);
        let mut short: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        let turn = tick as usize % REQUEST_TICKS;
        for place in (turn..BRANCHES).step_by(REQUEST_TICKS) {
            tally.requests += 1;
            if !serve(&ledgers[places[place]], &branches[place], now) {
                short.entry(book_of(&branches[place]).0).or_default().push(places[place]);
            }
        }
        for (home, ledger) in ledgers.iter().enumerate() {
            for book in ledger.books_due(now) {
                short.entry(book.0).or_default().push(home);
            }
        }
        for (book, mut due) in short {
            due.sort_unstable();
            due.dedup();
            let due: Vec<&HomeLedger> = due.into_iter().map(|home| &ledgers[home]).collect();
            let stored = &mut books[book as usize];
            write_together(stored, BookNumber(book), &due, now, &mut tally);
        }
    }
    tally
}

fn main() {
    println!("| homes | chosen for each | writes/s | conflicts/s | writes a request |");
    println!("|---|---|---|---|---|");
    let seconds = (TICK * (TICKS - WARM_UP)).as_secs_f64();
    for homes in HOMES {
        for (choice, name) in [(HomeChoice::ByBranch, "branch"), (HomeChoice::ByBook, "book")] {
            let tally = run(homes, choice);
            let sent = tally.applied + tally.conflicts;
            println!(
                "| {homes} | {name} | {:.1} | {:.1} | {:.4} |",
                tally.applied as f64 / seconds,
                tally.conflicts as f64 / seconds,
                sent as f64 / tally.requests as f64
            );
        }
    }
}
