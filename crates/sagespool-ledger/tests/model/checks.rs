//! Invariants that hold after every step, and conditions that hold once all processes have
//! finished.

use std::collections::BTreeSet;
use std::time::Duration;

use sagespool_ledger::{BranchAccount, GrantRecord};
use sagespool_types::{BranchName, GrantId, IncarnationId};

use super::store::WriteOutcome;
use super::world::{ProcessState, World};

/// Maximum number of writes that a home needs to return all its grants.
const MAX_WRITES: usize = 6;
/// Longer than the time after which an unused grant is returned.
const IDLE_TIME: Duration = Duration::from_secs(100);

/// Checks the invariants that hold at every moment.
pub fn check_now(world: &World) {
    check_held(world);
    for (branch, account) in &world.store.record.branches {
        check_account(branch, account);
        for (grant, record) in &account.grants {
            check_grant(world, grant, record);
        }
        check_closed(world, branch, account);
    }
}

/// No home has spent and reserved more of a grant than its stored amount, however many raises and
/// returns are in flight.
fn check_held(world: &World) {
    for home in &world.homes {
        let held = world.branches.iter().flat_map(|branch| home.ledger.spend(Some(branch)));
        for status in held {
            let account = &world.store.record.branches[&status.branch];
            for usage in &status.grants {
                let Some(record) = account.grants.get(&usage.grant) else {
                    continue;
                };
                let handed_out = usage.used + usage.reserved;
                let grant = usage.grant;
                assert!(handed_out <= record.amount, "{grant}: {handed_out} of {}", record.amount);
            }
        }
    }
}

fn check_account(branch: &BranchName, account: &BranchAccount) {
    let outstanding: u64 = account.grants.values().map(|grant| grant.amount.0).sum();
    let claimed = account.settled.0 + outstanding;
    assert!(claimed <= account.prepaid.0, "{branch}: {claimed} of {}", account.prepaid);
    let commands: BTreeSet<_> = account.commands.iter().map(|applied| applied.command).collect();
    assert_eq!(commands.len(), account.commands.len(), "{branch}: a command counted twice");
    let prepaid: u64 = account.commands.iter().map(|applied| applied.amount.0).sum();
    assert_eq!(prepaid, account.prepaid.0, "{branch}: prepaid differs from the sum of the top-ups");
}

fn check_grant(world: &World, grant: &GrantId, record: &GrantRecord) {
    let used = world.used_under(*grant);
    assert!(used <= record.amount.0, "{grant}: {used} ran of {}", record.amount);
    let charges = world.actual_use.keys().filter(|charge| charge.grant == *grant);
    let settled = charges.filter(|charge| record.charges.contains(charge.sequence));
    let billed: u64 = settled.map(|charge| world.billed(charge)).sum();
    assert_eq!(record.settled.0, billed, "{grant}: settled differs from what ran");
}

/// What closed grants have settled equals what ran under them.
fn check_closed(world: &World, branch: &BranchName, account: &BranchAccount) {
    let mut closed = BTreeSet::new();
    for request in world.requests.iter().filter(|request| request.branch == *branch) {
        let grant = request.reserved.charge.grant;
        if !account.grants.contains_key(&grant) {
            closed.insert(grant);
        }
    }
    let billed: u64 = closed.into_iter().map(|grant| world.used_under(grant)).sum();
    assert_eq!(
        account.settled.0, billed,
        "{branch}: settled differs from what ran under closed grants"
    );
}

/// Delivers every reply and makes every home return its grants or be recovered. Then checks that no
/// grant stays outstanding unless a lost sidecar is the reason.
pub fn check_quiescent(world: &mut World) {
    world.store.outage = false;
    for home in &mut world.homes {
        if home.state == ProcessState::Paused {
            home.state = ProcessState::Running;
        }
    }
    world.finish_all();
    check_now(world);
    let left: Vec<_> =
        (0..world.home_slots.len()).filter_map(|slot| return_grants(world, slot)).collect();
    apply_delayed_writes(world, &left);
    recover_all(world);
    check_settled(world);
}

