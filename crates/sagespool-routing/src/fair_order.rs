//! Weighted fair order of the branches within a class.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime};

use crate::QueueTicket;

/// Fraction of the span by which a branch may exceed its share without counting as in excess.
const TOLERANCE: f64 = 0.1;

/// Orders branches by least use per weight, then by the longest time since their last start.
type OrderKey = (VirtualTime, u64, BranchName);

/// Slot time used or due per unit of weight, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(pub(crate) u64);

/// A branch's use of slots in one class and all higher ones.
#[derive(Debug, Clone, Copy, Default)]
struct ClassUsage {
    /// Use by ended requests, kept within one span of the virtual clock. This bounds both the
    /// unused share that accumulates and the excess use of idle slots held against the branch.
    ended: VirtualTime,
    /// Running requests of this class alone, and the sum of their start times.
    running: u32,
    started_sum: u64,
}

/// State of one branch over all classes of a service.
#[derive(Debug, Clone)]
pub(crate) struct BranchState {
    pub(crate) weight: u32,
    pub(crate) waiting: u32,
    classes: BTreeMap<u8, ClassUsage>,
    /// The service's start counter at the branch's last start.
    last_start: u64,
    /// True while its weight is part of the service's weight sum.
    pub(crate) is_counted: bool,
    /// When it became idle; `None` while requests are waiting or running.
    pub(crate) idle_since: Option<ClockTime>,
}

impl BranchState {
    pub(crate) fn new() -> Self {
        Self {
            weight: 1,
            waiting: 0,
            classes: BTreeMap::new(),
            last_start: 0,
            is_counted: false,
            idle_since: None,
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.waiting > 0 || self.classes.values().any(|usage| usage.running > 0)
    }

    /// The branch's use so far in this class and higher ones. Use in lower classes does not delay
    /// its urgent requests, and a very long request counts in full only when it has ended.
    pub(crate) fn usage(&self, priority: u8, clock: &VirtualClock, now: ClockTime) -> VirtualTime {
        let running = self.classes.range(..=priority).map(|(_, usage)| {
            let running = u64::from(usage.running);
            let since_started = (running * now.0).saturating_sub(usage.started_sum);
            since_started.min(running * clock.run_time)
        });
        let running = running.sum::<u64>() / u64::from(self.weight.max(1));
        VirtualTime(self.ended_usage(priority, clock).0 + running)
    }

    pub(crate) fn started(
        &mut self,
        priority: u8,
        start: u64,
        clock: &VirtualClock,
        now: ClockTime,
    ) {
        self.last_start = start;
        let ended = self.ended_usage(priority, clock);
        let usage =
            self.classes.entry(priority).or_insert(ClassUsage { ended, ..ClassUsage::default() });
        usage.running += 1;
        usage.started_sum += now.0;
    }

    pub(crate) fn request_ended(
        &mut self,
        priority: u8,
        since: ClockTime,
        clock: &VirtualClock,
        now: ClockTime,
    ) {
        let step = now.since(since).as_micros() as u64 / u64::from(self.weight.max(1));
        if let Some(usage) = self.classes.get_mut(&priority) {
            usage.running = usage.running.saturating_sub(1);
            usage.started_sum = usage.started_sum.saturating_sub(since.0);
        }
        for usage in self.classes.range_mut(priority..).map(|(_, usage)| usage) {
            let from = usage.ended.max(clock.min_time());
            usage.ended = VirtualTime(from.0 + step).min(clock.max_time());
        }
    }

    /// Running requests in this class and higher ones.
    pub(crate) fn running(&self, priority: u8) -> u32 {
        self.classes.range(..=priority).map(|(_, usage)| usage.running).sum()
    }

    fn ended_usage(&self, priority: u8, clock: &VirtualClock) -> VirtualTime {
        let before = self.classes.range(..=priority).map(|(_, usage)| usage.ended);
        before.max().unwrap_or_default().max(clock.min_time())
    }

    /// Counts running requests as ended, so that branches alternate when many start at once.
    fn order_key(&self, name: &BranchName, priority: u8, clock: &VirtualClock) -> OrderKey {
        let running =
            clock.run_time * u64::from(self.running(priority)) / u64::from(self.weight.max(1));
        (VirtualTime(self.ended_usage(priority, clock).0 + running), self.last_start, name.clone())
    }
}

/// Virtual clock of weighted fair sharing: the slot time due to each unit of weight so far.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct VirtualClock {
    /// In microseconds; fractional, so that small steps are not lost.
    time: f64,
    /// Bound on how far a branch's use may be behind or ahead of it, in microseconds.
    span: f64,
    /// Average run time of a request, in microseconds.
    run_time: u64,
    updated_at: ClockTime,
}

