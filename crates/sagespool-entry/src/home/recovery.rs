//! Recovery of grants whose holder is dead, and of charges whose entry is dead.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::{
    BOOK_COUNT, BookRecord, GrantRecovery, OrphanCharge, RecoveryVerdict, book_key,
};
use sagespool_log::log_event;
use sagespool_messages::{MemberRole, SealRequest, SealScope};
use sagespool_platform::{StoreError, UpdateChoice, update_object};
use sagespool_types::{
    BookNumber, BranchName, ChargeId, ClockTime, GrantId, IncarnationId, StoreRevision,
};

use super::witnesses::ask_witnesses;
use crate::state::EntryState;

const TICK: Duration = Duration::from_millis(500);
/// Interval at which recoveries that wait for a sidecar are retried.
const RETRY: Duration = Duration::from_secs(2);
/// Interval of the scan of all books for grants whose holder is unknown to every member.
const SWEEP: Duration = Duration::from_secs(15);
const UPDATE_LIMIT: Duration = Duration::from_secs(5);

/// State of the recovery task between passes.
#[derive(Default)]
struct RecoveryDesk {
    known: HashMap<IncarnationId, MemberRole>,
    /// Books with grants that this process has sealed and not yet closed.
    open_books: BTreeSet<BookNumber>,
    last_pass: ClockTime,
    last_sweep: ClockTime,
    /// True after an entry's death until a scan of all books has succeeded.
    sweep_wanted: bool,
}

/// Runs recovery for the lifetime of the process.
///
/// Any number of entries may recover the same grant at once: seals, settled charges and closings
/// are found by id in the book and written with conditional updates.
pub(crate) async fn run_recovery(state: Arc<EntryState>) {
    let mut desk = RecoveryDesk { last_sweep: ClockTime::now(), ..RecoveryDesk::default() };
    loop {
        smol::Timer::after(TICK).await;
        note_gone(&state, &mut desk).await;
        let overdue = state.ledger.overdue(ClockTime::now());
        resolve_orphans(&state, overdue).await;
        let now = ClockTime::now();
        if desk.sweep_wanted || now.since(desk.last_sweep) >= SWEEP {
            desk.last_sweep = now;
            desk.sweep_wanted = !sweep(&state, &mut desk).await;
        }
        if !desk.open_books.is_empty() && now.since(desk.last_pass) >= RETRY {
            desk.last_pass = now;
            for book in desk.open_books.clone() {
                pass_book(&state, &mut desk, book).await;
            }
        }
    }
}

async fn note_gone(state: &Arc<EntryState>, desk: &mut RecoveryDesk) {
    let now = ClockTime::now();
    for member in state.members.members() {
        desk.known.insert(member.incarnation, member.role);
    }
    let is_gone = |incarnation: &IncarnationId| state.members.is_gone(*incarnation, now);
    let gone: Vec<_> = desk.known.iter().filter(|(incarnation, _)| is_gone(incarnation)).collect();
    let gone: Vec<_> = gone.into_iter().map(|(incarnation, role)| (*incarnation, *role)).collect();
    for (incarnation, role) in gone {
        desk.known.remove(&incarnation);
        log_event!(info, "member-gone", incarnation = incarnation, role = role);
        match role {
            MemberRole::Sidecar => state.keys.sidecar_gone(incarnation, now),
            MemberRole::Entry => {
                desk.sweep_wanted = true;
                let orphans = state.ledger.entry_gone(incarnation, now);
                resolve_orphans(state, orphans).await;
            }
        }
    }
}

/// Whether this process takes a grant's holder for dead. Correctness does not depend on it: a
/// holder that is wrongly taken for dead finds its grant sealed, requests another, and still
/// accounts for what it spent.
fn is_dead(state: &EntryState, holder: IncarnationId) -> bool {
    let now = ClockTime::now();
    if holder == state.incarnation {
        return false;
    }
    if state.members.is_gone(holder, now) {
        return true;
    }
    // A holder that this entry has never seen died before this process started. Gossip is given
    // time to report it first.
    state.members.find(holder).is_none() && now.since(state.started) >= SWEEP
}

/// Scans the books that this entry is responsible for. Returns false if the store did not answer.
async fn sweep(state: &Arc<EntryState>, desk: &mut RecoveryDesk) -> bool {
    let mut whole = true;
    for book in (0..BOOK_COUNT).map(BookNumber) {
        if is_first_in_line(state, book) {
            whole &= pass_book(state, desk, book).await;
        }
    }
    whole
}

/// Whether a book falls to this entry; books are spread over the live entries by number.
fn is_first_in_line(state: &EntryState, book: BookNumber) -> bool {
    let live = state.members.live(MemberRole::Entry, ClockTime::now());
    let mut entries: BTreeSet<IncarnationId> =
        live.into_iter().map(|member| member.incarnation).collect();
    entries.insert(state.incarnation);
    entries.iter().nth(book.0 as usize % entries.len()) == Some(&state.incarnation)
}

