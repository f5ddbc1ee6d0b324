//! Recovering the grants of holders that are dead, and charges whose entry is.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::{
    BOOK_COUNT, BookRecord, OrphanCharge, RecoveryCase, RecoveryVerdict, book_key,
};
use sagespool_log::log_event;
use sagespool_messages::{
    ChargeRecord, MemberInfo, MemberRole, PeerReply, PeerRequest, SealReply, SealRequest, SealScope,
};
use sagespool_platform::{StoreError, UpdateChoice, update_object};
use sagespool_types::{
    BookNumber, BranchName, ChargeId, ClockTime, GrantId, IncarnationId, StoreRevision, TokenCount,
};

use crate::state::EntryState;

const TICK: Duration = Duration::from_millis(500);
/// Every book is looked through this often for grants whose holder nobody knows.
const SWEEP: Duration = Duration::from_secs(15);
const SEAL_LIMIT: Duration = Duration::from_secs(2);
const UPDATE_LIMIT: Duration = Duration::from_secs(5);

/// The grants of one dead holder in one book.
struct BookCase {
    book: BookNumber,
    cases: Vec<RecoveryCase>,
}

/// Recovers for the process's whole life.
///
/// Who recovers is only a matter of who tries: any number may do so at once, since seals, settled
/// charges and closing are found by id in the book, by conditional updates.
pub(crate) async fn run_recovery(state: Arc<EntryState>) {
    let mut known: HashMap<IncarnationId, MemberRole> = HashMap::new();
    let mut last_sweep = ClockTime::now();
    let mut pending: Vec<IncarnationId> = Vec::new();
    loop {
        smol::Timer::after(TICK).await;
        let now = ClockTime::now();
        for member in state.members.members() {
            known.insert(member.incarnation, member.role);
        }
        let gone: Vec<(IncarnationId, MemberRole)> = known
            .iter()
            .filter(|(incarnation, _)| state.members.is_gone(**incarnation, now))
            .map(|(incarnation, role)| (*incarnation, *role))
            .collect();
        for (incarnation, role) in gone {
            known.remove(&incarnation);
            log_event!(info, "member-gone", incarnation = incarnation, role = role);
            if role == MemberRole::Entry {
                pending.push(incarnation);
                let orphans = state.ledger.entry_gone(incarnation, now);
                resolve_orphans(&state, orphans).await;
            }
        }
        let overdue = state.ledger.overdue(now);
        resolve_orphans(&state, overdue).await;
        if !pending.is_empty() && recover(&state).await {
            pending.clear();
        }
        if now.since(last_sweep) >= SWEEP {
            last_sweep = now;
            recover(&state).await;
        }
    }
}

/// Whether a grant's holder is dead as far as this process can tell. Nothing that must hold rests
/// on it: a holder wrongly believed dead finds its grant sealed, takes another, and still accounts
/// for what it spent.
fn is_dead(state: &EntryState, holder: IncarnationId) -> bool {
    let now = ClockTime::now();
    if holder == state.incarnation {
        return false;
    }
    if state.members.is_gone(holder, now) {
        return true;
    }
    // One that nobody here ever heard of died before this process started; time is given for word
    // of it to come first.
    state.members.find(holder).is_none() && now.since(state.started) >= SWEEP
}

/// Looks through the books that this entry is first in line for; false if the store didn't answer.
async fn recover(state: &Arc<EntryState>) -> bool {
    let mut whole = true;
    for book in (0..BOOK_COUNT).map(BookNumber) {
        if !is_first_in_line(state, book) {
            continue;
        }
        match state.objects.get::<BookRecord>(&book_key(book)).await {
            Ok(Some(stored)) => {
                let found = stored.value.outstanding_of(|holder| is_dead(state, holder));
                let undoubted = found.into_iter().filter(|(branch, grant)| {
                    stored.value.branches[branch]
                        .grants
                        .get(grant)
                        .is_some_and(|grant| !grant.in_doubt)
                });
                let undoubted: Vec<_> = undoubted.collect();
                if !undoubted.is_empty() {
                    recover_book(state, book, undoubted).await;
                }
            }
            Ok(None) => {}
            Err(_) => whole = false,
        }
    }
    whole
}