/// Makes a home leave; returns its incarnation if nothing blocked that.
fn return_grants(world: &mut World, slot: usize) -> Option<IncarnationId> {
    let home = world.home_slots[slot];
    resolve_charges(world, home);
    // The first home isn't stopped: unused grants must be returned after the idle time as well.
    if slot > 0 {
        world.homes[home].ledger.return_all(world.now);
    }
    for _ in 0..MAX_WRITES {
        world.now = world.now.after(IDLE_TIME);
        if !world.homes[home].ledger.books_due(world.now).contains(&world.book) {
            break;
        }
        world.read_book(home);
        world.write_draft(home, WriteOutcome::Acknowledged);
        check_now(world);
    }
    let book = world.book;
    if world.homes[home].ledger.holds_grants(book) {
        let blocked = has_open_charge(world, home);
        assert!(blocked, "a home holds grants although all its charges ended");
        world.crash_home(slot);
        return None;
    }
    let own = world.homes[home].incarnation;
    check_left(world, &[own]);
    Some(own)
}

/// A home that returned everything has no outstanding grants except those in doubt.
fn check_left(world: &World, left: &[IncarnationId]) {
    let grants = world.store.record.outstanding_of(|holder| left.contains(&holder));
    let grants: Vec<_> = grants.iter().filter(|(_, grant)| !is_doubtful(world, grant)).collect();
    assert!(grants.is_empty(), "a home that returned everything left {grants:?}");
}

/// Queries the sidecars about every charge whose entry is gone.
fn resolve_charges(world: &mut World, home: usize) {
    let entries: Vec<_> = world.entries.iter().map(|entry| entry.incarnation).collect();
    for entry in entries {
        let orphans = world.homes[home].ledger.entry_gone(entry, world.now);
        world.start_charge_recoveries(home, orphans);
    }
    for place in 0..world.homes[home].charge_recoveries.len() {
        for sidecar in 0..world.sidecar_slots.len() {
            world.send_seal_charge(home, place, sidecar, false);
        }
        world.resolve_recovery(home, place);
    }
}

/// True if a charge of the home is open because its sidecar is lost.
fn has_open_charge(world: &World, home: usize) -> bool {
    let ledger = &world.homes[home].ledger;
    ledger.spend(None).iter().any(|status| status.reserved.0 > 0)
}

fn is_doubtful(world: &World, grant: &GrantId) -> bool {
    let mut accounts = world.store.record.branches.values();
    accounts.any(|account| account.grants.get(grant).is_some_and(|record| record.in_doubt))
}

/// Applies delayed writes after their senders have left.
fn apply_delayed_writes(world: &mut World, left: &[IncarnationId]) {
    while !world.store.delayed.is_empty() {
        world.store.apply_delayed(0);
        check_now(world);
        check_left(world, left);
    }
}

fn recover_all(world: &mut World) {
    let home = world.start_home();
    world.mark_grants(home, &|_| true, WriteOutcome::Acknowledged);
    world.read_book(home);
    for place in 0..world.homes[home].recoveries.len() {
        for sidecar in 0..world.sidecar_slots.len() {
            world.send_seal(home, place, sidecar, false);
        }
        world.settle_recovery(home, place, WriteOutcome::Acknowledged);
        check_now(world);
    }
}

fn check_settled(world: &World) {
    for (branch, account) in &world.store.record.branches {
        for (grant, record) in &account.grants {
            assert!(record.in_doubt, "{branch}: {grant} is outstanding and not in doubt");
            let lost = world
                .sidecars
                .iter()
                .any(|sidecar| sidecar.replaced_at.is_some_and(|end| end >= record.asked_at));
            assert!(lost, "{branch}: {grant} is in doubt although no sidecar is lost");
            check_known(world, grant, record);
        }
        if account.grants.is_empty() {
            let billed = world.billed_to(branch);
            assert_eq!(account.settled.0, billed, "{branch}: settled differs from what was billed");
        }
    }
}

/// Everything that live sidecars list for a grant in doubt is settled or recorded as known use.
fn check_known(world: &World, grant: &GrantId, record: &GrantRecord) {
    let living = world.sidecars.iter().filter(|sidecar| sidecar.is_alive());
    for listed in living.flat_map(|sidecar| sidecar.ended()) {
        let sequence = listed.charge.sequence;
        let known = record.known.iter().any(|(known, _)| *known == sequence);
        let counted = known || record.charges.contains(sequence);
        assert!(
            listed.charge.grant != *grant || counted,
            "{} is neither settled nor known",
            listed.charge
        );
    }
}
