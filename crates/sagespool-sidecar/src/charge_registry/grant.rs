//! The charges and seals of one grant.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sagespool_messages::{ChargeRecord, SealRequest, SealScope};
use sagespool_types::{AttemptNumber, ClockTime, IncarnationId, SequenceNumber, TokenCount};

use super::{ChargeRefusal, ChargeRequest, ReportPolicy, ReportScope};

/// State of one grant.
#[derive(Debug, Default)]
pub(super) struct GrantState {
    sealed: bool,
    reporter: Option<IncarnationId>,
    sealed_charges: BTreeSet<SequenceNumber>,
    durable: BTreeSet<SequenceNumber>,
    charges: BTreeMap<SequenceNumber, Vec<AttemptState>>,
    last_activity: ClockTime,
}

/// Record of one attempt under a charge, and when it is reported next.
#[derive(Debug)]
struct AttemptState {
    record: ChargeRecord,
    non_idempotent: bool,
    due: ClockTime,
    delay: Option<Duration>,
}

impl GrantState {
    pub(super) fn reporter(&self) -> Option<IncarnationId> {
        self.reporter
    }

    pub(super) fn open(
        &mut self,
        request: &ChargeRequest,
        now: ClockTime,
    ) -> Result<(), ChargeRefusal> {
        let sequence = request.reserved.charge.sequence;
        if self.durable.contains(&sequence) {
            return Err(ChargeRefusal::AlreadyRun { attempt: None });
        }
        self.check_attempts(sequence, request)?;
        if self.sealed {
            return Err(ChargeRefusal::GrantSealed);
        }
        if self.sealed_charges.contains(&sequence) {
            return Err(ChargeRefusal::ChargeSealed);
        }
        self.last_activity = now;
        self.charges.entry(sequence).or_default().push(AttemptState::new(request));
        Ok(())
    }

    /// Refuses an attempt that an earlier one blocks. A non-idempotent request
    /// that may have run is refused even if only one of the two attempts is
    /// marked non-idempotent.
    fn check_attempts(
        &self,
        sequence: SequenceNumber,
        request: &ChargeRequest,
    ) -> Result<(), ChargeRefusal> {
        let earlier = self.charges.get(&sequence).map(Vec::as_slice).unwrap_or_default();
        let blocks = |state: &&AttemptState| {
            state.record.attempt >= request.attempt
                || state.non_idempotent
                || request.non_idempotent
        };
        let blocking = earlier.iter().filter(blocks).map(|state| state.record.attempt).max();
        match blocking {
            Some(attempt) => Err(ChargeRefusal::AlreadyRun { attempt: Some(attempt) }),
            None => Ok(()),
        }
    }

    pub(super) fn update(
        &mut self,
        sequence: SequenceNumber,
        attempt: AttemptNumber,
        used: TokenCount,
    ) -> Option<()> {
        let state = self.running_attempt(sequence, attempt)?;
        state.record.used = used;
        Some(())
    }

    pub(super) fn end(
        &mut self,
        sequence: SequenceNumber,
        attempt: AttemptNumber,
        whole: bool,
        due: ClockTime,
    ) -> Option<ChargeRecord> {
        let state = self.running_attempt(sequence, attempt)?;
        state.record.ended = true;
        state.record.whole = whole;
        state.due = due;
        Some(state.record.clone())
    }

    pub(super) fn withdraw(
        &mut self,
        sequence: SequenceNumber,
        attempt: AttemptNumber,
        due: ClockTime,
    ) -> Option<()> {
        if self.sealed || self.sealed_charges.contains(&sequence) {
            self.update(sequence, attempt, TokenCount::ZERO);
            return self.end(sequence, attempt, false, due).map(|_| ());
        }
        let attempts = self.charges.get_mut(&sequence)?;
        attempts.retain(|state| state.record.attempt != attempt);
        if attempts.is_empty() {
            self.charges.remove(&sequence);
        }
        Some(())
    }

    pub(super) fn seal(&mut self, request: &SealRequest, due: ClockTime) -> Vec<ChargeRecord> {
        self.reporter = Some(request.reporter);
        for state in self.charges.values_mut().flatten() {
            state.delay = None;
            state.due = due;
        }
        match &request.scope {
            SealScope::WholeGrant => {
                self.sealed = true;
                self.charges.values().flatten().map(|state| state.record.clone()).collect()
            }
            SealScope::Charges(sequences) => {
                self.sealed_charges.extend(sequences);
                let known = sequences.iter().filter_map(|sequence| self.charges.get(sequence));
                known.flatten().map(|state| state.record.clone()).collect()
            }
        }
    }

    pub(super) fn collect(
        &mut self,
        policy: &ReportPolicy,
        now: ClockTime,
        scope: ReportScope,
        batch: &mut Vec<ChargeRecord>,
    ) {
        let ended = self.charges.values_mut().flatten().filter(|state| state.record.ended);
        let is_selected = |state: &&mut AttemptState| scope == ReportScope::All || state.due <= now;
        for state in ended.filter(is_selected) {
            if batch.len() >= policy.max_batch {
                return;
            }
            batch.push(state.record.clone());
            let delay = state.delay.map_or(policy.repeat_delay, |delay| delay * 2);
            let delay = delay.min(policy.max_delay);
            state.delay = Some(delay);
            state.due = now.after(delay);
        }
    }

    pub(super) fn mark_durable(&mut self, sequence: SequenceNumber, now: ClockTime) -> Option<()> {
        self.last_activity = now;
        let attempts = self.charges.get_mut(&sequence)?;
        attempts.retain(|state| !state.record.ended);
        if attempts.is_empty() {
            self.charges.remove(&sequence);
        }
        self.durable.insert(sequence);
        Some(())
    }

    pub(super) fn count_unsettled(&self) -> usize {
        self.charges.values().flatten().filter(|state| state.record.ended).count()
    }

    pub(super) fn is_idle(&self, policy: &ReportPolicy, now: ClockTime) -> bool {
        let is_unused = self.charges.is_empty() && !self.sealed && self.sealed_charges.is_empty();
        is_unused && now.since(self.last_activity) >= policy.idle_timeout
    }

    fn running_attempt(
        &mut self,
        sequence: SequenceNumber,
        attempt: AttemptNumber,
    ) -> Option<&mut AttemptState> {
        let attempts = self.charges.get_mut(&sequence)?;
        attempts.iter_mut().find(|state| state.record.attempt == attempt && !state.record.ended)
    }
}

impl AttemptState {
    fn new(request: &ChargeRequest) -> Self {
        let record = ChargeRecord {
            charge: request.reserved.charge,
            branch: request.branch.clone(),
            request: request.request,
            key: request.key,
            attempt: request.attempt,
            used: TokenCount::ZERO,
            ended: false,
            whole: false,
        };
        let due = ClockTime::default();
        Self { record, non_idempotent: request.non_idempotent, due, delay: None }
    }
}
