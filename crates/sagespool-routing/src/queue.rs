//! Who goes next, who waits, and who is told at once that it can't make it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime, RefusalReason, RequestId, ServiceName};

use crate::smooth::SmoothedValue;
use crate::table::lock;

/// One request's share of a branch's virtual time, before its weight.
const VIRTUAL_STEP: u64 = 1 << 20;

/// Settings of [`AdmissionQueue`].
#[derive(Debug, Clone, bon::Builder)]
pub struct QueuePolicy {
    /// Requests waiting in one service's queue, in all.
    #[builder(default = 4096)]
    pub most_waiting: usize,
    /// Requests of one branch waiting in one service's queue.
    #[builder(default = 512)]
    pub most_branch_waiting: usize,
    /// Requests running at once until [`AdmissionQueue::set_limit`] says otherwise.
    #[builder(default = 8)]
    pub first_limit: u32,
    /// How long a request runs, until measured.
    #[builder(default = Duration::from_secs(2))]
    pub run_time: Duration,
    /// What was measured counts half after this time.
    #[builder(default = Duration::from_secs(10))]
    pub half_life: Duration,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// A request that wants to run.
#[derive(Debug, Clone, bon::Builder)]
pub struct QueueTicket {
    /// The request.
    pub request: RequestId,
    /// The service that shall run it.
    pub service: ServiceName,
    /// The branch that sent it.
    pub branch: BranchName,
    /// The branch's weight against the others.
    #[builder(default = 1)]
    pub weight: u32,
    /// The class's priority; lower goes first.
    #[builder(default)]
    pub priority: u8,
    /// When it is of no use any more.
    pub deadline: ClockTime,
    /// The least time it needs once it runs.
    #[builder(default)]
    pub run_time: Duration,
}

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It runs now; say [`AdmissionQueue::ended`] when it ends.
    Admitted,
    /// It waits, about so long; [`AdmissionQueue::release`] will name it.
    Queued {
        /// The predicted wait.
        expected_wait: Duration,
    },
    /// It did not run and isn't kept.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When it would have a chance.
        retry_after: Option<Duration>,
    },
}

/// Requests that left the queue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueRelease {
    /// These run now.
    pub admitted: Vec<RequestId>,
    /// These can't make their deadline any more; they did not run.
    pub expired: Vec<RequestId>,
}

type OrderKey = (u64, u64, BranchName);

#[derive(Debug, Clone)]
struct BranchState {
    weight: u32,
    running: u32,
    waiting: usize,
    virtual_time: u64,
}

impl BranchState {
    fn key(&self, branch: &BranchName) -> OrderKey {
        let level = (u64::from(self.running) << 20) / u64::from(self.weight);
        (level, self.virtual_time, branch.clone())
    }
}

#[derive(Debug, Default)]
struct ClassQueue {
    order: BTreeSet<OrderKey>,
    tickets: HashMap<BranchName, VecDeque<QueueTicket>>,
    waiting: usize,
}

#[derive(Debug)]
struct ServiceQueue {
    limit: u32,
    branches: HashMap<BranchName, BranchState>,
    classes: BTreeMap<u8, ClassQueue>,
    running: HashMap<RequestId, (BranchName, ClockTime)>,
    waiting: usize,
    virtual_now: u64,
    run_time: SmoothedValue,
}

impl ServiceQueue {
    fn new(policy: &QueuePolicy) -> Self {
        Self {
            limit: policy.first_limit,
            branches: HashMap::new(),
            classes: BTreeMap::new(),
            running: HashMap::new(),
            waiting: 0,
            virtual_now: 0,
            run_time: SmoothedValue::new(64.0),
        }
    }

    fn offer(&mut self, ticket: QueueTicket, policy: &QueuePolicy, now: ClockTime) -> OfferOutcome {
        let time_left = ticket.deadline.since(now);
        if time_left <= ticket.run_time {
            return refuse(RefusalReason::DeadlineExceeded, None);
        }
        if self.waiting == 0 && self.running.len() < self.limit as usize {
            self.note_branch(&ticket);
            self.start(ticket.request, &ticket.branch, now);
            return OfferOutcome::Admitted;
        }
        let expected_wait = self.expected_wait(&ticket, policy, now);
        if expected_wait + ticket.run_time > time_left {
            return refuse(RefusalReason::DeadlineExceeded, Some(expected_wait));
        }
        let branch_waiting = self.branches.get(&ticket.branch).map_or(0, |branch| branch.waiting);
        if self.waiting >= policy.most_waiting || branch_waiting >= policy.most_branch_waiting {
            return refuse(RefusalReason::Overloaded, Some(expected_wait));
        }
        self.note_branch(&ticket);
        self.push(ticket);
        OfferOutcome::Queued { expected_wait }
    }