impl VirtualClock {
    /// Advances the clock to `now` at the given rate.
    pub(crate) fn advance(&mut self, rate: &ClockRate, now: ClockTime) {
        let per_weight = f64::from(rate.slots) / rate.weight.max(1) as f64;
        let elapsed = now.since(self.updated_at).as_micros() as f64;
        let burst = rate.run_time.saturating_mul(rate.burst);
        self.time += elapsed * per_weight;
        self.span = (rate.span.as_micros() as f64 * per_weight).max(burst.as_micros() as f64);
        self.run_time = rate.run_time.as_micros() as u64;
        self.updated_at = self.updated_at.max(now);
    }

    /// True if a use exceeds the due share by more than the tolerance.
    pub(crate) fn exceeds_share(&self, usage: VirtualTime) -> bool {
        usage.0 as f64 > self.time + self.span * TOLERANCE
    }

    /// Excess of a use over the due share, from 0 to 1 for one span or more.
    pub(crate) fn excess(&self, usage: VirtualTime) -> f64 {
        ((usage.0 as f64 - self.time) / self.span.max(1.0)).clamp(0.0, 1.0)
    }

    fn min_time(&self) -> VirtualTime {
        VirtualTime((self.time - self.span).max(0.0) as u64)
    }

    fn max_time(&self) -> VirtualTime {
        VirtualTime((self.time + self.span) as u64)
    }
}

/// The slots and the weights that share them, and the bounds on deviations.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockRate {
    pub(crate) slots: u32,
    pub(crate) weight: u64,
    pub(crate) run_time: Duration,
    /// Time over which unused share accumulates and excess is held against a branch.
    pub(crate) span: Duration,
    /// Minimum of the span, in requests.
    pub(crate) burst: u32,
}

#[derive(Debug)]
struct BranchQueue {
    key: OrderKey,
    /// Tickets in order of arrival.
    tickets: BTreeMap<u64, QueueTicket>,
}

/// Waiting requests of one class.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    order: BTreeSet<OrderKey>,
    branches: HashMap<BranchName, BranchQueue>,
    pub(crate) waiting: u32,
    /// Requests of higher classes admitted while this one waited.
    pub(crate) skips: u32,
}

impl ClassQueue {
    /// The branch to serve next in this class.
    pub(crate) fn first(&self) -> Option<&BranchName> {
        self.order.first().map(|(_, _, name)| name)
    }

    pub(crate) fn waiting_of(&self, name: &BranchName) -> u32 {
        self.branches.get(name).map_or(0, |queue| queue.tickets.len() as u32)
    }

    pub(crate) fn push(
        &mut self,
        number: u64,
        ticket: QueueTicket,
        branch: &BranchState,
        clock: &VirtualClock,
    ) {
        let name = ticket.branch.clone();
        let priority = ticket.priority;
        self.waiting += 1;
        let queue = self.branches.entry(name).or_insert_with_key(|name| {
            let key = branch.order_key(name, priority, clock);
            self.order.insert(key.clone());
            BranchQueue { key, tickets: BTreeMap::new() }
        });
        queue.tickets.insert(number, ticket);
    }

    /// Removes a branch's oldest ticket.
    pub(crate) fn pop(&mut self, name: &BranchName) -> Option<QueueTicket> {
        let number = *self.branches.get(name)?.tickets.keys().next()?;
        self.remove(name, number)
    }

    pub(crate) fn remove(&mut self, name: &BranchName, number: u64) -> Option<QueueTicket> {
        let queue = self.branches.get_mut(name)?;
        let ticket = queue.tickets.remove(&number)?;
        self.waiting -= 1;
        if queue.tickets.is_empty() {
            self.order.remove(&queue.key);
            self.branches.remove(name);
        }
        if self.waiting == 0 {
            self.skips = 0;
        }
        Some(ticket)
    }

    /// Restores a branch's order after a change of its state.
    pub(crate) fn reorder(
        &mut self,
        name: &BranchName,
        priority: u8,
        branch: &BranchState,
        clock: &VirtualClock,
    ) {
        let Some(queue) = self.branches.get_mut(name) else { return };
        let key = branch.order_key(name, priority, clock);
        if key != queue.key {
            self.order.remove(&queue.key);
            self.order.insert(key.clone());
            queue.key = key;
        }
    }
}
