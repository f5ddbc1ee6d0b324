//! Admission queue of one service.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime, RefusalReason, RequestId};

use crate::average::ExponentialAverage;
use crate::fair_order::{BranchState, ClassQueue, ClockRate, VirtualClock};
use crate::tier::{QueueTier, TierTable};
use crate::{OfferOutcome, QueueDepth, QueuePolicy, QueueRelease, QueueTicket};

/// Averaging window, in ended requests, of the run time.
const RUN_TIME_SAMPLES: f64 = 64.0;

#[derive(Debug, Clone)]
struct QueuePosition {
    branch: BranchName,
    priority: u8,
    number: u64,
    latest_start: ClockTime,
}

#[derive(Debug, Clone)]
struct RunningSlot {
    branch: BranchName,
    priority: u8,
    tier: QueueTier,
    since: ClockTime,
}

/// Queue of one service: classes by priority, and fair sharing between branches within a class.
#[derive(Debug)]
pub(crate) struct ServiceQueue {
    policy: QueuePolicy,
    limit: u32,
    branches: HashMap<BranchName, BranchState>,
    /// Sum of the weights of the branches that have requests waiting or running, or recently had.
    counted_weight: u64,
    /// Idle branches, in the order in which they became idle.
    idle: VecDeque<(ClockTime, BranchName)>,
    classes: BTreeMap<u8, ClassQueue>,
    waiting: HashMap<RequestId, QueuePosition>,
    /// Waiting requests by the latest time at which they can start.
    latest_starts: BTreeSet<(ClockTime, RequestId)>,
    running: HashMap<RequestId, RunningSlot>,
    tiers: TierTable,
    clock: VirtualClock,
    next_number: u64,
    start_count: u64,
    run_time: ExponentialAverage,
}

impl ServiceQueue {
    pub(crate) fn new(policy: QueuePolicy) -> Self {
        Self {
            limit: policy.initial_limit.max(1),
            policy,
            branches: HashMap::new(),
            counted_weight: 0,
            idle: VecDeque::new(),
            classes: BTreeMap::new(),
            waiting: HashMap::new(),
            latest_starts: BTreeSet::new(),
            running: HashMap::new(),
            tiers: TierTable::default(),
            clock: VirtualClock::default(),
            next_number: 0,
            start_count: 0,
            run_time: ExponentialAverage::new(RUN_TIME_SAMPLES),
        }
    }

    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    pub(crate) fn depth(&self) -> QueueDepth {
        let (waiting, running) = (self.waiting.len(), self.running.len());
        QueueDepth { waiting, running, limit: self.limit }
    }

    pub(crate) fn offer(&mut self, ticket: QueueTicket, now: ClockTime) -> OfferOutcome {
        if ticket.latest_start() <= now {
            return refuse(RefusalReason::DeadlineExceeded, None);
        }
        self.advance_clock(now);
        self.update_weight(&ticket, now);
        let outcome = self.admit_or_queue(ticket.clone(), now);
        if matches!(outcome, OfferOutcome::Refused { .. }) {
            self.remove_if_unused(&ticket.branch);
        }
        outcome
    }

    fn admit_or_queue(&mut self, ticket: QueueTicket, now: ClockTime) -> OfferOutcome {
        if self.may_start_at_once(&ticket, now) {
            self.start(&ticket, now);
            return OfferOutcome::Admitted;
        }
        let expected_wait = self.expected_wait(&ticket, now);
        let late = now.after(expected_wait).since(ticket.latest_start());
        if !late.is_zero() {
            return refuse(RefusalReason::DeadlineExceeded, Some(late));
        }
        if self.is_full_for(&ticket.branch) {
            return refuse(RefusalReason::Overloaded, Some(expected_wait));
        }
        self.push(ticket, now);
        OfferOutcome::Queued { expected_wait }
    }

