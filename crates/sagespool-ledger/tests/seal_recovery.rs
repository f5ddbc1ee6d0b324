//! Sealing and recovery of a dead home's grants.

mod fixture;

use fixture::*;
use sagespool_ledger::{GrantRecovery, RecoveryVerdict, ReleaseOutcome};
use sagespool_messages::{FinishState, SealReply};
use sagespool_types::{StoreRevision, TokenCount};

fn case_of(book: &StoredBook, sidecars: &[sagespool_types::IncarnationId]) -> GrantRecovery {
    let grant = book.grants()[0];
    let asked_at = book.record.branches[&book.branch].grants[&grant].asked_at;
    GrantRecovery::new(book.branch.clone(), grant, asked_at, sidecars.iter().copied())
}

fn recover(book: &mut StoredBook, case: &GrantRecovery) {
    book.record.apply_recovery(&case.branch, &case.grant, &case.verdict());
    book.written();
}

/// A home dies with a request running and another one answered. Its branch should get back what was
/// never spent, and be billed what ran.
#[test]
fn all_heard() {
    let mut book = StoredBook::new(1000);
    let dead = home(HOME);
    book.grant(&dead, 300, at(1));
    let first = book.reserve(&dead, 100, at(1));
    let second = book.reserve(&dead, 200, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    let mut case = case_of(&book, &[SIDECAR, OTHER_SIDECAR]);
    case.take_reply(&listed(SIDECAR, vec![whole(&book.branch, first.charge, 1, 60)]));
    case.take_reply(&listed(OTHER_SIDECAR, vec![running(&book.branch, second.charge, 1, 20)]));
    recover(&mut book, &case);
    assert_eq!((book.settled(), book.grants().len()), (60, 1));

    case.take_reply(&listed(OTHER_SIDECAR, vec![whole(&book.branch, second.charge, 1, 70)]));
    recover(&mut book, &case);
    assert_eq!((book.settled(), book.free()), (130, 870));
}

/// A home dies; one sidecar lists a broken attempt of 10 tokens, another one, not yet heard, ran the
/// same request again and spent 90. Had the charge been settled at 10 by the first list, the grant
/// would have been closed with 80 tokens free that were spent: the branch overspends.
#[test]
fn unheard_sidecar() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    let mut case = case_of(&book, &[SIDECAR, OTHER_SIDECAR]);
    case.take_reply(&listed(SIDECAR, vec![broken(&book.branch, reserved.charge, 1, 10)]));
    assert_eq!(case.verdict(), RecoveryVerdict::Wait(Vec::new()));
    recover(&mut book, &case);
    case.take_reply(&listed(OTHER_SIDECAR, vec![whole(&book.branch, reserved.charge, 2, 90)]));
    recover(&mut book, &case);
    assert_eq!((book.settled(), book.free()), (90, 10));
}

/// A sidecar restarts after it ran something for a home that then dies. Its successor beside the
/// upstream knows nothing of that: the grant must stay counted, not go back to the branch.
#[test]
fn restarted_sidecar() {
    let mut book = StoredBook::new(100);
    book.reserve(&home(HOME), 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    let mut case = case_of(&book, &[SIDECAR]);
    let started_at = Some(book.version);
    case.take_reply(&SealReply { sidecar: SIDECAR, started_at, charges: Vec::new() });
    assert_eq!(case.verdict(), RecoveryVerdict::InDoubt(Vec::new()));
    recover(&mut book, &case);
    assert_eq!(book.free(), 0);
    let bounds = book.record.spend(&book.branch).unwrap();
    assert_eq!((bounds.in_doubt, bounds.granted), (TokenCount(100), TokenCount::ZERO));
}

/// A sidecar lists a request as running and then dies with its machine. Waiting for its end would
/// hold the branch's tokens for ever without anybody being told that they are in doubt.
#[test]
fn running_witness_dies() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    let mut case = case_of(&book, &[SIDECAR]);
    case.take_reply(&listed(SIDECAR, vec![running(&book.branch, reserved.charge, 1, 40)]));
    assert_eq!(case.verdict(), RecoveryVerdict::Wait(Vec::new()));
    case.mark_gone(SIDECAR);
    recover(&mut book, &case);
    let bounds = book.record.spend(&book.branch).unwrap();
    assert_eq!((bounds.settled, bounds.in_doubt), (TokenCount(40), TokenCount(60)));
}

