//! Sealing and recovery of a dead home's grants.

mod fixture;

use fixture::*;
use sagespool_ledger::{GrantRecovery, RecoveryVerdict, ReleaseOutcome};
use sagespool_messages::{FinishState, SealReply};
use sagespool_types::{StoreRevision, TokenCount};

fn grant_recovery(book: &StoredBook, sidecars: &[sagespool_types::IncarnationId]) -> GrantRecovery {
    let grant = book.grants()[0];
    let asked_at = book.record.branches[&book.branch].grants[&grant].asked_at;
    GrantRecovery::new(book.branch.clone(), grant, asked_at, sidecars.iter().copied())
}

fn apply_recovery(book: &mut StoredBook, recovery: &GrantRecovery) {
    book.record.apply_recovery(&recovery.branch, &recovery.grant, &recovery.verdict());
    book.bump_version();
}

/// A home dies with one request running and another finished. Its branch must get back what was
/// never spent and be billed for what ran.
#[test]
fn all_sidecars_replied() {
    let mut book = StoredBook::new(1000);
    let dead = home(HOME);
    book.grant(&dead, 300, at(1));
    let first = book.reserve(&dead, 100, at(1));
    let second = book.reserve(&dead, 200, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    let mut recovery = grant_recovery(&book, &[SIDECAR, OTHER_SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, vec![whole(&book.branch, first.charge, 1, 60)]));
    recovery
        .take_reply(&seal_reply(OTHER_SIDECAR, vec![running(&book.branch, second.charge, 1, 20)]));
    apply_recovery(&mut book, &recovery);
    assert_eq!((book.settled(), book.grants().len()), (60, 1));

    recovery
        .take_reply(&seal_reply(OTHER_SIDECAR, vec![whole(&book.branch, second.charge, 1, 70)]));
    apply_recovery(&mut book, &recovery);
    assert_eq!((book.settled(), book.free()), (130, 870));
}

/// A home dies. One sidecar lists a broken attempt of 10 tokens; another, which hasn't replied,
/// retried the same request and spent 90. Settling the charge at 10 from the first list would close
/// the grant and free 80 tokens that were spent, so that the branch overspends.
#[test]
fn missing_sidecar_reply() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    let mut recovery = grant_recovery(&book, &[SIDECAR, OTHER_SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, vec![broken(&book.branch, reserved.charge, 1, 10)]));
    assert_eq!(recovery.verdict(), RecoveryVerdict::Wait(Vec::new()));
    apply_recovery(&mut book, &recovery);
    recovery
        .take_reply(&seal_reply(OTHER_SIDECAR, vec![whole(&book.branch, reserved.charge, 2, 90)]));
    apply_recovery(&mut book, &recovery);
    assert_eq!((book.settled(), book.free()), (90, 10));
}

/// A sidecar restarts after it ran something for a home that then dies. Its successor at the same
/// upstream can't list that: the grant must stay counted instead of becoming free.
#[test]
fn restarted_sidecar() {
    let mut book = StoredBook::new(100);
    book.reserve(&home(HOME), 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    let mut recovery = grant_recovery(&book, &[SIDECAR]);
    let started_at = Some(book.version);
    recovery.take_reply(&SealReply { sidecar: SIDECAR, started_at, charges: Vec::new() });
    assert_eq!(recovery.verdict(), RecoveryVerdict::InDoubt(Vec::new()));
    apply_recovery(&mut book, &recovery);
    assert_eq!(book.free(), 0);
    let bounds = book.record.spend(&book.branch).unwrap();
    assert_eq!((bounds.in_doubt, bounds.granted), (TokenCount(100), TokenCount::ZERO));
}

/// A sidecar lists a request as running and then dies with its machine. Waiting for the end of that
/// request would hold the branch's tokens for ever, without showing operators that they are in
/// doubt.
#[test]
fn running_sidecar_lost() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    let mut recovery = grant_recovery(&book, &[SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, vec![running(&book.branch, reserved.charge, 1, 40)]));
    assert_eq!(recovery.verdict(), RecoveryVerdict::Wait(Vec::new()));
    recovery.mark_gone(SIDECAR);
    apply_recovery(&mut book, &recovery);
    let bounds = book.record.spend(&book.branch).unwrap();
    assert_eq!((bounds.settled, bounds.in_doubt), (TokenCount(40), TokenCount(60)));
}

