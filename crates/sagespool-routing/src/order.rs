//! The order in which branches are served within one class.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime};

use crate::QueueTicket;

/// A branch that uses its share exactly is not beyond it, part of the span.
const TOLERANCE: f64 = 0.1;

/// The branch that used the least for its weight first; among equals the one that started
/// something the longest ago.
type OrderKey = (ShareTime, u64, BranchName);

/// The time that a place was used or due, in microseconds, for one unit of weight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ShareTime(pub(crate) u64);

/// What a branch used in one class and all higher ones.
#[derive(Debug, Clone, Copy, Default)]
struct ClassUse {
    /// By requests that ended, kept within a span around what was due: unused due isn't saved
    /// up for long, nor is what was used while nobody else wanted it held against it for long.
    ended: ShareTime,
    /// Requests of this class alone that run, and the sum of the times at which they started.
    running: u32,
    started_sum: u64,
}

/// One branch, over all classes of a service.
#[derive(Debug, Clone)]
pub(crate) struct BranchState {
    pub(crate) weight: u32,
    pub(crate) waiting: u32,
    uses: BTreeMap<u8, ClassUse>,
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
            uses: BTreeMap::new(),
            last_start: 0,
            is_counted: false,
            idle_since: None,
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.waiting > 0 || self.uses.values().any(|used| used.running > 0)
    }

    /// What the branch used up to now in this class and higher ones. What it uses in a lower
    /// class doesn't hold up its own urgent requests, and a request that runs for very long
    /// counts in full only once it has ended.
    pub(crate) fn used(&self, priority: u8, due: &DueShare, now: ClockTime) -> ShareTime {
        let running = self.uses.range(..=priority).map(|(_, used)| {
            let running = u64::from(used.running);
            let since_started = (running * now.0).saturating_sub(used.started_sum);
            since_started.min(running * due.run_time)
        });
        let running = running.sum::<u64>() / u64::from(self.weight.max(1));
        ShareTime(self.ended(priority, due).0 + running)
    }

    pub(crate) fn started(&mut self, priority: u8, start: u64, due: &DueShare, now: ClockTime) {
        self.last_start = start;
        let ended = self.ended(priority, due);
        let used = self.uses.entry(priority).or_insert(ClassUse { ended, ..ClassUse::default() });
        used.running += 1;
        used.started_sum += now.0;
    }

    pub(crate) fn request_ended(
        &mut self,
        priority: u8,
        since: ClockTime,
        due: &DueShare,
        now: ClockTime,
    ) {
        let step = now.since(since).as_micros() as u64 / u64::from(self.weight.max(1));
        if let Some(used) = self.uses.get_mut(&priority) {
            used.running = used.running.saturating_sub(1);
            used.started_sum = used.started_sum.saturating_sub(since.0);
        }
        for used in self.uses.range_mut(priority..).map(|(_, used)| used) {
            let from = used.ended.max(due.least());
            used.ended = ShareTime(from.0 + step).min(due.most());
        }
    }

    /// Requests that run in this class and higher ones.
    pub(crate) fn running(&self, priority: u8) -> u32 {
        self.uses.range(..=priority).map(|(_, used)| used.running).sum()
    }

    fn ended(&self, priority: u8, due: &DueShare) -> ShareTime {
        let before = self.uses.range(..=priority).map(|(_, used)| used.ended);
        before.max().unwrap_or_default().max(due.least())
    }

    /// What runs counts as if it were over, so that branches take turns within one moment.
    fn key(&self, name: &BranchName, priority: u8, due: &DueShare) -> OrderKey {
        let ahead =
            due.run_time * u64::from(self.running(priority)) / u64::from(self.weight.max(1));
        (ShareTime(self.ended(priority, due).0 + ahead), self.last_start, name.clone())
    }
}

/// What was due to each unit of weight so far: the places, shared by weight, over time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DueShare {
    /// In microseconds; a fraction, so that many small steps add up.
    due: f64,
    /// How far a branch's use may lag behind it or run ahead of it, in microseconds.
    span: f64,
    /// How long a request runs, in microseconds.
    run_time: u64,
    at: ClockTime,
}

