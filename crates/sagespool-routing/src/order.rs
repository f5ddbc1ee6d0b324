//! The order in which branches are served within one class.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime};

use crate::QueueTicket;

/// The branch that used the least for its weight first; among equals the one that started
/// something the longest ago.
type OrderKey = (u64, u64, BranchName);

/// The time that a place was used or due, in microseconds, for one unit of weight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ShareTime(pub(crate) u64);

/// One branch, over all classes of a service.
#[derive(Debug, Clone)]
pub(crate) struct BranchState {
    pub(crate) weight: u32,
    pub(crate) waiting: u32,
    pub(crate) running: u32,
    /// What it used, by class, on the scale of its due: see [`BranchState::used`].
    used: BTreeMap<u8, ShareTime>,
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
            running: 0,
            used: BTreeMap::new(),
            last_start: 0,
            is_counted: false,
            idle_since: None,
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.waiting > 0 || self.running > 0
    }

    /// What the branch used in this class and higher ones, for one unit of its weight, kept
    /// within a span around what was due: unused due isn't saved up for long, nor is what it
    /// used while nobody else wanted it held against it for long.
    ///
    /// What it uses in a lower class doesn't hold up its own urgent requests.
    pub(crate) fn used(&self, priority: u8, due: &DueShare) -> ShareTime {
        let before = self.used.range(..=priority).map(|(_, used)| *used);
        before.max().unwrap_or_default().max(due.least())
    }

    /// Charges the use of a place, ahead of time, in its class and all lower ones that it uses.
    pub(crate) fn charge(&mut self, priority: u8, time: Duration, due: &DueShare) {
        let step = time.as_micros() as u64 / u64::from(self.weight.max(1));
        let start = self.used(priority, due);
        self.used.entry(priority).or_insert(start);
        for used in self.used.range_mut(priority..).map(|(_, used)| used) {
            let from = (*used).max(due.least());
            *used = ShareTime(from.0 + step).min(due.most());
        }
    }

    /// Takes back what was charged too much.
    pub(crate) fn refund(&mut self, priority: u8, time: Duration) {
        let step = time.as_micros() as u64 / u64::from(self.weight.max(1));
        for used in self.used.range_mut(priority..).map(|(_, used)| used) {
            *used = ShareTime(used.0.saturating_sub(step));
        }
    }

    pub(crate) fn started(&mut self, start: u64) {
        self.running += 1;
        self.last_start = start;
    }

    fn key(&self, name: &BranchName, priority: u8, due: &DueShare) -> OrderKey {
        (self.used(priority, due).0, self.last_start, name.clone())
    }
}

/// What was due to each unit of weight so far: the places, shared by weight, over time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DueShare {
    /// In microseconds; a fraction, so that many small steps add up.
    due: f64,
    /// How far a branch's use may lag behind it or run ahead of it, in microseconds.
    span: f64,
    at: ClockTime,
}

impl DueShare {
    pub(crate) fn due(&self) -> ShareTime {
        ShareTime(self.due as u64)
    }

    /// Time passed in which so many places were shared by so much weight. A branch may save
    /// up, or be behind, what `span` brings it, and never less than `burst` of one place.
    pub(crate) fn advance(
        &mut self,
        rate: ShareRate,
        span: Duration,
        burst: Duration,
        now: ClockTime,
    ) {
        let rate = f64::from(rate.places) / rate.weight.max(1) as f64;
        let passed = now.since(self.at).as_micros() as f64;
        self.due += passed * rate;
        self.span = (span.as_micros() as f64 * rate).max(burst.as_micros() as f64);
        self.at = self.at.max(now);
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

/// Places and the weight that shares them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareRate {
    pub(crate) places: u32,
    pub(crate) weight: u64,
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