/// Seals the grants of dead holders in a book, and recovers the grants that this process has
/// sealed. Returns false if the store did not answer.
async fn pass_book(state: &Arc<EntryState>, desk: &mut RecoveryDesk, book: BookNumber) -> bool {
    let stored = match state.objects.get::<BookRecord>(&book_key(book)).await {
        Ok(Some(stored)) => stored,
        Ok(None) => return true,
        Err(_) => return false,
    };
    let to_seal = stored.value.grants_to_seal(|holder| is_dead(state, holder));
    let mine = stored.value.grants_sealed_by(state.incarnation);
    if to_seal.is_empty() && mine.is_empty() {
        desk.open_books.remove(&book);
        return true;
    }
    let Ok(cases) = seal_in_book(state, book, &to_seal).await else {
        return false;
    };
    desk.open_books.insert(book);
    let mut heard = Vec::new();
    for mut case in cases {
        let (grant, scope) = (case.grant, SealScope::WholeGrant);
        let request = SealRequest { grant, scope, reporter: state.incarnation };
        ask_witnesses(state, &mut case, &request).await;
        heard.push(case);
    }
    settle_cases(state, book, &heard).await
}

/// Marks grants as sealed in the store. Returns a recovery for each grant that this process has
/// sealed.
async fn seal_in_book(
    state: &EntryState,
    book: BookNumber,
    grants: &[(BranchName, GrantId)],
) -> Result<Vec<GrantRecovery>, StoreError> {
    let own = state.incarnation;
    let seal = |record: &mut BookRecord| {
        let mut changed = false;
        for (branch, grant) in grants {
            changed |= record.seal(branch, grant, own);
        }
        if changed { UpdateChoice::Write } else { UpdateChoice::Keep }
    };
    let updated = update_object(&state.objects, &book_key(book), UPDATE_LIMIT, seal).await?;
    state.ledger.observe(book, &updated.value, updated.version, ClockTime::now());
    let cases = updated.value.grants_sealed_by(own).into_iter().map(|(branch, grant)| {
        let account = updated.value.branches.get(&branch);
        let record = account.and_then(|account| account.grants.get(&grant));
        let asked_at = record.map_or(StoreRevision::ZERO, |record| record.asked_at);
        GrantRecovery::new(branch, grant, asked_at, state.witnesses.ids())
    });
    Ok(cases.collect())
}

/// Settles the charges that are accounted for, and closes complete grants or marks them in doubt.
/// Returns false if the store did not answer.
async fn settle_cases(state: &EntryState, book: BookNumber, cases: &[GrantRecovery]) -> bool {
    let settle = |record: &mut BookRecord| {
        let mut changed = false;
        for case in cases {
            changed |= record.apply_recovery(&case.branch, &case.grant, &case.verdict());
        }
        if changed { UpdateChoice::Write } else { UpdateChoice::Keep }
    };
    let updated = update_object(&state.objects, &book_key(book), UPDATE_LIMIT, settle).await;
    let updated = match updated {
        Ok(updated) => updated,
        Err(error) => {
            log_event!(warn, "grant-recovery-failed", book = book, error = error);
            return false;
        }
    };
    state.ledger.observe(book, &updated.value, updated.version, ClockTime::now());
    state.budget_changed.notify(usize::MAX);
    for case in cases {
        let verdict = match case.verdict() {
            RecoveryVerdict::Close(_) => "closed",
            RecoveryVerdict::Wait(_) => "waiting",
            RecoveryVerdict::InDoubt(_) => "in-doubt",
        };
        let missing = case.missing().count();
        log_event!(
            info,
            "grant-recovery",
            grant = case.grant,
            branch = case.branch,
            verdict = verdict,
            missing = missing
        );
    }
    true
}

/// Resolves reservations whose entry is gone or did not report the outcome: every sidecar reports
/// what it ran under them and starts nothing more. An unreachable sidecar keeps them reserved until
/// it replies.
async fn resolve_orphans(state: &Arc<EntryState>, orphans: Vec<OrphanCharge>) {
    let mut by_grant: BTreeMap<(BranchName, GrantId), Vec<OrphanCharge>> = BTreeMap::new();
    for orphan in orphans {
        let place = (orphan.branch.clone(), orphan.charge.grant);
        by_grant.entry(place).or_default().push(orphan);
    }
    for ((branch, grant), orphans) in by_grant {
        let since = orphans.iter().map(|orphan| orphan.since).min().unwrap_or_default();
        let charges: Vec<ChargeId> = orphans.iter().map(|orphan| orphan.charge).collect();
        let sequences = charges.iter().map(|charge| charge.sequence).collect();
        let scope = SealScope::Charges(sequences);
        let request = SealRequest { grant, scope, reporter: state.incarnation };
        let mut case = GrantRecovery::new(branch, grant, since, state.witnesses.ids());
        ask_witnesses(state, &mut case, &request).await;
        let resolved = state.ledger.resolve_recovery(&case, &charges);
        log_event!(
            info,
            "orphans-asked",
            grant = grant,
            count = charges.len(),
            resolved = resolved,
            missing = case.missing().count()
        );
    }
    state.budget_changed.notify(usize::MAX);
}