/// A grant is in doubt since its witness died. The home that found so dies too, and the next one
/// asks only sidecars that still live. What was in doubt must not become free by that.
#[test]
fn doubt_stays() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);
    let mut case = case_of(&book, &[SIDECAR, OTHER_SIDECAR]);
    case.take_reply(&listed(SIDECAR, vec![broken(&book.branch, reserved.charge, 1, 10)]));
    case.mark_gone(OTHER_SIDECAR);
    recover(&mut book, &case);

    book.mark_sealed(HOME, THIRD_HOME);
    let mut later = case_of(&book, &[SIDECAR]);
    later.take_reply(&listed(SIDECAR, vec![broken(&book.branch, reserved.charge, 1, 10)]));
    recover(&mut book, &later);
    assert_eq!((book.free(), book.grants().len()), (0, 1));
}

/// An operator makes sure that a dead machine ran nothing more, and releases the grant. What living
/// sidecars listed is billed, the rest is free again.
#[test]
fn release_bills_known() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    let grant = reserved.charge.grant;
    let branch = book.branch.clone();
    assert_eq!(book.record.release(&branch, &grant), ReleaseOutcome::NotInDoubt);

    book.mark_sealed(HOME, OTHER_HOME);
    let mut case = case_of(&book, &[SIDECAR, OTHER_SIDECAR]);
    case.take_reply(&listed(SIDECAR, vec![broken(&branch, reserved.charge, 1, 10)]));
    case.mark_gone(OTHER_SIDECAR);
    recover(&mut book, &case);
    assert_eq!(book.record.release(&branch, &grant), ReleaseOutcome::Released(TokenCount(90)));
    assert_eq!((book.settled(), book.free()), (10, 90));
    assert_eq!(book.record.release(&branch, &grant), ReleaseOutcome::NoSuchGrant);
}

/// A home is paused past every lease and sealed by another, with one of its witnesses lost. It wakes
/// up and hears from its entry how its request ended: it knows all, so nothing stays in doubt.
#[test]
fn holder_wakes_up() {
    let mut book = StoredBook::new(100);
    let paused = home(HOME);
    let reserved = book.reserve(&paused, 100, at(1));
    book.mark_sealed(HOME, OTHER_HOME);
    let mut case = case_of(&book, &[SIDECAR, OTHER_SIDECAR]);
    case.take_reply(&listed(SIDECAR, vec![broken(&book.branch, reserved.charge, 1, 10)]));
    case.mark_gone(OTHER_SIDECAR);
    recover(&mut book, &case);

    let second = whole(&book.branch, reserved.charge, 2, 90);
    book.finish(&paused, reserved.charge, sagespool_messages::FinishState::Ran(second), at(900));
    book.write(&paused, at(900));
    assert_eq!((book.settled(), book.free()), (90, 10));
}

