//! The order in which branches are served within one class.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime};

use crate::QueueTicket;

/// A branch that uses its share exactly is not beyond it, part of the span.
const TOLERANCE: f64 = 0.1;

/// The branch that used the least for its weight first; among equals the one that started
/// something the longest ago.
type OrderKey = (VirtualTime, u64, BranchName);

/// The time that a place was used or due, in microseconds, for one unit of weight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(pub(crate) u64);

/// What a branch used in one class and all higher ones.
#[derive(Debug, Clone, Copy, Default)]
struct ClassUsage {
    /// By requests that ended, kept within a span around what was due: unused due isn't saved
    /// up for long, nor is what was used while nobody else wanted it held against it for long.
    ended: VirtualTime,
    /// Requests of this class alone that run, and the sum of the times at which they started.
    running: u32,
    started_sum: u64,
}

/// One branch, over all classes of a service.
#[derive(Debug, Clone)]
pub(crate) struct BranchState {
    pub(crate) weight: u32,
    pub(crate) waiting: u32,
    classes: BTreeMap<u8, ClassUsage>,
    /// Counts the starts of the whole service, up to its own last one.
    last_start: u64,
    /// True while its weight counts against the others'.
    pub(crate) is_counted: bool,
    /// When it last had nothing more to wait for or to run.
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

    /// What the branch used up to now in this class and higher ones. What it uses in a lower
    /// class doesn't hold up its own urgent requests, and a request that runs for very long
    /// counts in full only once it has ended.
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

    /// Requests that run in this class and higher ones.
    pub(crate) fn running(&self, priority: u8) -> u32 {
        self.classes.range(..=priority).map(|(_, usage)| usage.running).sum()
    }

    fn ended_usage(&self, priority: u8, clock: &VirtualClock) -> VirtualTime {
        let before = self.classes.range(..=priority).map(|(_, usage)| usage.ended);
        before.max().unwrap_or_default().max(clock.min_time())
    }

    /// What runs counts as if it were over, so that branches take turns within one moment.
    fn order_key(&self, name: &BranchName, priority: u8, clock: &VirtualClock) -> OrderKey {
        let running =
            clock.run_time * u64::from(self.running(priority)) / u64::from(self.weight.max(1));
        (VirtualTime(self.ended_usage(priority, clock).0 + running), self.last_start, name.clone())
    }
}

/// What was due to each unit of weight so far: the places, shared by weight, over time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct VirtualClock {
    /// In microseconds; a fraction, so that many small steps add up.
    time: f64,
    /// How far a branch's use may lag behind it or run ahead of it, in microseconds.
    span: f64,
    /// How long a request runs, in microseconds.
    run_time: u64,
    updated_at: ClockTime,
}

impl VirtualClock {
    /// Time passed in which places were shared by weight.
    pub(crate) fn advance(&mut self, rate: &ClockRate, now: ClockTime) {
        let per_weight = f64::from(rate.slots) / rate.weight.max(1) as f64;
        let elapsed = now.since(self.updated_at).as_micros() as f64;
        let burst = rate.run_time.saturating_mul(rate.burst);
        self.time += elapsed * per_weight;
        self.span = (rate.span.as_micros() as f64 * per_weight).max(burst.as_micros() as f64);
        self.run_time = rate.run_time.as_micros() as u64;
        self.updated_at = self.updated_at.max(now);
    }

    /// True for a branch that used more than its share, beyond what rounding makes of it.
    pub(crate) fn exceeds_share(&self, usage: VirtualTime) -> bool {
        usage.0 as f64 > self.time + self.span * TOLERANCE
    }

    /// How far a branch is beyond its share, from 0 to 1 for the most that is held against it.
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

/// Places, the weight that shares them, and how strictly.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockRate {
    pub(crate) slots: u32,
    pub(crate) weight: u64,
    pub(crate) run_time: Duration,
    /// A branch may save up, or be behind, what this time brings it.
    pub(crate) span: Duration,
    /// And never less than so many requests.
    pub(crate) burst: u32,
}

#[derive(Debug)]
struct BranchQueue {
    key: OrderKey,
    /// Tickets by the order in which they came.
    tickets: BTreeMap<u64, QueueTicket>,
}

/// What waits in one class.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    order: BTreeSet<OrderKey>,
    branches: HashMap<BranchName, BranchQueue>,
    pub(crate) waiting: u32,
    /// Requests of higher classes that went while this one waited.
    pub(crate) skips: u32,
}

impl ClassQueue {
    /// The branch that is next in this class.
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

    /// Takes a branch's oldest ticket.
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

    /// Puts a branch back in order after its state changed.
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
