//! Settling charges: each once, by whoever knows how it ended.

mod fixture;

use std::time::Duration;

use fixture::*;
use sagespool_ledger::{GrantRecovery, ReserveDecision};
use sagespool_messages::FinishState;
use sagespool_types::{IncarnationId, TokenCount};

fn charge_case(
    book: &StoredBook,
    orphan: &sagespool_ledger::OrphanCharge,
    sidecars: &[IncarnationId],
) -> GrantRecovery {
    let grant = orphan.charge.grant;
    GrantRecovery::new(book.branch.clone(), grant, orphan.since, sidecars.iter().copied())
}

/// A home settles a charge, and the store's answer is lost after the write took effect. The home
/// reads the book, writes again, and the entry repeats its report. The branch is billed once.
#[test]
fn lost_answer() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 40, at(1));
    book.ran(&owner, reserved.charge, 30, at(2));
    book.write_unheard(&owner, at(2));
    book.ran(&owner, reserved.charge, 30, at(3));
    book.write(&owner, at(3));
    book.ran(&owner, reserved.charge, 30, at(4));
    book.write(&owner, at(4));
    assert_eq!(book.settled(), 30);
}

/// A home reads the book and makes up a write, twice, before either arrives. Both carry the same
/// charge; whichever takes effect, the charge counts once.
#[test]
fn two_writes() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 40, at(1));
    book.ran(&owner, reserved.charge, 30, at(2));
    let first = book.draft(&owner, at(2)).unwrap();
    book.record = first;
    book.written();
    let mut again = book.record.clone();
    owner.apply(book.book, &mut again, book.version, book.version, at(3));
    book.record = again;
    book.written();
    assert_eq!(book.settled(), 30);
}

/// A home dies in the middle of its last write, and its successor recovers the same charge from a
/// sidecar's list.
#[test]
fn settled_and_recovered() {
    let mut book = StoredBook::new(100);
    let dead = home(HOME);
    let reserved = book.reserve(&dead, 40, at(1));
    book.ran(&dead, reserved.charge, 30, at(2));
    book.write_unheard(&dead, at(2));
    book.mark_sealed(HOME, OTHER_HOME);
    let branch = book.branch.clone();
    let grant = reserved.charge.grant;
    let asked_at = book.record.branches[&branch].grants[&grant].asked_at;
    let mut case = GrantRecovery::new(branch.clone(), grant, asked_at, [SIDECAR]);
    case.take_reply(&listed(SIDECAR, vec![whole(&branch, reserved.charge, 1, 30)]));
    book.record.apply_recovery(&branch, &grant, &case.verdict());
    assert_eq!((book.settled(), book.free()), (30, 70));
}

/// An upstream reports more tokens than were reserved. The branch pays at most what was held for the
/// request, since no more than that was taken out of its budget.
#[test]
fn use_capped() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    book.grant(&owner, 100, at(1));
    let reserved = book.reserve(&owner, 40, at(1));
    book.ran(&owner, reserved.charge, 90, at(2));
    book.write(&owner, at(2));
    assert_eq!(book.settled(), 40);
}

/// An entry gets 30 tokens of an answer, its link breaks, and it starts the request again elsewhere,
/// where it spends 90. Meanwhile the first sidecar tells the home that the answer was whole. Billed
/// at 30, the branch would get 60 tokens back that it spent.
#[test]
fn whole_not_final() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 100, at(1));
    owner.note_usage(&whole(&book.branch, reserved.charge, 1, 30), at(2));
    book.write(&owner, at(2));
    assert_eq!((book.settled(), book.free()), (0, 0));

    let orphans = owner.entry_gone(ENTRY, at(3));
    assert_eq!(orphans.len(), 1);
    book.write(&owner, at(3));
    assert_eq!((book.settled(), book.free()), (0, 0));

    let mut case = charge_case(&book, &orphans[0], &[SIDECAR, OTHER_SIDECAR]);
    case.take_reply(&listed(SIDECAR, vec![whole(&book.branch, reserved.charge, 1, 30)]));
    assert!(!owner.resolve_recovery(&case, &[reserved.charge]));
    case.take_reply(&listed(OTHER_SIDECAR, vec![whole(&book.branch, reserved.charge, 2, 90)]));
    assert!(owner.resolve_recovery(&case, &[reserved.charge]));
    book.write(&owner, at(4));
    assert_eq!(book.settled(), 90);
}