    fn note_branch(&mut self, ticket: &QueueTicket) {
        let virtual_now = self.virtual_now;
        let fresh = BranchState { weight: 1, running: 0, waiting: 0, virtual_time: virtual_now };
        self.rekey(&ticket.branch, |branch| branch.weight = ticket.weight.max(1), Some(fresh));
    }

    /// Changes a branch and puts it back in order in every class it waits in.
    fn rekey(
        &mut self,
        name: &BranchName,
        change: impl FnOnce(&mut BranchState),
        fresh: Option<BranchState>,
    ) {
        if let Some(fresh) = fresh {
            self.branches.entry(name.clone()).or_insert(fresh);
        }
        let Some(branch) = self.branches.get_mut(name) else { return };
        let old = branch.key(name);
        change(branch);
        let new = branch.key(name);
        if old == new {
            return;
        }
        for class in self.classes.values_mut() {
            if class.order.remove(&old) {
                class.order.insert(new.clone());
            }
        }
    }

    fn push(&mut self, ticket: QueueTicket) {
        let virtual_now = self.virtual_now;
        let wake = |branch: &mut BranchState| {
            if branch.waiting == 0 {
                branch.virtual_time = branch.virtual_time.max(virtual_now);
            }
            branch.waiting += 1;
        };
        self.rekey(&ticket.branch, wake, None);
        let Some(branch) = self.branches.get(&ticket.branch) else { return };
        let key = branch.key(&ticket.branch);
        let class = self.classes.entry(ticket.priority).or_default();
        class.order.insert(key);
        class.waiting += 1;
        self.waiting += 1;
        class.tickets.entry(ticket.branch.clone()).or_default().push_back(ticket);
    }

    fn pop(&mut self) -> Option<QueueTicket> {
        let first = |class: &ClassQueue| class.order.first().cloned();
        let heads = self.classes.iter().filter_map(|(name, class)| Some((*name, first(class)?)));
        let heads: Vec<_> = heads.collect();
        let is_within = |(_, key): &&(u8, OrderKey)| self.is_within_share(&key.2);
        let (priority, key) = heads.iter().find(is_within).or(heads.first())?.clone();
        self.take(priority, &key.2, 0)
    }

    fn take(&mut self, priority: u8, name: &BranchName, place: usize) -> Option<QueueTicket> {
        let class = self.classes.get_mut(&priority)?;
        let tickets = class.tickets.get_mut(name)?;
        let ticket = tickets.remove(place)?;
        class.waiting -= 1;
        self.waiting -= 1;
        let branch = self.branches.get_mut(name)?;
        branch.waiting -= 1;
        if tickets.is_empty() {
            class.tickets.remove(name);
            class.order.remove(&branch.key(name));
        }
        Some(ticket)
    }

    fn is_within_share(&self, name: &BranchName) -> bool {
        let Some(branch) = self.branches.get(name) else { return false };
        let active = |branch: &&BranchState| branch.running > 0 || branch.waiting > 0;
        let weights = self.branches.values().filter(active).map(|branch| u64::from(branch.weight));
        let all: u64 = weights.sum::<u64>().max(1);
        let share = u64::from(self.limit) * u64::from(branch.weight) / all;
        u64::from(branch.running) < share.max(1)
    }

    fn start(&mut self, request: RequestId, name: &BranchName, now: ClockTime) {
        let virtual_now = self.virtual_now;
        let mut started_at = virtual_now;
        let run = |branch: &mut BranchState| {
            started_at = branch.virtual_time.max(virtual_now);
            branch.virtual_time = started_at + VIRTUAL_STEP / u64::from(branch.weight);
            branch.running += 1;
        };
        self.rekey(name, run, None);
        self.virtual_now = started_at;
        self.running.insert(request, (name.clone(), now));
    }

    fn ended(&mut self, request: RequestId, policy: &QueuePolicy, now: ClockTime) {
        let Some((name, since)) = self.running.remove(&request) else { return };
        self.run_time.add(now.since(since).as_secs_f64(), policy.half_life, now);
        self.rekey(&name, |branch| branch.running -= 1, None);
        let is_idle = |branch: &BranchState| branch.running == 0 && branch.waiting == 0;
        let virtual_now = self.virtual_now;
        if self
            .branches
            .get(&name)
            .is_some_and(|branch| is_idle(branch) && branch.virtual_time <= virtual_now)
        {
            self.branches.remove(&name);
        }
    }

