//! Sealing and recovery of dead homes' grants and of charges whose entry is gone.

use sagespool_ledger::{BookRecord, GrantRecovery, OrphanCharge};
use sagespool_types::{ChargeId, IncarnationId, StoreRevision};

use super::sidecar::ModelSidecar;
use super::store::WriteOutcome;
use super::world::{ChargeRecovery, World};
use crate::pick;

impl World {
    /// A home that finds its own seal in the book starts a recovery.
    pub(super) fn start_recoveries(&mut self, home: usize, record: &BookRecord) {
        let own = self.homes[home].incarnation;
        for (branch, grant) in record.grants_sealed_by(own) {
            if self.homes[home].recoveries.iter().any(|recovery| recovery.grant == grant) {
                continue;
            }
            let asked_at = record.branches[&branch].grants[&grant].asked_at;
            // Half of the recoveries omit the sidecars that are gone. Their successors must then
            // reveal the gap, since their lists don't cover the whole time.
            let mut sidecars = self.sidecars_since(asked_at);
            if grant.number % 2 == 1 {
                sidecars.retain(|known| self.is_live(*known));
            }
            let recovery = GrantRecovery::new(branch, grant, asked_at, sidecars);
            self.homes[home].recoveries.push(recovery);
        }
    }

    /// Sidecars that were running at that revision of the store or later.
    pub(super) fn sidecars_since(&self, revision: StoreRevision) -> Vec<IncarnationId> {
        let ran = |sidecar: &&ModelSidecar| sidecar.replaced_at.is_none_or(|end| end > revision);
        self.sidecars.iter().filter(ran).map(|sidecar| sidecar.incarnation).collect()
    }

    pub(super) fn is_live(&self, sidecar: IncarnationId) -> bool {
        self.sidecars.iter().any(|known| known.incarnation == sidecar && known.is_alive())
    }

    /// A sidecar deletes the charges that a home reports as durable.
    pub(super) fn forget(&mut self, sidecar: usize, home: usize) {
        let Some(home) = self.running_home(home) else {
            return;
        };
        let sidecar = &mut self.sidecars[self.sidecar_slots[sidecar % self.sidecar_slots.len()]];
        let known = sidecar.ended();
        let queried: Vec<_> =
            known.iter().map(|record| (record.branch.clone(), record.charge)).collect();
        for charge in self.homes[home].ledger.durable_charges(&queried) {
            let settled = is_settled(&self.store.record, charge);
            assert!(settled, "charge {charge} was reported durable but isn't settled");
            sidecar.forget(charge);
        }
    }

