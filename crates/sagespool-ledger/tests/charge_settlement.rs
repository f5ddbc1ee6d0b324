//! Settling charges: each exactly once, with the use established for it.

mod fixture;

use std::time::Duration;

use fixture::*;
use sagespool_ledger::{GrantRecovery, ReserveDecision};
use sagespool_messages::FinishState;
use sagespool_types::{IncarnationId, TokenCount};

fn charge_recovery(
    book: &StoredBook,
    orphan: &sagespool_ledger::OrphanCharge,
    sidecars: &[IncarnationId],
) -> GrantRecovery {
    let grant = orphan.charge.grant;
    GrantRecovery::new(book.branch.clone(), grant, orphan.since, sidecars.iter().copied())
}

/// The reply to a write that settles a charge is lost after the write took effect. The home reads
/// the book and writes again, and the entry repeats its report. The branch must be billed once.
#[test]
fn lost_answer() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 40, at(1));
    book.finish_ran(&owner, reserved.charge, 30, at(2));
    book.write_without_reply(&owner, at(2));
    book.finish_ran(&owner, reserved.charge, 30, at(3));
    book.write(&owner, at(3));
    book.finish_ran(&owner, reserved.charge, 30, at(4));
    book.write(&owner, at(4));
    assert_eq!(book.settled(), 30);
}

/// A home reads the book and prepares two writes before either arrives. Both contain the same
/// charge, which must count once whichever takes effect.
#[test]
fn two_writes() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 40, at(1));
    book.finish_ran(&owner, reserved.charge, 30, at(2));
    let first = book.draft(&owner, at(2)).unwrap();
    book.record = first;
    book.bump_version();
    let mut again = book.record.clone();
    owner.apply(book.book, &mut again, book.version, book.version, at(3));
    book.record = again;
    book.bump_version();
    assert_eq!(book.settled(), 30);
}

/// A home dies during its last write, and its successor recovers the same charge from a sidecar's
/// list.
#[test]
fn settled_and_recovered() {
    let mut book = StoredBook::new(100);
    let dead = home(HOME);
    let reserved = book.reserve(&dead, 40, at(1));
    book.finish_ran(&dead, reserved.charge, 30, at(2));
    book.write_without_reply(&dead, at(2));
    book.mark_sealed(HOME, OTHER_HOME);
    let branch = book.branch.clone();
    let grant = reserved.charge.grant;
    let asked_at = book.record.branches[&branch].grants[&grant].asked_at;
    let mut recovery = GrantRecovery::new(branch.clone(), grant, asked_at, [SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, vec![whole(&branch, reserved.charge, 1, 30)]));
    book.record.apply_recovery(&branch, &grant, &recovery.verdict());
    assert_eq!((book.settled(), book.free()), (30, 70));
}

/// An upstream reports more tokens than were reserved. The branch pays at most the reservation,
/// since no more was taken out of its budget.
#[test]
fn use_capped() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    book.grant(&owner, 100, at(1));
    let reserved = book.reserve(&owner, 40, at(1));
    book.finish_ran(&owner, reserved.charge, 90, at(2));
    book.write(&owner, at(2));
    assert_eq!(book.settled(), 40);
}

/// An entry receives 30 tokens of a response, loses its connection and retries the request
/// elsewhere, where it spends 90. Meanwhile the first sidecar reports a complete response to the
/// home. Billed at 30, the branch would get back 60 tokens that it spent.
#[test]
fn complete_response_not_final() {
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

    let mut recovery = charge_recovery(&book, &orphans[0], &[SIDECAR, OTHER_SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, vec![whole(&book.branch, reserved.charge, 1, 30)]));
    assert!(!owner.resolve_recovery(&recovery, &[reserved.charge]));
    recovery
        .take_reply(&seal_reply(OTHER_SIDECAR, vec![whole(&book.branch, reserved.charge, 2, 90)]));
    assert!(owner.resolve_recovery(&recovery, &[reserved.charge]));
    book.write(&owner, at(4));
    assert_eq!(book.settled(), 90);
}