impl DueShare {
    /// Time passed in which places were shared by weight.
    pub(crate) fn advance(&mut self, rate: &ShareRate, now: ClockTime) {
        let each = f64::from(rate.places) / rate.weight.max(1) as f64;
        let passed = now.since(self.at).as_micros() as f64;
        let burst = rate.run_time.saturating_mul(rate.burst);
        self.due += passed * each;
        self.span = (rate.span.as_micros() as f64 * each).max(burst.as_micros() as f64);
        self.run_time = rate.run_time.as_micros() as u64;
        self.at = self.at.max(now);
    }

    /// True for a branch that used more than its share, beyond what rounding makes of it.
    pub(crate) fn is_beyond(&self, used: ShareTime) -> bool {
        used.0 as f64 > self.due + self.span * TOLERANCE
    }

    /// How far a branch is beyond its share, from 0 to 1 for the most that is held against it.
    pub(crate) fn ahead(&self, used: ShareTime) -> f64 {
        ((used.0 as f64 - self.due) / self.span.max(1.0)).clamp(0.0, 1.0)
    }

    fn least(&self) -> ShareTime {
        ShareTime((self.due - self.span).max(0.0) as u64)
    }

    fn most(&self) -> ShareTime {
        ShareTime((self.due + self.span) as u64)
    }
}

/// Places, the weight that shares them, and how strictly.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareRate {
    pub(crate) places: u32,
    pub(crate) weight: u64,
    pub(crate) run_time: Duration,
    /// A branch may save up, or be behind, what this time brings it.
    pub(crate) span: Duration,
    /// And never less than so many requests.
    pub(crate) burst: u32,
}

#[derive(Debug)]
struct BranchLine {
    key: OrderKey,
    /// Tickets by the order in which they came.
    tickets: BTreeMap<u64, QueueTicket>,
}

/// What waits in one class.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    order: BTreeSet<OrderKey>,
    lines: HashMap<BranchName, BranchLine>,
    pub(crate) waiting: u32,
    /// Requests of higher classes that went while this one waited.
    pub(crate) passed_by: u32,
}

impl ClassQueue {
    /// The branch that is next in this class.
    pub(crate) fn first(&self) -> Option<&BranchName> {
        self.order.first().map(|(_, _, name)| name)
    }

    pub(crate) fn waiting_of(&self, name: &BranchName) -> u32 {
        self.lines.get(name).map_or(0, |line| line.tickets.len() as u32)
    }

    pub(crate) fn push(
        &mut self,
        number: u64,
        ticket: QueueTicket,
        branch: &BranchState,
        due: &DueShare,
    ) {
        let name = ticket.branch.clone();
        let priority = ticket.priority;
        self.waiting += 1;
        let line = self.lines.entry(name).or_insert_with_key(|name| {
            let key = branch.key(name, priority, due);
            self.order.insert(key.clone());
            BranchLine { key, tickets: BTreeMap::new() }
        });
        line.tickets.insert(number, ticket);
    }

    /// Takes a branch's oldest ticket.
    pub(crate) fn pop(&mut self, name: &BranchName) -> Option<QueueTicket> {
        let number = *self.lines.get(name)?.tickets.keys().next()?;
        self.remove(name, number)
    }

    pub(crate) fn remove(&mut self, name: &BranchName, number: u64) -> Option<QueueTicket> {
        let line = self.lines.get_mut(name)?;
        let ticket = line.tickets.remove(&number)?;
        self.waiting -= 1;
        if line.tickets.is_empty() {
            self.order.remove(&line.key);
            self.lines.remove(name);
        }
        if self.waiting == 0 {
            self.passed_by = 0;
        }
        Some(ticket)
    }

    /// Puts a branch back in order after its state changed.
    pub(crate) fn reorder(
        &mut self,
        name: &BranchName,
        priority: u8,
        branch: &BranchState,
        due: &DueShare,
    ) {
        let Some(line) = self.lines.get_mut(name) else { return };
        let key = branch.key(name, priority, due);
        if key != line.key {
            self.order.remove(&line.key);
            self.order.insert(key.clone());
            line.key = key;
        }
    }
}