/// A grant is in doubt since a sidecar that may have run its charges is lost. The home that
/// established this dies too, and the next one queries only live sidecars. What is in doubt must
/// not become free by that.
#[test]
fn doubt_stays() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);
    let mut recovery = grant_recovery(&book, &[SIDECAR, OTHER_SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, vec![broken(&book.branch, reserved.charge, 1, 10)]));
    recovery.mark_gone(OTHER_SIDECAR);
    apply_recovery(&mut book, &recovery);

    book.mark_sealed(HOME, THIRD_HOME);
    let mut later = grant_recovery(&book, &[SIDECAR]);
    later.take_reply(&seal_reply(SIDECAR, vec![broken(&book.branch, reserved.charge, 1, 10)]));
    apply_recovery(&mut book, &later);
    assert_eq!((book.free(), book.grants().len()), (0, 1));
}

/// An operator verifies that a dead machine ran nothing more and releases the grant. What live
/// sidecars listed is billed; the rest becomes free.
#[test]
fn release_bills_known() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    let grant = reserved.charge.grant;
    let branch = book.branch.clone();
    assert_eq!(book.record.release(&branch, &grant), ReleaseOutcome::NotInDoubt);

    book.mark_sealed(HOME, OTHER_HOME);
    let mut recovery = grant_recovery(&book, &[SIDECAR, OTHER_SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, vec![broken(&branch, reserved.charge, 1, 10)]));
    recovery.mark_gone(OTHER_SIDECAR);
    apply_recovery(&mut book, &recovery);
    assert_eq!(book.record.release(&branch, &grant), ReleaseOutcome::Released(TokenCount(90)));
    assert_eq!((book.settled(), book.free()), (10, 90));
    assert_eq!(book.record.release(&branch, &grant), ReleaseOutcome::NoSuchGrant);
}

/// A home is paused past every lease and its grant is sealed by another, with one sidecar lost. The
/// home resumes and receives its entry's final report. That accounts for everything, so nothing may
/// stay in doubt.
#[test]
fn paused_holder_resumes() {
    let mut book = StoredBook::new(100);
    let paused = home(HOME);
    let reserved = book.reserve(&paused, 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);
    let mut recovery = grant_recovery(&book, &[SIDECAR, OTHER_SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, vec![broken(&book.branch, reserved.charge, 1, 10)]));
    recovery.mark_gone(OTHER_SIDECAR);
    apply_recovery(&mut book, &recovery);

    let second = whole(&book.branch, reserved.charge, 2, 90);
    book.finish(&paused, reserved.charge, sagespool_messages::FinishState::Ran(second), at(900));
    book.write(&paused, at(900));
    assert_eq!((book.settled(), book.free()), (90, 10));
}