/// A paused home wakes up and finds its grant sealed. Every sidecar would refuse what it reserves
/// from it, so it must reserve nothing more, or its callers go round in circles.
#[test]
fn sealed_grant() {
    let mut book = StoredBook::new(1000);
    let paused = home(HOME);
    book.grant(&paused, 400, at(1));
    let reserved = book.reserve(&paused, 10, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    book.write(&paused, at(900));
    assert!(book.short(&paused, 1, at(900)).is_some());
    book.ran(&paused, reserved.charge, 10, at(901));
    book.write(&paused, at(901));
    assert_eq!(book.free(), 990, "a sealed grant that holds nothing is handed back");
}

/// A home asks for a grant, the answer is lost and the home is paused. Others take it for dead and
/// seal the grant that the lost write made. A sidecar that starts now knows of no seal: a request
/// paid from this grant would run there after its recovery has heard everybody.
#[test]
fn sealed_unheard() {
    let mut book = StoredBook::new(100);
    let paused = home(HOME);
    paused.note_waiting(&book.branch, TokenCount(100), at(1));
    book.write_unheard(&paused, at(1));
    book.mark_sealed(HOME, OTHER_HOME);

    book.draft(&paused, at(900));
    assert!(book.short(&paused, 10, at(900)).is_some());
    book.write(&paused, at(901));
    assert_eq!(book.free(), 100);
}

/// A home's write that asks for a grant is stuck on its way. The home is told to leave and goes. If
/// the write took effect now, the grant's tokens would be held by nobody.
#[test]
fn stuck_ask() {
    let mut book = StoredBook::new(100);
    let leaving = home(HOME);
    leaving.note_waiting(&book.branch, TokenCount(50), at(1));
    let base = book.version;
    assert!(book.draft(&leaving, at(1)).is_some(), "this write is stuck");

    leaving.return_all(at(2));
    assert!(leaving.holds_grants(book.book));
    assert!(book.write(&leaving, at(2)), "a write that only moves the version on");
    assert!(book.version > base, "the stuck write can't take effect any more");
    assert!(!leaving.holds_grants(book.book));
    assert_eq!(book.free(), 100);
}

/// The same, and the home lives on without traffic. It must look again by itself.
#[test]
fn stuck_ask_idle() {
    let mut book = StoredBook::new(100);
    let idle = home(HOME);
    idle.note_waiting(&book.branch, TokenCount(50), at(1));
    book.write_unheard(&idle, at(1));
    assert_eq!(idle.books_due(at(20)), vec![book.book]);
    book.write(&idle, at(20));
    assert_eq!(idle.books_due(at(200)), vec![book.book]);
    book.write(&idle, at(200));
    assert_eq!(book.free(), 100);
}

/// Two homes seal the same grant, one after the other, since the first was believed dead. A sidecar
/// asks the first whether its charge may be forgotten. It isn't settled: if it were forgotten, the
/// second home's recovery would free what it spent.
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

    let asked = [(book.branch.clone(), reserved.charge)];
    assert!(first.durable_charges(&asked).is_empty());
    let mut case = case_of(&book, &[SIDECAR]);
    case.take_reply(&listed(SIDECAR, vec![whole(&book.branch, reserved.charge, 1, 60)]));
    recover(&mut book, &case);
    book.draft(&first, at(4));
    assert_eq!(first.durable_charges(&asked), vec![reserved.charge]);
}

/// A live home's grant was sealed by mistake, and a charge settled from the sidecars' lists, so that
/// its sidecar forgot it; the entry's word was lost. The home must not wait for that charge.
#[test]
fn settled_elsewhere() {
    let mut book = StoredBook::new(100);
    let cut_off = home(HOME);
    book.grant(&cut_off, 100, at(1));
    let first = book.reserve(&cut_off, 50, at(1));
    let second = book.reserve(&cut_off, 50, at(1));
    assert_eq!(first.charge.grant, second.charge.grant);
    book.mark_sealed(HOME, OTHER_HOME);
    let mut case = case_of(&book, &[SIDECAR]);
    let records =
        vec![whole(&book.branch, first.charge, 1, 20), running(&book.branch, second.charge, 1, 10)];
    case.take_reply(&listed(SIDECAR, records));
    recover(&mut book, &case);

    book.ran(&cut_off, second.charge, 30, at(2));
    book.write(&cut_off, at(2));
    assert_eq!((book.settled(), book.free()), (50, 50));
}

/// Two homes believe a third dead. If each sealed what the other has sealed, they would write the
/// book in turns for as long as the recovery lasts.
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