    /// True if there is a slot and no waiting request comes before it.
    fn may_start_at_once(&self, ticket: &QueueTicket, now: ClockTime) -> bool {
        let tier = self.tier(&ticket.branch, ticket.priority, now);
        if !self.has_slot(tier, &ticket.branch, now) {
            return false;
        }
        let next = self.next_branch(now);
        next.is_none_or(|(waiting, _)| tier < waiting)
    }

    /// True if a branch has as many requests waiting as the queue has free positions, so that
    /// no branch can fill the queue alone.
    fn is_full_for(&self, name: &BranchName) -> bool {
        let free = (self.policy.most_waiting as usize).saturating_sub(self.waiting.len());
        let own = self.branches.get(name).map_or(0, |branch| branch.waiting as usize);
        own >= free
    }

    pub(crate) fn release(&mut self, now: ClockTime) -> QueueRelease {
        self.advance_clock(now);
        let expired = self.expire(now);
        let mut admitted = Vec::new();
        while let Some(ticket) = self.pop(now) {
            self.start(&ticket, now);
            admitted.push(ticket.request);
        }
        QueueRelease { admitted, expired }
    }

    pub(crate) fn ended(&mut self, request: RequestId, now: ClockTime) {
        let Some(slot) = self.running.remove(&request) else { return };
        let elapsed = now.since(slot.since).as_secs_f64();
        self.run_time.add(elapsed, self.policy.half_life, now);
        self.tiers.ended(slot.tier, self.policy.half_life, now);
        self.advance_clock(now);
        let clock = self.clock;
        self.update_branch(&slot.branch, now, |branch| {
            branch.request_ended(slot.priority, slot.since, &clock, now);
        });
        self.remove_if_unused(&slot.branch);
    }

    pub(crate) fn withdraw(&mut self, request: RequestId, now: ClockTime) -> bool {
        let Some(position) = self.waiting.get(&request).cloned() else { return false };
        self.remove_waiting(request, &position, now);
        self.remove_if_unused(&position.branch);
        true
    }

    fn expire(&mut self, now: ClockTime) -> Vec<RequestId> {
        let mut expired = Vec::new();
        while let Some((latest_start, request)) = self.latest_starts.first().copied() {
            if latest_start > now {
                break;
            }
            if !self.withdraw(request, now) {
                self.latest_starts.pop_first();
            }
            expired.push(request);
        }
        expired
    }

    fn push(&mut self, ticket: QueueTicket, now: ClockTime) {
        self.next_number += 1;
        let position = QueuePosition {
            branch: ticket.branch.clone(),
            priority: ticket.priority,
            number: self.next_number,
            latest_start: ticket.latest_start(),
        };
        self.update_branch(&ticket.branch, now, |branch| branch.waiting += 1);
        self.latest_starts.insert((position.latest_start, ticket.request));
        self.waiting.insert(ticket.request, position);
        if let Some(branch) = self.branches.get(&ticket.branch) {
            let class = self.classes.entry(ticket.priority).or_default();
            class.push(self.next_number, ticket, branch, &self.clock);
        }
    }

    fn remove_waiting(&mut self, request: RequestId, position: &QueuePosition, now: ClockTime) {
        self.waiting.remove(&request);
        self.latest_starts.remove(&(position.latest_start, request));
        if let Some(class) = self.classes.get_mut(&position.priority) {
            class.remove(&position.branch, position.number);
        }
        self.update_branch(&position.branch, now, |branch| {
            branch.waiting = branch.waiting.saturating_sub(1)
        });
    }

    /// Removes the next ticket for which there is a slot.
    fn pop(&mut self, now: ClockTime) -> Option<QueueTicket> {
        let (tier, name) = self.next_branch(now)?;
        let name = name.clone();
        let ticket = self.classes.get_mut(&tier.priority)?.pop(&name)?;
        self.waiting.remove(&ticket.request);
        self.latest_starts.remove(&(ticket.latest_start(), ticket.request));
        self.update_branch(&name, now, |branch| branch.waiting = branch.waiting.saturating_sub(1));
        self.count_skips(tier.priority);
        Some(ticket)
    }