/// A paused home resumes and finds its grant sealed. It must not reserve anything more from it:
/// every sidecar would refuse the charge, and requests would be retried without end.
#[test]
fn sealed_grant() {
    let mut book = StoredBook::new(1000);
    let paused = home(HOME);
    book.grant(&paused, 400, at(1));
    let reserved = book.reserve(&paused, 10, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    book.write(&paused, at(900));
    assert!(book.shortfall(&paused, 1, at(900)).is_some());
    book.finish_ran(&paused, reserved.charge, 10, at(901));
    book.write(&paused, at(901));
    assert_eq!(book.free(), 990, "a sealed grant without open charges is returned");
}

/// A home requests a grant, the reply is lost and the home is paused. Others presume it dead and
/// seal the grant that the write created. A sidecar that starts now has no record of the seal: a
/// request paid from this grant would run there after the recovery has received every reply.
#[test]
fn sealed_before_first_read() {
    let mut book = StoredBook::new(100);
    let paused = home(HOME);
    paused.note_waiting(&book.branch, TokenCount(100), at(1));
    book.write_without_reply(&paused, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    book.draft(&paused, at(900));
    assert!(book.shortfall(&paused, 10, at(900)).is_some());
    book.write(&paused, at(901));
    assert_eq!(book.free(), 100);
}

/// A write that requests a grant is stuck in flight, and its home stops gracefully. If the write
/// took effect afterwards, no process would hold the grant's tokens.
#[test]
fn stuck_grant_request() {
    let mut book = StoredBook::new(100);
    let leaving = home(HOME);
    leaving.note_waiting(&book.branch, TokenCount(50), at(1));
    let base = book.version;
    assert!(book.draft(&leaving, at(1)).is_some(), "this write is in flight");

    leaving.return_all(at(2));
    assert!(leaving.holds_grants(book.book));
    assert!(book.write(&leaving, at(2)), "a write that changes only the version");
    assert!(book.version > base, "the stuck write can't take effect any more");
    assert!(!leaving.holds_grants(book.book));
    assert_eq!(book.free(), 100);
}

/// The same for a home that keeps running without traffic: it must check the book on its own.
#[test]
fn stuck_grant_request_idle() {
    let mut book = StoredBook::new(100);
    let idle = home(HOME);
    idle.note_waiting(&book.branch, TokenCount(50), at(1));
    book.write_without_reply(&idle, at(1));
    assert_eq!(idle.books_due(at(20)), vec![book.book]);
    book.write(&idle, at(20));
    assert_eq!(idle.books_due(at(200)), vec![book.book]);
    book.write(&idle, at(200));
    assert_eq!(book.free(), 100);
}

/// Two homes seal the same grant in turn, since the first was presumed dead. A sidecar queries the
/// first whether it may delete its charge. The charge isn't settled: without it, the second home's
/// recovery would free what it spent.
#[test]
fn sealed_twice() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    let (first, second) = (home(OTHER_HOME), home(THIRD_HOME));
    book.mark_sealed(HOME, OTHER_HOME);
    book.draft(&first, at(2));
    book.mark_sealed(HOME, THIRD_HOME);
    book.draft(&first, at(3));
    book.draft(&second, at(3));

    let queried = [(book.branch.clone(), reserved.charge)];
    assert!(first.durable_charges(&queried).is_empty());
    let mut recovery = grant_recovery(&book, &[SIDECAR]);
    recovery.take_reply(&seal_reply(SIDECAR, vec![whole(&book.branch, reserved.charge, 1, 60)]));
    apply_recovery(&mut book, &recovery);
    book.draft(&first, at(4));
    assert_eq!(first.durable_charges(&queried), vec![reserved.charge]);
}

/// A live home's grant was sealed by mistake and a charge settled from the sidecars' lists, so its
/// sidecar deleted it; the entry's report was lost. The home must not wait for that charge.
#[test]
fn settled_elsewhere() {
    let mut book = StoredBook::new(100);
    let cut_off = home(HOME);
    book.grant(&cut_off, 100, at(1));
    let first = book.reserve(&cut_off, 50, at(1));
    let second = book.reserve(&cut_off, 50, at(1));
    assert_eq!(first.charge.grant, second.charge.grant);
    book.mark_sealed(HOME, OTHER_HOME);
    let mut recovery = grant_recovery(&book, &[SIDECAR]);
    let records =
        vec![whole(&book.branch, first.charge, 1, 20), running(&book.branch, second.charge, 1, 10)];
    recovery.take_reply(&seal_reply(SIDECAR, records));
    apply_recovery(&mut book, &recovery);

    book.finish_ran(&cut_off, second.charge, 30, at(2));
    book.write(&cut_off, at(2));
    assert_eq!((book.settled(), book.free()), (50, 50));
}

/// Two homes presume a third dead. If each sealed what the other has sealed, they would write the
/// book in turn for as long as the recovery lasts.
#[test]
fn one_sealer() {
    let mut book = StoredBook::new(100);
    book.reserve(&home(HOME), 100, at(1));
    let dead = |found| found == HOME;
    assert_eq!(book.record.grants_to_seal(dead).len(), 1);
    book.mark_sealed(HOME, OTHER_HOME);
    assert!(book.record.grants_to_seal(dead).is_empty());
    assert_eq!(book.record.grants_sealed_by(OTHER_HOME).len(), 1);
    let sealer_too = |found| found == HOME || found == OTHER_HOME;
    assert_eq!(book.record.grants_to_seal(sealer_too).len(), 1);
}

/// A sidecar that is queried about some charges of a grant lists others too, or replies about
/// another grant. A recovery must accept only charges of its own grant.
#[test]
fn foreign_charge() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    let mut foreign = reserved.charge;
    foreign.grant.number += 1;
    let mut recovery = GrantRecovery::new(
        book.branch.clone(),
        reserved.charge.grant,
        StoreRevision(11),
        [SIDECAR],
    );
    recovery.take_reply(&seal_reply(SIDECAR, vec![whole(&book.branch, foreign, 1, 60)]));
    assert_eq!(recovery.verdict(), RecoveryVerdict::Close(Vec::new()));
}