/// Books are spread over the live entries by their number.
fn is_first_in_line(state: &EntryState, book: BookNumber) -> bool {
    let mut entries: Vec<IncarnationId> = state
        .members
        .live(MemberRole::Entry, ClockTime::now())
        .into_iter()
        .map(|member| member.incarnation)
        .collect();
    entries.push(state.incarnation);
    entries.sort_unstable();
    entries.dedup();
    entries[book.0 as usize % entries.len()] == state.incarnation
}

/// Seals the grants in the book, then at every sidecar, and settles what the sidecars list.
async fn recover_book(
    state: &Arc<EntryState>,
    book: BookNumber,
    grants: Vec<(BranchName, GrantId)>,
) {
    let sealed = seal_in_book(state, book, &grants).await;
    let Ok(asked_at) = sealed else {
        return;
    };
    let sidecars = sidecars(state);
    let cases = asked_at.into_iter().map(|(branch, grant, asked_at)| {
        RecoveryCase::new(branch, grant, asked_at, sidecars.iter().map(|member| member.incarnation))
    });
    let mut case = BookCase { book, cases: cases.collect() };
    for case in &mut case.cases {
        ask_sidecars(state, case, &sidecars).await;
    }
    settle_cases(state, &case).await;
}

fn sidecars(state: &EntryState) -> Vec<MemberInfo> {
    let members = state.members.members().into_iter();
    members.filter(|member| member.role == MemberRole::Sidecar).collect()
}

/// Marks the grants as sealed, durably; returns those that are still outstanding.
async fn seal_in_book(
    state: &EntryState,
    book: BookNumber,
    grants: &[(BranchName, GrantId)],
) -> Result<Vec<(BranchName, GrantId, StoreRevision)>, StoreError> {
    let own = state.incarnation;
    let updated =
        update_object(&state.objects, &book_key(book), UPDATE_LIMIT, |record: &mut BookRecord| {
            let mut changed = false;
            for (branch, grant) in grants {
                changed |= record.seal(branch, grant, own);
            }
            if changed { UpdateChoice::Write } else { UpdateChoice::Keep }
        })
        .await?;
    state.ledger.observe(book, &updated.value, updated.version, ClockTime::now());
    let mut outstanding = Vec::new();
    for (branch, grant) in grants {
        let account = updated.value.branches.get(branch);
        if let Some(record) = account.and_then(|account| account.grants.get(grant)) {
            outstanding.push((branch.clone(), *grant, record.asked_at));
        }
    }
    Ok(outstanding)
}

async fn ask_sidecars(state: &Arc<EntryState>, case: &mut RecoveryCase, sidecars: &[MemberInfo]) {
    let request = SealRequest {
        grant: case.grant,
        scope: SealScope::WholeGrant,
        reporter: state.incarnation,
    };
    let replies = ask_all(state, sidecars, request).await;
    for (sidecar, reply) in replies {
        match reply {
            Some(reply) => case.take_reply(&reply),
            None if state.members.is_gone(sidecar, ClockTime::now()) => case.give_up(sidecar),
            None => {}
        }
    }
}

async fn ask_all(
    state: &Arc<EntryState>,
    sidecars: &[MemberInfo],
    request: SealRequest,
) -> Vec<(IncarnationId, Option<SealReply>)> {
    let mut asked = Vec::new();
    for member in sidecars {
        let (state, request, member) = (Arc::clone(state), request.clone(), member.clone());
        let task = smol::spawn(async move {
            let reply =
                state.link().ask(member.address, &PeerRequest::Seal(request), SEAL_LIMIT).await;
            match reply {
                Ok(PeerReply::Seal(reply)) => (member.incarnation, Some(reply)),
                _ => (member.incarnation, None),
            }
        });
        asked.push(task);
    }
    let mut replies = Vec::new();
    for task in asked {
        replies.push(task.await);
    }
    replies
}