    /// The branch to admit next, among the first of each class for which there is a slot. A class
    /// that has been skipped too often comes first.
    fn next_branch(&self, now: ClockTime) -> Option<(QueueTier, &BranchName)> {
        let heads = self.classes.iter().filter_map(|(priority, class)| {
            let name = class.first()?;
            let tier = self.tier(name, *priority, now);
            let is_overdue = class.skips >= self.policy.max_skips;
            self.has_slot(tier, name, now).then_some((!is_overdue, tier, name))
        });
        heads.min().map(|(_, tier, name)| (tier, name))
    }

    /// Counts the admissions that skipped a lower class, so that it is not starved.
    fn count_skips(&mut self, admitted: u8) {
        for (priority, class) in &mut self.classes {
            if *priority == admitted {
                class.skips = 0;
            } else if *priority > admitted && class.waiting > 0 {
                class.skips += 1;
            }
        }
    }

    fn tier(&self, name: &BranchName, priority: u8, now: ClockTime) -> QueueTier {
        let usage = self.branches.get(name).map(|branch| branch.usage(priority, &self.clock, now));
        QueueTier {
            is_excess: usage.is_some_and(|usage| self.clock.exceeds_share(usage)),
            priority,
        }
    }

    /// The branch's share of the slots; at least one.
    fn share(&self, branch: &BranchState) -> u32 {
        let uncounted = if branch.is_counted { 0 } else { u64::from(branch.weight) };
        let all = (self.counted_weight + uncounted).max(1);
        let share = u64::from(self.limit) * u64::from(branch.weight) / all;
        share.max(1) as u32
    }

    /// Whether one more request of the tier may run. A branch in excess of its share leaves slots
    /// free in proportion to the excess, and each tier leaves the headroom of those before it.
    fn has_slot(&self, tier: QueueTier, name: &BranchName, now: ClockTime) -> bool {
        let limit = f64::from(self.limit);
        let excess = self.branches.get(name).map_or(0.0, |branch| self.excess(branch, tier, now));
        let held_back = limit * (1.0 - fraction(self.policy.excess_percent)) * excess;
        let needed = self.tiers.headroom(tier, self.policy.half_life, now);
        let headroom = needed.min(limit * fraction(self.policy.headroom_percent));
        let taken = self.running.len() as f64;
        taken + 1.0 <= (limit - held_back - headroom).ceil()
    }

    /// A branch's excess over its share, from 0 to 1: the larger of that over time and that of
    /// the requests running now.
    ///
    /// Excess over time alone would let a branch with little past use fill every slot of every
    /// entry before its use shows, and requests of others would find no slot for a second or two.
    fn excess(&self, branch: &BranchState, tier: QueueTier, now: ClockTime) -> f64 {
        let over_time = self.clock.excess(branch.usage(tier.priority, &self.clock, now));
        let weight = f64::from(branch.weight) / self.counted_weight.max(1) as f64;
        let share = (f64::from(self.limit) * weight).max(1.0);
        let over = f64::from(branch.running(tier.priority)) - share;
        match self.policy.full_excess_shares {
            0 => over_time,
            shares => over_time.max((over / (share * f64::from(shares))).min(1.0)),
        }
    }

    fn start(&mut self, ticket: &QueueTicket, now: ClockTime) {
        let tier = self.tier(&ticket.branch, ticket.priority, now);
        self.tiers.started(tier, self.policy.half_life, now);
        self.start_count += 1;
        let (clock, start) = (self.clock, self.start_count);
        self.update_branch(&ticket.branch, now, |branch| {
            branch.started(ticket.priority, start, &clock, now);
        });
        let slot = RunningSlot {
            branch: ticket.branch.clone(),
            priority: ticket.priority,
            tier,
            since: now,
        };
        self.running.insert(ticket.request, slot);
    }

