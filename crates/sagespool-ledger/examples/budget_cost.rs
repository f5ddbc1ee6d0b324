//! Cost of budgets by number of branches: reservations, writes of a book, bytes and memory.
//!
//! ```text
//! cargo run --release --locked -p sagespool-ledger --example budget_cost
//! ```

use std::time::{Duration, Instant};

use sagespool_ledger::{
    BOOK_COUNT, BookRecord, HomeLedger, LedgerPolicy, ReserveDecision, book_of,
};
use sagespool_messages::{FinishReport, FinishState, ReserveRequest};
use sagespool_types::{
    BookNumber, BranchName, ClassName, ClockTime, CommandId, ContentDigest, IncarnationId,
    RequestId, ServiceName, StoreRevision, TokenCount,
};

const SIZES: [usize; 4] = [10, 1_000, 10_000, 57_000];
const ROUNDS: usize = 200_000;
const AMOUNT: TokenCount = TokenCount(300);

struct Costs {
    reserve: Duration,
    write: Duration,
    branch_bytes: f64,
    grant_bytes: f64,
    largest_book: usize,
    home_bytes: f64,
}

fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    kilobytes.unwrap_or_default() * 1024.0
}

fn order(branch: &BranchName, class: &ClassName, service: &ServiceName) -> ReserveRequest {
    ReserveRequest {
        request: RequestId(7),
        entry: IncarnationId(1),
        branch: branch.clone(),
        service: service.clone(),
        class: class.clone(),
        key: None,
        content: ContentDigest(1),
        non_idempotent: false,
        amount: AMOUNT,
        time_left: Duration::from_secs(30),
    }
}

fn book_bytes(books: &[BookRecord]) -> Vec<usize> {
    let encoded = books.iter().map(|book| serde_json::to_vec(book).map_or(0, |bytes| bytes.len()));
    encoded.collect()
}

fn measure(size: usize) -> Costs {
    let (class, service): (ClassName, ServiceName) =
        ("lookup".parse().expect("a class name"), "engines".parse().expect("a service name"));
    let branches: Vec<BranchName> = (0..size)
        .map(|n| format!("client-account-{n:05}").parse().expect("a branch name"))
        .collect();
    let mut books = vec![BookRecord::default(); BOOK_COUNT as usize];
    for (number, branch) in branches.iter().enumerate() {
        let book = &mut books[book_of(branch).0 as usize];
        book.top_up(CommandId(number as u128), branch, TokenCount(5_000_000));
    }
    let bare: usize = book_bytes(&books).iter().sum();
    let before = resident_bytes();
    let ledger = HomeLedger::new(IncarnationId(1), LedgerPolicy::default());
    let now = ClockTime::from_millis(1);
    for branch in &branches {
        ledger.reserve(&order(branch, &class, &service), now);
        ledger.note_waiting(branch, AMOUNT, now);
    }
    let started = Instant::now();
    for number in 0..BOOK_COUNT {
        let (book, base) = (BookNumber(number), StoreRevision(number + 1));
        let record = &mut books[number as usize];
        ledger.observe(book, record, base, now);
        ledger.apply(book, record, base, base, now);
        ledger.observe(book, record, StoreRevision(number + 100), now);
    }
    let write = started.elapsed() / BOOK_COUNT as u32;
    let home_bytes = (resident_bytes() - before) / size as f64;
    let granted: usize = book_bytes(&books).iter().sum();
    let largest_book = book_bytes(&books).into_iter().max().unwrap_or_default();
    let reserve = reserve_cost(&ledger, &branches, &class, &service, now);
    Costs {
        reserve,
        write,
        branch_bytes: bare as f64 / size as f64,
        grant_bytes: (granted - bare) as f64 / size as f64,
        largest_book,
        home_bytes,
    }
}

fn reserve_cost(
    ledger: &HomeLedger,
    branches: &[BranchName],
    class: &ClassName,
    service: &ServiceName,
    now: ClockTime,
) -> Duration {
    let started = Instant::now();
    let mut held = 0_u32;
    for round in 0..ROUNDS {
        let branch = &branches[round % branches.len()];
        let order = order(branch, class, service);
        if let ReserveDecision::Reserved(reserved) = ledger.reserve(&order, now) {
            held += 1;
            let report = FinishReport {
                request: order.request,
                branch: order.branch,
                charge: reserved.charge,
                state: FinishState::NotRun,
                key: None,
                rerun_tokens: TokenCount::ZERO,
            };
            ledger.finish(&report, now);
        }
    }
    assert!(held > 0, "nothing was reserved");
    started.elapsed() / ROUNDS as u32
}

fn main() {
    println!(
        "| branches | reserve and finish | write of a book | bytes a branch | bytes a grant | largest book | home's memory a branch |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in SIZES {
        let costs = measure(size);
        println!(
            "| {size} | {:.2} µs | {:.1} µs | {:.0} | {:.0} | {} | {:.0} B |",
            costs.reserve.as_secs_f64() * 1e6,
            costs.write.as_secs_f64() * 1e6,
            costs.branch_bytes,
            costs.grant_bytes,
            costs.largest_book,
            costs.home_bytes
        );
    }
}