/// Settles what is accounted for, and closes or doubts what is complete.
async fn settle_cases(state: &EntryState, case: &BookCase) {
    let book = case.book;
    let updated =
        update_object(&state.objects, &book_key(book), UPDATE_LIMIT, |record: &mut BookRecord| {
            let mut changed = false;
            for case in &case.cases {
                changed |= settle_case(record, case);
            }
            if changed { UpdateChoice::Write } else { UpdateChoice::Keep }
        })
        .await;
    match updated {
        Ok(updated) => {
            state.ledger.observe(book, &updated.value, updated.version, ClockTime::now());
            state.budget_changed.notify(usize::MAX);
            for case in &case.cases {
                let verdict = match case.verdict() {
                    RecoveryVerdict::Close(_) => "closed",
                    RecoveryVerdict::Wait(_) => "waiting",
                    RecoveryVerdict::Doubt(_) => "in-doubt",
                };
                log_event!(
                    info,
                    "grant-recovery",
                    grant = case.grant,
                    branch = case.branch,
                    verdict = verdict
                );
            }
        }
        Err(error) => log_event!(warn, "grant-recovery-failed", book = book, error = error),
    }
}

fn settle_case(record: &mut BookRecord, case: &RecoveryCase) -> bool {
    let verdict = case.verdict();
    let (RecoveryVerdict::Close(charges)
    | RecoveryVerdict::Wait(charges)
    | RecoveryVerdict::Doubt(charges)) = &verdict;
    let mut changed = false;
    for (charge, used) in charges {
        changed |= record.settle(&case.branch, charge, *used);
    }
    match verdict {
        RecoveryVerdict::Close(_) => changed | record.close(&case.branch, &case.grant),
        RecoveryVerdict::Doubt(_) => changed | record.doubt(&case.branch, &case.grant),
        RecoveryVerdict::Wait(_) => changed,
    }
}

/// Ends reservations whose entry is gone: every sidecar says what it ran under them, and starts
/// nothing more. One that can't be asked keeps them reserved until it answers.
async fn resolve_orphans(state: &Arc<EntryState>, orphans: Vec<OrphanCharge>) {
    let mut by_grant: HashMap<GrantId, Vec<OrphanCharge>> = HashMap::new();
    for orphan in orphans {
        by_grant.entry(orphan.charge.grant).or_default().push(orphan);
    }
    let sidecars = sidecars(state);
    for (grant, orphans) in by_grant {
        let sequences = orphans.iter().map(|orphan| orphan.charge.sequence).collect();
        let scope = SealScope::Charges(sequences);
        let request = SealRequest { grant, scope, reporter: state.incarnation };
        let replies = ask_all(state, &sidecars, request).await;
        let whole = replies.iter().all(|(_, reply)| reply.is_some());
        let records: Vec<ChargeRecord> = replies
            .into_iter()
            .filter_map(|(_, reply)| reply)
            .flat_map(|reply| reply.charges)
            .collect();
        for orphan in orphans {
            resolve_orphan(state, &orphan, &records, whole);
        }
    }
    state.budget_changed.notify(usize::MAX);
}

fn resolve_orphan(
    state: &EntryState,
    orphan: &OrphanCharge,
    records: &[ChargeRecord],
    whole: bool,
) {
    let own = records.iter().filter(|record| record.charge == orphan.charge);
    let newest = own.max_by_key(|record| (record.attempt, record.used));
    match newest {
        // A running attempt ends by itself and is reported then.
        Some(record) => state.ledger.witness(record, ClockTime::now()),
        None if whole => {
            state.ledger.resolve(&orphan.branch, &orphan.charge, TokenCount::ZERO);
            log_event!(info, "charge-never-ran", charge = orphan.charge, request = orphan.request);
        }
        None => {
            log_unresolved(&orphan.charge);
        }
    }
}

fn log_unresolved(charge: &ChargeId) {
    log_event!(warn, "charge-in-doubt", charge = charge);
}