/// A home and a sidecar die, and what the grant may have paid for is in doubt for good. A request
/// that exceeds the rest of the budget must be refused now: if the grant in doubt counted among
/// those that a holder can still return, the request would wait until its deadline.
#[test]
fn doubt_not_waited_for() {
    let mut book = StoredBook::new(100);
    book.reserve(&home(HOME), 60, at(1));
    let next = home(OTHER_HOME);
    book.grant(&next, 40, at(1));
    assert_eq!(
        book.shortfall(&next, 50, at(1)).expect("the amount isn't covered").other_grants.len(),
        1
    );

    book.mark_sealed(HOME, OTHER_HOME);
    let grant = book.grants().into_iter().find(|grant| grant.holder == HOME);
    let grant = grant.expect("the grant is outstanding");
    let mut recovery = GrantRecovery::new(book.branch.clone(), grant, StoreRevision(1), [SIDECAR]);
    recovery.mark_gone(SIDECAR);
    apply_recovery(&mut book, &recovery);
    book.write(&next, at(2));
    assert_eq!(
        book.shortfall(&next, 50, at(2)).expect("the amount isn't covered").other_grants,
        []
    );
    assert_eq!(
        book.shortfall(&next, 50, at(2)).expect("the amount isn't covered").grants_in_doubt.len(),
        1
    );
}

/// In a partition, a home is presumed dead and its grant becomes in doubt, since a sidecar has
/// restarted. After the partition, a request that exceeds the rest of the budget was refused
/// although the home was alive and had spent nothing, because it wasn't queried. Once queried, it
/// reads its book and returns everything.
#[test]
fn holder_in_doubt_queried() {
    let mut book = StoredBook::new(100);
    let holder = home(HOME);
    let reserved = book.reserve(&holder, 60, at(1));
    book.finish_ran(&holder, reserved.charge, 20, at(1));
    let next = home(OTHER_HOME);
    book.grant(&next, 40, at(1));

    book.mark_sealed(HOME, OTHER_HOME);
    let mut recovery = grant_recovery(&book, &[SIDECAR]);
    recovery.mark_gone(SIDECAR);
    apply_recovery(&mut book, &recovery);
    book.write(&next, at(2));
    let shortfall = book.shortfall(&next, 70, at(2)).expect("the amount isn't covered");
    let queried: Vec<_> = shortfall.grants_in_doubt.iter().map(|(_, holder, _)| *holder).collect();
    assert_eq!(queried, [HOME]);

    holder.return_unspent(&book.branch, TokenCount(70), at(2));
    book.write(&holder, at(2));
    assert_eq!((book.settled(), book.spend_in_doubt()), (20, 0));
    book.reserve(&next, 70, at(2));
}

/// A sidecar dies while it runs a request of this home, whose reservation stays held for good. A
/// request that exceeds the rest must be refused immediately: the lost reservation is never freed,
/// and waiting for it would only delay the refusal.
#[test]
fn charge_at_lost_sidecar() {
    let mut book = StoredBook::new(100);
    let holder = home(HOME);
    let reserved = book.reserve(&holder, 60, at(1));
    assert_eq!(
        book.shortfall(&holder, 80, at(1)).expect("the amount isn't covered").returnable,
        TokenCount(60)
    );

    book.finish(&holder, reserved.charge, FinishState::Unknown, at(1));
    let mut recovery = grant_recovery(&book, &[SIDECAR]);
    recovery.mark_gone(SIDECAR);
    holder.resolve_recovery(&recovery, &[reserved.charge]);
    let shortfall = book.shortfall(&holder, 80, at(2)).expect("the amount isn't covered");
    assert_eq!(shortfall.returnable, TokenCount::ZERO);
    assert_eq!(holder.returnable(&book.branch), TokenCount::ZERO);
}
