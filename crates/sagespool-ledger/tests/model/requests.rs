//! Requests: dispatched to sidecars, run there, reported by entries and sidecars.

use sagespool_messages::{ChargeRecord, FinishReport, FinishState};
use sagespool_types::{AttemptNumber, BranchName, ChargeId, GrantId, TokenCount};

use super::sidecar::ModelDispatch;
use super::world::{AttemptOutcome, MAX_ATTEMPTS, ProcessState, World};
use crate::pick;

impl World {
    pub(super) fn unfinished(&self) -> Vec<usize> {
        let places = 0..self.requests.len();
        places
            .filter(|place| {
                let request = &self.requests[*place];
                !request.finished && self.entries[request.entry].alive
            })
            .collect()
    }

    pub(super) fn dispatch(&mut self, choice: usize, sidecar: usize, delayed: bool) {
        let Some(place) = pick(&self.unfinished(), choice) else {
            return;
        };
        let request = &mut self.requests[place];
        let whole =
            matches!(request.sent.last(), Some(AttemptOutcome::Ended(record)) if record.whole);
        if whole || request.sent.len() >= MAX_ATTEMPTS {
            return;
        }
        request.sent.push(AttemptOutcome::Open);
        let record = ChargeRecord {
            charge: request.reserved.charge,
            branch: request.branch.clone(),
            request: request.request,
            key: None,
            attempt: AttemptNumber(request.sent.len() as u32),
            used: TokenCount::ZERO,
            ended: false,
            whole: false,
        };
        let dispatch = ModelDispatch {
            request: place,
            place: request.sent.len() - 1,
            record,
            revision: request.reserved.grant_revision,
            limit: request.reserved.amount,
        };
        let sidecar = self.sidecar_slots[sidecar % self.sidecar_slots.len()];
        self.in_flight.push((sidecar, dispatch));
        if !delayed {
            self.deliver(self.in_flight.len() - 1);
        }
    }

    pub(super) fn deliver(&mut self, choice: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let (sidecar, dispatch) = self.in_flight.remove(choice % self.in_flight.len());
        let sidecar = &mut self.sidecars[sidecar];
        if !sidecar.is_alive() {
            return;
        }
        if sidecar.refuses(&dispatch) {
            self.requests[dispatch.request].sent[dispatch.place] = AttemptOutcome::Refused;
            return;
        }
        sidecar.note(&dispatch.record);
        let attempts = self.actual_use.entry(dispatch.record.charge).or_default();
        attempts.insert(dispatch.record.attempt, TokenCount::ZERO);
        sidecar.running.push(dispatch);
    }

    pub(super) fn running(&self) -> Vec<(usize, usize)> {
        let alive = self.sidecars.iter().enumerate().filter(|(_, sidecar)| sidecar.is_alive());
        alive.flat_map(|(at, sidecar)| (0..sidecar.running.len()).map(move |i| (at, i))).collect()
    }

    pub(super) fn progress(&mut self, choice: usize, tokens: TokenCount) {
        let Some((at, place)) = pick(&self.running(), choice) else {
            return;
        };
        let sidecar = &mut self.sidecars[at];
        let dispatch = &mut sidecar.running[place];
        dispatch.record.used = (dispatch.record.used + tokens).min(dispatch.limit);
        let record = dispatch.record.clone();
        sidecar.note(&record);
        let attempts = self.actual_use.entry(record.charge).or_default();
        attempts.insert(record.attempt, record.used);
        self.usage_log.push(record);
    }

    pub(super) fn end(&mut self, choice: usize, whole: bool, seen: bool) {
        let Some((at, place)) = pick(&self.running(), choice) else {
            return;
        };
        let sidecar = &mut self.sidecars[at];
        let dispatch = sidecar.running.swap_remove(place);
        let record = ChargeRecord { ended: true, whole, ..dispatch.record };
        sidecar.note(&record);
        self.usage_log.push(record.clone());
        if seen {
            self.requests[dispatch.request].sent[dispatch.place] = AttemptOutcome::Ended(record);
        }
    }

    pub(super) fn finish_one(&mut self, choice: usize, lost: bool) {
        if let Some(place) = pick(&self.unfinished(), choice) {
            self.finish(place, lost);
        }
    }

    pub(super) fn finish(&mut self, place: usize, lost: bool) {
        let request = &mut self.requests[place];
        request.finished = true;
        let report = FinishReport {
            request: request.request,
            branch: request.branch.clone(),
            charge: request.reserved.charge,
            state: finish_state(&request.sent),
            key: None,
            rerun_tokens: TokenCount::ZERO,
        };
        self.finish_log.push((request.home, report));
        if !lost {
            self.report(self.finish_log.len() - 1);
        }
    }

    /// Delivers an entry's final report to the home, perhaps repeatedly.
    pub(super) fn report(&mut self, choice: usize) {
        if self.finish_log.is_empty() {
            return;
        }
        let (home, report) = &self.finish_log[choice % self.finish_log.len()];
        if self.homes[*home].state == ProcessState::Running {
            self.homes[*home].ledger.finish(report, self.now);
        }
    }

    /// Delivers a sidecar's report to the holder, perhaps late or repeatedly.
    pub(super) fn report_usage(&mut self, choice: usize) {
        if self.usage_log.is_empty() {
            return;
        }
        let record = &self.usage_log[choice % self.usage_log.len()];
        let holder = record.charge.grant.holder;
        let home = self.homes.iter().find(|home| home.incarnation == holder);
        let Some(home) = home.filter(|home| home.state == ProcessState::Running) else {
            return;
        };
        home.ledger.note_usage(record, self.now);
    }

    /// Tokens billed for a charge: those of its last attempt.
    pub fn billed(&self, charge: &ChargeId) -> u64 {
        let last = self.actual_use.get(charge).and_then(|attempts| attempts.values().next_back());
        last.map_or(0, |used| used.0)
    }

    /// Tokens billed to a branch.
    pub fn billed_to(&self, branch: &BranchName) -> u64 {
        let requests = self.requests.iter().filter(|request| request.branch == *branch);
        requests.map(|request| self.billed(&request.reserved.charge)).sum()
    }

    /// Tokens billed under a grant.
    pub fn used_under(&self, grant: GrantId) -> u64 {
        let charges = self.actual_use.keys().filter(|charge| charge.grant == grant);
        charges.map(|charge| self.billed(charge)).sum()
    }

    /// Delivers everything in flight, ends all running attempts, and makes every live entry report.
    pub fn finish_all(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver(0);
        }
        while !self.running().is_empty() {
            self.end(0, true, true);
        }
        for place in self.unfinished() {
            self.finish(place, false);
        }
        for choice in 0..self.finish_log.len() {
            self.report(choice);
        }
        for choice in 0..self.usage_log.len() {
            self.report_usage(choice);
        }
    }
}

fn finish_state(sent: &[AttemptOutcome]) -> FinishState {
    if sent.is_empty() {
        return FinishState::NotRun;
    }
    match sent.iter().rev().find(|outcome| !matches!(outcome, AttemptOutcome::Refused)) {
        None => FinishState::GrantUnusable,
        Some(AttemptOutcome::Ended(record)) => FinishState::Ran(record.clone()),
        Some(_) => FinishState::Unknown,
    }
}