    pub(super) fn mark_sealed(&mut self, slot: usize, target: usize, outcome: WriteOutcome) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        let target = target % self.homes.len();
        if target != home {
            let dead = self.homes[target].incarnation;
            self.mark_grants(home, &|holder| holder == dead, outcome);
        }
    }

    /// A home seals the grants of holders that it presumes dead.
    pub fn mark_grants(
        &mut self,
        home: usize,
        dead: &dyn Fn(IncarnationId) -> bool,
        outcome: WriteOutcome,
    ) {
        let Some(mut draft) = self.store.read() else {
            return;
        };
        let own = self.homes[home].incarnation;
        let mut changed = false;
        for (branch, grant) in draft.record.outstanding_of(dead) {
            changed |= draft.record.seal(&branch, &grant, own);
        }
        if changed {
            self.store.write(&draft, outcome);
        }
    }

    pub(super) fn seal_grant(&mut self, slot: usize, choice: usize, sidecar: usize, lost: bool) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        let places: Vec<usize> = (0..self.homes[home].recoveries.len()).collect();
        if let Some(place) = pick(&places, choice) {
            self.send_seal(home, place, sidecar % self.sidecar_slots.len(), lost);
        }
    }

    pub fn send_seal(&mut self, home: usize, place: usize, sidecar: usize, lost: bool) {
        let recovery = &mut self.homes[home].recoveries[place];
        let reply = self.sidecars[self.sidecar_slots[sidecar]].seal_grant(recovery.grant);
        if !lost {
            recovery.take_reply(&reply);
        }
    }

    pub(super) fn settle(&mut self, slot: usize, choice: usize, outcome: WriteOutcome) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        let places: Vec<usize> = (0..self.homes[home].recoveries.len()).collect();
        if let Some(place) = pick(&places, choice) {
            self.settle_recovery(home, place, outcome);
        }
    }

    pub fn settle_recovery(&mut self, home: usize, place: usize, outcome: WriteOutcome) {
        let Some(mut draft) = self.store.read() else {
            return;
        };
        let recovery = &mut self.homes[home].recoveries[place];
        for sidecar in self.sidecars.iter().filter(|sidecar| !sidecar.is_alive()) {
            recovery.mark_gone(sidecar.incarnation);
        }
        let (branch, grant) = (recovery.branch.clone(), recovery.grant);
        if draft.record.apply_recovery(&branch, &grant, &recovery.verdict()) {
            self.store.write(&draft, outcome);
        }
    }

    pub(super) fn recover(&mut self, slot: usize, target: usize, replied: usize) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        self.mark_sealed(slot, target, WriteOutcome::Acknowledged);
        self.read_book(home);
        for place in 0..self.homes[home].recoveries.len() {
            for sidecar in 0..self.sidecar_slots.len() {
                self.send_seal(home, place, sidecar, replied >> sidecar & 1 == 0);
            }
            self.settle_recovery(home, place, WriteOutcome::Acknowledged);
        }
    }

    pub(super) fn query_charges(&mut self, slot: usize, replied: usize) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        self.overdue(slot);
        for place in 0..self.homes[home].charge_recoveries.len() {
            for sidecar in 0..self.sidecar_slots.len() {
                self.send_seal_charge(home, place, sidecar, replied >> sidecar & 1 == 0);
            }
            self.resolve_recovery(home, place);
        }
    }

    pub(super) fn entry_gone(&mut self, slot: usize, entry: usize) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        let entry = self.entries[entry % self.entries.len()].incarnation;
        let orphans = self.homes[home].ledger.entry_gone(entry, self.now);
        self.start_charge_recoveries(home, orphans);
    }

    pub(super) fn overdue(&mut self, slot: usize) {
        if let Some(home) = self.running_home(slot) {
            let orphans = self.homes[home].ledger.overdue(self.now);
            self.start_charge_recoveries(home, orphans);
        }
    }

    pub fn start_charge_recoveries(&mut self, home: usize, orphans: Vec<OrphanCharge>) {
        for orphan in orphans {
            let recoveries = &self.homes[home].charge_recoveries;
            if recoveries.iter().any(|known| known.orphan.charge == orphan.charge) {
                continue;
            }
            let sidecars = self.sidecars_since(orphan.since);
            let (branch, grant) = (orphan.branch.clone(), orphan.charge.grant);
            let recovery = GrantRecovery::new(branch, grant, orphan.since, sidecars);
            self.homes[home].charge_recoveries.push(ChargeRecovery { orphan, recovery });
        }
    }

    pub(super) fn seal_charge(&mut self, slot: usize, choice: usize, sidecar: usize, lost: bool) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        let places: Vec<usize> = (0..self.homes[home].charge_recoveries.len()).collect();
        if let Some(place) = pick(&places, choice) {
            self.send_seal_charge(home, place, sidecar % self.sidecar_slots.len(), lost);
        }
    }

    pub fn send_seal_charge(&mut self, home: usize, place: usize, sidecar: usize, lost: bool) {
        let open = &mut self.homes[home].charge_recoveries[place];
        let sidecar = &mut self.sidecars[self.sidecar_slots[sidecar]];
        let reply = sidecar.seal_charge(open.orphan.charge);
        if !lost {
            open.recovery.take_reply(&reply);
        }
    }

    pub(super) fn resolve(&mut self, slot: usize, choice: usize) {
        let Some(home) = self.running_home(slot) else {
            return;
        };
        let places: Vec<usize> = (0..self.homes[home].charge_recoveries.len()).collect();
        if let Some(place) = pick(&places, choice) {
            self.resolve_recovery(home, place);
        }
    }

    pub fn resolve_recovery(&mut self, home: usize, place: usize) {
        let home = &mut self.homes[home];
        let open = &mut home.charge_recoveries[place];
        for sidecar in self.sidecars.iter().filter(|sidecar| !sidecar.is_alive()) {
            open.recovery.mark_gone(sidecar.incarnation);
        }
        home.ledger.resolve_recovery(&open.recovery, &[open.orphan.charge]);
    }

    /// An operator releases a grant in doubt whose reported use is complete.
    pub(super) fn release(&mut self, choice: usize, outcome: WriteOutcome) {
        let Some(mut draft) = self.store.read() else {
            return;
        };
        let mut doubtful = Vec::new();
        for (branch, account) in &draft.record.branches {
            let vouched = account.grants.iter().filter(|(grant, record)| {
                let known = record.settled + record.known_use();
                record.in_doubt && self.used_under(**grant) == known.0
            });
            doubtful.extend(vouched.map(|(grant, _)| (branch.clone(), *grant)));
        }
        if let Some((branch, grant)) = pick(&doubtful, choice) {
            draft.record.release(&branch, &grant);
            self.store.write(&draft, outcome);
        }
    }
}

/// True if a charge is settled in a book or its grant is closed there.
pub fn is_settled(record: &BookRecord, charge: ChargeId) -> bool {
    let grants = record.branches.values().filter_map(|account| account.grants.get(&charge.grant));
    grants.into_iter().all(|grant| grant.charges.contains(charge.sequence))
}