/// A sidecar asked about some charges of a grant lists others too, or an old sidecar answers about
/// another grant. A case takes in only its own.
#[test]
fn foreign_charge() {
    let mut book = StoredBook::new(100);
    let reserved = book.reserve(&home(HOME), 100, at(1));
    let mut foreign = reserved.charge;
    foreign.grant.number += 1;
    let mut case = GrantRecovery::new(
        book.branch.clone(),
        reserved.charge.grant,
        StoreRevision(11),
        [SIDECAR],
    );
    case.take_reply(&listed(SIDECAR, vec![whole(&book.branch, foreign, 1, 60)]));
    assert_eq!(case.verdict(), RecoveryVerdict::Close(Vec::new()));
}

/// A home dies, and so does a sidecar, and what the grant may have paid is in doubt for good. A
/// request that the rest of the budget doesn't cover must be refused now: if the doubtful grant
/// counted among those that a holder could still give back, it would wait until its deadline.
#[test]
fn doubt_unawaited() {
    let mut book = StoredBook::new(100);
    book.reserve(&home(HOME), 60, at(1));
    let next = home(OTHER_HOME);
    book.grant(&next, 40, at(1));
    assert_eq!(book.short(&next, 50, at(1)).expect("it is short").other_grants.len(), 1);

    book.mark_sealed(HOME, OTHER_HOME);
    let grant = book.grants().into_iter().find(|grant| grant.holder == HOME);
    let grant = grant.expect("the grant is outstanding");
    let mut case = GrantRecovery::new(book.branch.clone(), grant, StoreRevision(1), [SIDECAR]);
    case.mark_gone(SIDECAR);
    recover(&mut book, &case);
    book.write(&next, at(2));
    assert_eq!(book.short(&next, 50, at(2)).expect("it is short").other_grants, []);
    assert_eq!(book.short(&next, 50, at(2)).expect("it is short").grants_in_doubt.len(), 1);
}

/// A partition has a home taken for dead, and its grant is put in doubt, as a sidecar has restarted.
/// After it has healed a request that the rest of the budget doesn't cover is refused, although the
/// home lives and has spent nothing: nobody asked it. Asked, it reads its book and hands all back.
#[test]
fn doubt_asked() {
    let mut book = StoredBook::new(100);
    let holder = home(HOME);
    let reserved = book.reserve(&holder, 60, at(1));
    book.ran(&holder, reserved.charge, 20, at(1));
    let next = home(OTHER_HOME);
    book.grant(&next, 40, at(1));

    book.mark_sealed(HOME, OTHER_HOME);
    let mut case = case_of(&book, &[SIDECAR]);
    case.mark_gone(SIDECAR);
    recover(&mut book, &case);
    book.write(&next, at(2));
    let short = book.short(&next, 70, at(2)).expect("it is short");
    let asked: Vec<_> = short.grants_in_doubt.iter().map(|(_, holder, _)| *holder).collect();
    assert_eq!(asked, [HOME]);

    holder.return_unspent(&book.branch, TokenCount(70), at(2));
    book.write(&holder, at(2));
    assert_eq!((book.settled(), book.spend_in_doubt()), (20, 0));
    book.reserve(&next, 70, at(2));
}

/// A sidecar dies with a request of this home, whose reservation stays held for good. A request that
/// the rest doesn't cover must be refused at once: nothing comes back from the lost one, and waiting
/// for it would only bring the refusal later.
#[test]
fn lost_charge() {
    let mut book = StoredBook::new(100);
    let holder = home(HOME);
    let reserved = book.reserve(&holder, 60, at(1));
    assert_eq!(book.short(&holder, 80, at(1)).expect("it is short").returnable, TokenCount(60));

    book.finish(&holder, reserved.charge, FinishState::Unknown, at(1));
    let mut case = case_of(&book, &[SIDECAR]);
    case.mark_gone(SIDECAR);
    holder.resolve_recovery(&case, &[reserved.charge]);
    let short = book.short(&holder, 80, at(2)).expect("it is short");
    assert_eq!(short.returnable, TokenCount::ZERO);
    assert_eq!(holder.returnable(&book.branch), TokenCount::ZERO);
}
