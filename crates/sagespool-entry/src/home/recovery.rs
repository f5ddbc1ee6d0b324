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

use super::seal_targets::request_seals;
use crate::state::EntryState;

const TICK: Duration = Duration::from_millis(500);
/// Interval at which recoveries that wait for a sidecar are retried.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of the scan of all books for grants whose holder is unknown to every member.
const SCAN_INTERVAL: Duration = Duration::from_secs(15);
const UPDATE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of the recovery task between passes.
#[derive(Default)]
struct RecoveryTracker {
    known: HashMap<IncarnationId, MemberRole>,
    /// Books with grants that this process has sealed and not yet closed.
    open_books: BTreeSet<BookNumber>,
    last_pass: ClockTime,
    last_scan: ClockTime,
    /// True after an entry's death until a scan of all books has succeeded.
    scan_wanted: bool,
}

/// Runs recovery for the lifetime of the process.
///
/// Any number of entries may recover the same grant at once: seals, settled charges and closings
/// are found by id in the book and written with conditional updates.
pub(crate) async fn run_recovery(state: Arc<EntryState>) {
    let mut tracker = RecoveryTracker { last_scan: ClockTime::now(), ..RecoveryTracker::default() };
    loop {
        smol::Timer::after(TICK).await;
        handle_gone_members(&state, &mut tracker).await;
        let overdue = state.ledger.overdue(ClockTime::now());
        resolve_orphans(&state, overdue).await;
        let now = ClockTime::now();
        if tracker.scan_wanted || now.since(tracker.last_scan) >= SCAN_INTERVAL {
            tracker.last_scan = now;
            tracker.scan_wanted = !scan_books(&state, &mut tracker).await;
        }
        if !tracker.open_books.is_empty() && now.since(tracker.last_pass) >= RETRY_INTERVAL {
            tracker.last_pass = now;
            for book in tracker.open_books.clone() {
                recover_book(&state, &mut tracker, book).await;
            }
        }
    }
}

async fn handle_gone_members(state: &Arc<EntryState>, tracker: &mut RecoveryTracker) {
    let now = ClockTime::now();
    for member in state.members.members() {
        tracker.known.insert(member.incarnation, member.role);
    }
    let is_gone = |incarnation: &IncarnationId| state.members.is_gone(*incarnation, now);
    let gone: Vec<_> =
        tracker.known.iter().filter(|(incarnation, _)| is_gone(incarnation)).collect();
    let gone: Vec<_> = gone.into_iter().map(|(incarnation, role)| (*incarnation, *role)).collect();
    for (incarnation, role) in gone {
        tracker.known.remove(&incarnation);
        log_event!(info, "member-gone", incarnation = incarnation, role = role);
        match role {
            MemberRole::Sidecar => state.keys.sidecar_gone(incarnation, now),
            MemberRole::Entry => {
                tracker.scan_wanted = true;
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
    state.members.find(holder).is_none() && now.since(state.started) >= SCAN_INTERVAL
}

/// Scans the books that this entry is responsible for. Returns false if the store did not answer.
async fn scan_books(state: &Arc<EntryState>, tracker: &mut RecoveryTracker) -> bool {
    let mut complete = true;
    for book in (0..BOOK_COUNT).map(BookNumber) {
        if is_responsible(state, book) {
            complete &= recover_book(state, tracker, book).await;
        }
    }
    complete
}

/// Whether a book falls to this entry; books are spread over the live entries by number.
fn is_responsible(state: &EntryState, book: BookNumber) -> bool {
    let live = state.members.live(MemberRole::Entry, ClockTime::now());
    let mut entries: BTreeSet<IncarnationId> =
        live.into_iter().map(|member| member.incarnation).collect();
    entries.insert(state.incarnation);
    entries.iter().nth(book.0 as usize % entries.len()) == Some(&state.incarnation)
}

/// Seals the grants of dead holders in a book, and recovers the grants that this process has
/// sealed. Returns false if the store did not answer.
async fn recover_book(
    state: &Arc<EntryState>,
    tracker: &mut RecoveryTracker,
    book: BookNumber,
) -> bool {
    let stored = match state.objects.get::<BookRecord>(&book_key(book)).await {
        Ok(Some(stored)) => stored,
        Ok(None) => return true,
        Err(_) => return false,
    };
    let to_seal = stored.value.grants_to_seal(|holder| is_dead(state, holder));
    let own_sealed = stored.value.grants_sealed_by(state.incarnation);
    if to_seal.is_empty() && own_sealed.is_empty() {
        tracker.open_books.remove(&book);
        return true;
    }
    let Ok(recoveries) = seal_in_book(state, book, &to_seal).await else {
        return false;
    };
    tracker.open_books.insert(book);
    let mut queried = Vec::new();
    for mut recovery in recoveries {
        let (grant, scope) = (recovery.grant, SealScope::WholeGrant);
        let request = SealRequest { grant, scope, reporter: state.incarnation };
        request_seals(state, &mut recovery, &request).await;
        queried.push(recovery);
    }
    settle_recoveries(state, book, &queried).await
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
    let updated = update_object(&state.objects, &book_key(book), UPDATE_TIMEOUT, seal).await?;
    state.ledger.observe(book, &updated.value, updated.version, ClockTime::now());
    let recoveries = updated.value.grants_sealed_by(own).into_iter().map(|(branch, grant)| {
        let account = updated.value.branches.get(&branch);
        let record = account.and_then(|account| account.grants.get(&grant));
        let asked_at = record.map_or(StoreRevision::ZERO, |record| record.asked_at);
        GrantRecovery::new(branch, grant, asked_at, state.seal_targets.ids())
    });
    Ok(recoveries.collect())
}

/// Settles the charges that are accounted for, and closes complete grants or marks them in doubt.
/// Returns false if the store did not answer.
async fn settle_recoveries(
    state: &EntryState,
    book: BookNumber,
    recoveries: &[GrantRecovery],
) -> bool {
    let settle = |record: &mut BookRecord| {
        let mut changed = false;
        for recovery in recoveries {
            changed |=
                record.apply_recovery(&recovery.branch, &recovery.grant, &recovery.verdict());
        }
        if changed { UpdateChoice::Write } else { UpdateChoice::Keep }
    };
    let updated = update_object(&state.objects, &book_key(book), UPDATE_TIMEOUT, settle).await;
    let updated = match updated {
        Ok(updated) => updated,
        Err(error) => {
            log_event!(warn, "grant-recovery-failed", book = book, error = error);
            return false;
        }
    };
    state.ledger.observe(book, &updated.value, updated.version, ClockTime::now());
    state.budget_changed.notify(usize::MAX);
    for recovery in recoveries {
        let verdict = match recovery.verdict() {
            RecoveryVerdict::Close(_) => "closed",
            RecoveryVerdict::Wait(_) => "waiting",
            RecoveryVerdict::InDoubt(_) => "in-doubt",
        };
        let missing = recovery.missing().count();
        log_event!(
            info,
            "grant-recovery",
            grant = recovery.grant,
            branch = recovery.branch,
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
        let mut recovery = GrantRecovery::new(branch, grant, since, state.seal_targets.ids());
        request_seals(state, &mut recovery, &request).await;
        let resolved = state.ledger.resolve_recovery(&recovery, &charges);
        log_event!(
            info,
            "orphan-recovery",
            grant = grant,
            count = charges.len(),
            resolved = resolved,
            missing = recovery.missing().count()
        );
    }
    state.budget_changed.notify(usize::MAX);
}