    fn update_weight(&mut self, ticket: &QueueTicket, now: ClockTime) {
        self.branches.entry(ticket.branch.clone()).or_insert_with(BranchState::new);
        self.update_branch(&ticket.branch, now, |branch| branch.weight = ticket.weight.max(1));
    }

    /// Changes a branch, and updates the weight sum, the idle list and its order in every class.
    fn update_branch(
        &mut self,
        name: &BranchName,
        now: ClockTime,
        apply: impl FnOnce(&mut BranchState),
    ) {
        let Some(branch) = self.branches.get_mut(name) else { return };
        if branch.is_counted {
            self.counted_weight -= u64::from(branch.weight);
        }
        apply(branch);
        let is_active = branch.is_active();
        if is_active {
            branch.is_counted = true;
            branch.idle_since = None;
        } else if branch.is_counted && branch.idle_since.is_none() {
            branch.idle_since = Some(now);
            self.idle.push_back((now, name.clone()));
        }
        if branch.is_counted {
            self.counted_weight += u64::from(branch.weight);
        }
        for (priority, class) in &mut self.classes {
            class.reorder(name, *priority, branch, &self.clock);
        }
    }

    /// Removes the weight of branches that have been idle for a half-life.
    ///
    /// The delay keeps shares stable: of ten branches with occasional requests only one or two are
    /// active at any moment, and one that always is would get nearly every slot as its share.
    fn expire_idle(&mut self, now: ClockTime) {
        while let Some((since, name)) = self.idle.front() {
            if now.since(*since) < self.policy.half_life {
                break;
            }
            let (since, name) = (*since, name.clone());
            self.idle.pop_front();
            let Some(branch) = self.branches.get_mut(&name) else { continue };
            if branch.idle_since != Some(since) {
                continue;
            }
            branch.is_counted = false;
            branch.idle_since = None;
            self.counted_weight -= u64::from(branch.weight);
            self.remove_if_unused(&name);
        }
    }

    fn remove_if_unused(&mut self, name: &BranchName) {
        let is_unused = |branch: &BranchState| !branch.is_counted && !branch.is_active();
        if self.branches.get(name).is_some_and(is_unused) {
            self.branches.remove(name);
        }
    }

    /// Advances the virtual clock and expires idle branches.
    fn advance_clock(&mut self, now: ClockTime) {
        let rate = ClockRate {
            slots: self.limit,
            weight: self.counted_weight,
            run_time: self.run_time(now),
            span: self.policy.share_span,
            burst: self.policy.min_burst,
        };
        self.clock.advance(&rate, now);
        self.expire_idle(now);
    }

    fn run_time(&self, now: ClockTime) -> Duration {
        let guess = self.policy.run_time.as_secs_f64();
        let run_time = self.run_time.value(guess, self.policy.half_life, now);
        Duration::from_secs_f64(run_time)
    }

    /// The lower of two estimates, so that a request is not refused on an overestimate: the time
    /// until all requests before it have slots, and the time until its branch's share of the
    /// slots has served the branch's own.
    fn expected_wait(&self, ticket: &QueueTicket, now: ClockTime) -> Duration {
        let run_time = self.run_time(now).as_secs_f64();
        let before = || self.classes.range(..=ticket.priority).map(|(_, class)| class);
        let all: u32 = before().map(|class| class.waiting).sum();
        let own: u32 = before().map(|class| class.waiting_of(&ticket.branch)).sum();
        let share = self.branches.get(&ticket.branch).map_or(1, |branch| self.share(branch));
        let for_all = f64::from(all + 1) / f64::from(self.limit);
        let for_own = f64::from(own + 1) / f64::from(share);
        Duration::from_secs_f64(for_all.min(for_own) * run_time)
    }
}

fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> OfferOutcome {
    OfferOutcome::Refused { reason, retry_after }
}

fn fraction(hundredths: u32) -> f64 {
    f64::from(hundredths) / 100.0
}