/// An entry loses its sidecar in the middle and can't tell what ran. The home asks the sidecars at
/// once, not only when the deadline has long passed.
#[test]
fn unknown_end() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    assert!(owner.overdue(at(1)).is_empty());
    book.finish(&owner, reserved.charge, FinishState::Unknown, at(2));
    let orphans = owner.overdue(at(2));
    assert_eq!(orphans.len(), 1);
    assert!(owner.overdue(at(2)).is_empty(), "it is being asked about");

    let mut case = charge_case(&book, &orphans[0], &[SIDECAR]);
    case.take_reply(&listed(SIDECAR, Vec::new()));
    assert!(owner.resolve_recovery(&case, &[reserved.charge]));
    let ReserveDecision::Reserved(_) = book.try_reserve(&owner, 50, at(3)) else {
        panic!("nothing ran, so the reservation is back");
    };
}

/// An entry dies right after its reservation, or its last word is lost. Without a look after the
/// deadline the reservation would be held for as long as the home lives.
#[test]
fn lost_word() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    let deadline = at(1).after(Duration::from_secs(5));
    assert!(owner.overdue(deadline).is_empty());
    let orphans = owner.overdue(deadline.after(Duration::from_secs(10)));
    assert_eq!(orphans[0].charge, reserved.charge);
}

/// An entry and a sidecar die together. What ran there can't be known: it stays counted, the home can
/// still leave, and operators find it in doubt, with the 20 tokens that the sidecar had reported.
#[test]
fn lost_witness() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    owner.note_usage(&broken(&book.branch, reserved.charge, 1, 20), at(1));
    let orphans = owner.entry_gone(ENTRY, at(2));
    let mut case = charge_case(&book, &orphans[0], &[SIDECAR]);
    case.mark_gone(SIDECAR);
    assert!(owner.resolve_recovery(&case, &[reserved.charge]));
    book.write(&owner, at(3));
    owner.return_all(at(4));
    book.write(&owner, at(4));

    assert!(!owner.holds_grants(book.book));
    let bounds = book.record.spend(&book.branch).unwrap();
    assert_eq!((bounds.settled, bounds.in_doubt), (TokenCount(20), TokenCount(30)));
    assert_eq!(bounds.free, TokenCount(50));
}

/// The sidecar of the story above was only cut off, and its entry's word arrives late after all.
#[test]
fn late_word() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    let orphans = owner.entry_gone(ENTRY, at(2));
    let mut case = charge_case(&book, &orphans[0], &[SIDECAR]);
    case.mark_gone(SIDECAR);
    owner.resolve_recovery(&case, &[reserved.charge]);
    book.write(&owner, at(3));
    let asked = [(book.branch.clone(), reserved.charge)];
    assert!(owner.durable_charges(&asked).is_empty(), "its witness is still needed");

    book.ran(&owner, reserved.charge, 35, at(60));
    book.write(&owner, at(60));
    assert_eq!((book.settled(), book.free()), (35, 65));
    assert_eq!(owner.durable_charges(&asked), vec![reserved.charge]);
}

/// A sidecar may forget a charge only once it is settled in the store: until then it is the only
/// witness should the home die.
#[test]
fn durable_after_write() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    let asked = [(book.branch.clone(), reserved.charge)];
    assert!(owner.durable_charges(&asked).is_empty());
    book.ran(&owner, reserved.charge, 35, at(2));
    assert!(owner.durable_charges(&asked).is_empty());
    book.write_unheard(&owner, at(3));
    assert!(owner.durable_charges(&asked).is_empty());
    book.write(&owner, at(4));
    assert_eq!(owner.durable_charges(&asked), vec![reserved.charge]);
    assert!(
        home(OTHER_HOME).durable_charges(&asked).is_empty(),
        "another home knows nothing of it"
    );
}