/// An entry loses its sidecar during a request and can't report what ran. The home must query the
/// sidecars immediately, not only long after the deadline.
#[test]
fn unknown_end() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    assert!(owner.overdue(at(1)).is_empty());
    book.finish(&owner, reserved.charge, FinishState::Unknown, at(2));
    let orphans = owner.overdue(at(2));
    assert_eq!(orphans.len(), 1);
    assert!(owner.overdue(at(2)).is_empty(), "an inquiry is in progress");

    let mut recovery = charge_recovery(&book, &orphans[0], &[SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, Vec::new()));
    assert!(owner.resolve_recovery(&recovery, &[reserved.charge]));
    let ReserveDecision::Reserved(_) = book.try_reserve(&owner, 50, at(3)) else {
        panic!("nothing ran, so the reservation must be free again");
    };
}

/// An entry dies right after its reservation, or its final report is lost. Without a check after
/// the deadline, the reservation would be held for as long as the home runs.
#[test]
fn lost_finish_report() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    let deadline = at(1).after(Duration::from_secs(5));
    assert!(owner.overdue(deadline).is_empty());
    let orphans = owner.overdue(deadline.after(Duration::from_secs(10)));
    assert_eq!(orphans[0].charge, reserved.charge);
}

/// An entry and a sidecar die together. What ran there can't be established: it stays counted, the
/// home can still leave, and operators find it in doubt, with the 20 tokens that the sidecar had
/// reported.
#[test]
fn lost_sidecar() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    owner.note_usage(&broken(&book.branch, reserved.charge, 1, 20), at(1));
    let orphans = owner.entry_gone(ENTRY, at(2));
    let mut recovery = charge_recovery(&book, &orphans[0], &[SIDECAR]);
    recovery.mark_gone(SIDECAR);
    assert!(owner.resolve_recovery(&recovery, &[reserved.charge]));
    book.write(&owner, at(3));
    owner.return_all(at(4));
    book.write(&owner, at(4));

    assert!(!owner.holds_grants(book.book));
    let bounds = book.record.spend(&book.branch).unwrap();
    assert_eq!((bounds.settled, bounds.in_doubt), (TokenCount(20), TokenCount(30)));
    assert_eq!(bounds.free, TokenCount(50));
}

/// The sidecar of the previous test was only partitioned, and its entry's report arrives late.
#[test]
fn late_finish_report() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    let orphans = owner.entry_gone(ENTRY, at(2));
    let mut recovery = charge_recovery(&book, &orphans[0], &[SIDECAR]);
    recovery.mark_gone(SIDECAR);
    owner.resolve_recovery(&recovery, &[reserved.charge]);
    book.write(&owner, at(3));
    let queried = [(book.branch.clone(), reserved.charge)];
    assert!(owner.durable_charges(&queried).is_empty(), "the sidecar's record is still needed");

    book.finish_ran(&owner, reserved.charge, 35, at(60));
    book.write(&owner, at(60));
    assert_eq!((book.settled(), book.free()), (35, 65));
    assert_eq!(owner.durable_charges(&queried), vec![reserved.charge]);
}

/// A sidecar may delete a charge only once it is settled in the store: until then, only the sidecar
/// can account for it if the home dies.
#[test]
fn durable_after_write() {
    let mut book = StoredBook::new(100);
    let owner = home(HOME);
    let reserved = book.reserve(&owner, 50, at(1));
    let queried = [(book.branch.clone(), reserved.charge)];
    assert!(owner.durable_charges(&queried).is_empty());
    book.finish_ran(&owner, reserved.charge, 35, at(2));
    assert!(owner.durable_charges(&queried).is_empty());
    book.write_without_reply(&owner, at(3));
    assert!(owner.durable_charges(&queried).is_empty());
    book.write(&owner, at(4));
    assert_eq!(owner.durable_charges(&queried), vec![reserved.charge]);
    assert!(
        home(OTHER_HOME).durable_charges(&queried).is_empty(),
        "another home has no record of it"
    );
}