    fn release(&mut self, policy: &QueuePolicy, now: ClockTime) -> QueueRelease {
        let mut release = QueueRelease::default();
        while self.running.len() < self.limit as usize {
            let Some(ticket) = self.pop() else { break };
            if ticket.deadline.since(now) <= ticket.run_time {
                release.expired.push(ticket.request);
                continue;
            }
            self.start(ticket.request, &ticket.branch, now);
            release.admitted.push(ticket.request);
        }
        self.expire(&mut release, now);
        let _ = policy;
        release
    }

    fn expire(&mut self, release: &mut QueueRelease, now: ClockTime) {
        let mut late = Vec::new();
        for (priority, class) in &self.classes {
            for (name, tickets) in &class.tickets {
                for (place, ticket) in tickets.iter().enumerate().rev() {
                    if ticket.deadline.since(now) <= ticket.run_time {
                        late.push((*priority, name.clone(), place));
                    }
                }
            }
        }
        for (priority, name, place) in late {
            release.expired.extend(self.take(priority, &name, place).map(|ticket| ticket.request));
        }
    }

    fn withdraw(&mut self, request: RequestId) -> bool {
        let found = self.classes.iter().find_map(|(priority, class)| {
            class.tickets.iter().find_map(|(name, tickets)| {
                let place = tickets.iter().position(|ticket| ticket.request == request)?;
                Some((*priority, name.clone(), place))
            })
        });
        let Some((priority, name, place)) = found else { return false };
        self.take(priority, &name, place).is_some()
    }

    fn expected_wait(
        &self,
        ticket: &QueueTicket,
        policy: &QueuePolicy,
        now: ClockTime,
    ) -> Duration {
        let run = self.run_time.value(policy.run_time.as_secs_f64(), policy.half_life, now);
        let rate = f64::from(self.limit.max(1)) / run.max(1e-3);
        let before = self.classes.range(..ticket.priority).map(|(_, class)| class.waiting);
        let higher = before.sum::<usize>() as f64;
        let class = self.classes.get(&ticket.priority);
        let in_class = class.map_or(0, |class| class.waiting) as f64;
        let own =
            class.and_then(|class| class.tickets.get(&ticket.branch)).map_or(0, VecDeque::len);
        let names = class.into_iter().flat_map(|class| class.tickets.keys());
        let weights = names.filter_map(|name| self.branches.get(name)).map(|b| f64::from(b.weight));
        let others = weights.sum::<f64>() / f64::from(ticket.weight.max(1));
        let fair = (own as f64 + 1.0) * others.max(1.0);
        let ahead = higher + in_class.min(fair);
        Duration::from_secs_f64((ahead + 1.0) / rate)
    }
}

fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> OfferOutcome {
    OfferOutcome::Refused { reason, retry_after }
}

type QueueShard = Arc<Mutex<ServiceQueue>>;

/// The bounded queues of an entry, one for each service under its own lock.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    policy: QueuePolicy,
    services: Mutex<HashMap<ServiceName, QueueShard>>,
}

impl AdmissionQueue {
    /// Empty queues.
    pub fn new(policy: QueuePolicy) -> Self {
        Self { policy, services: Mutex::default() }
    }

    /// Sets how many requests of a service this entry may have running at once,
    /// as [`crate::UpstreamTable::room`] says.
    pub fn set_limit(&self, service: &ServiceName, limit: u32) {
        lock(&self.shard(service)).limit = limit.max(1);
    }

    /// A request wants to run.
    pub fn offer(&self, ticket: QueueTicket, now: ClockTime) -> OfferOutcome {
        let shard = self.shard(&ticket.service);
        lock(&shard).offer(ticket, &self.policy, now)
    }

    /// Who may run now, and who can't make it any more. Call it after [`Self::ended`], after
    /// [`Self::set_limit`], and a few times a second for the deadlines.
    pub fn release(&self, service: &ServiceName, now: ClockTime) -> QueueRelease {
        lock(&self.shard(service)).release(&self.policy, now)
    }

    /// A request that ran has ended.
    pub fn ended(&self, service: &ServiceName, request: RequestId, now: ClockTime) {
        lock(&self.shard(service)).ended(request, &self.policy, now);
    }

    /// A waiting request's caller is gone; true if it was waiting.
    pub fn withdraw(&self, service: &ServiceName, request: RequestId) -> bool {
        lock(&self.shard(service)).withdraw(request)
    }

    /// Requests waiting and running now in a service.
    pub fn depth(&self, service: &ServiceName) -> (usize, usize) {
        let shard = self.shard(service);
        let queue = lock(&shard);
        (queue.waiting, queue.running.len())
    }

    fn shard(&self, service: &ServiceName) -> QueueShard {
        let new = || Arc::new(Mutex::new(ServiceQueue::new(&self.policy)));
        lock(&self.services).entry(service.clone()).or_insert_with(new).clone()
    }
}
