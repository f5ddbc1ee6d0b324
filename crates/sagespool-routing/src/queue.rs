//! Who goes next, who waits, and who is told at once that it can't make it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime, RefusalReason, RequestId, ServiceName};

use crate::service_queue::ServiceQueue;
use crate::table::lock;

/// Settings of [`AdmissionQueue`]. The defaults are the measured choices of
/// `docs/design/ROUTING.md`.
#[derive(Debug, Clone, bon::Builder)]
pub struct QueuePolicy {
    /// Requests waiting in one service's queue, in all. One branch may fill half of what the
    /// others leave.
    #[builder(default = 4096)]
    pub most_waiting: u32,
    /// Requests running at once until [`AdmissionQueue::set_limit`] says otherwise.
    #[builder(default = 8)]
    pub initial_limit: u32,
    /// How long a request runs, until measured.
    #[builder(default = Duration::from_secs(2))]
    pub run_time: Duration,
    /// What was measured counts half after this time, and a branch's weight counts for so long
    /// after its last request.
    #[builder(default = Duration::from_secs(10))]
    pub half_life: Duration,
    /// A branch may save up its unused share, and be held to what it used beyond it, for so
    /// long.
    #[builder(default = Duration::from_secs(2))]
    pub share_span: Duration,
    /// A branch may save up at least so many requests.
    #[builder(default = 16)]
    pub min_burst: u32,
    /// Requests beyond their branch's share may take the places up to this part of them, in
    /// hundredths, while others are within theirs.
    #[builder(default = 66)]
    pub excess_percent: u32,
    /// A branch that at one moment runs so many times its share more than its share is held back
    /// like one that is far beyond it over time; none for 0.
    #[builder(default = 2)]
    pub full_excess_shares: u32,
    /// At most this part of the places, in hundredths, is kept free for those who go first,
    /// by what they lately used.
    #[builder(default = 15)]
    pub headroom_percent: u32,
    /// A lower class goes after so many requests of higher ones went before it.
    #[builder(default = 16)]
    pub max_skips: u32,
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

impl QueueTicket {
    /// From this time on it can't make its deadline.
    pub(crate) fn latest_start(&self) -> ClockTime {
        ClockTime(self.deadline.0.saturating_sub(self.run_time.as_micros() as u64))
    }
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

/// How full a service's queue is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueDepth {
    /// Requests waiting.
    pub waiting: usize,
    /// Requests running.
    pub running: usize,
    /// Requests that may run at once.
    pub limit: u32,
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
    /// as [`crate::UpstreamTable::concurrency`] says.
    pub fn set_limit(&self, service: &ServiceName, limit: u32) {
        lock(&self.shard(service)).set_limit(limit);
    }

    /// A request wants to run.
    pub fn offer(&self, ticket: QueueTicket, now: ClockTime) -> OfferOutcome {
        let shard = self.shard(&ticket.service);
        lock(&shard).offer(ticket, now)
    }

    /// Who may run now, and who can't make it any more. Call it after [`Self::ended`], after
    /// [`Self::set_limit`], and a few times a second for the deadlines.
    pub fn release(&self, service: &ServiceName, now: ClockTime) -> QueueRelease {
        lock(&self.shard(service)).release(now)
    }

    /// A request that ran has ended.
    pub fn ended(&self, service: &ServiceName, request: RequestId, now: ClockTime) {
        lock(&self.shard(service)).ended(request, now);
    }

    /// A waiting request's caller is gone; true if it was waiting.
    pub fn withdraw(&self, service: &ServiceName, request: RequestId, now: ClockTime) -> bool {
        lock(&self.shard(service)).withdraw(request, now)
    }

    /// How full a service's queue is.
    pub fn depth(&self, service: &ServiceName) -> QueueDepth {
        lock(&self.shard(service)).depth()
    }

    fn shard(&self, service: &ServiceName) -> QueueShard {
        let mut services = lock(&self.services);
        if let Some(shard) = services.get(service) {
            return Arc::clone(shard);
        }
        let shard = Arc::new(Mutex::new(ServiceQueue::new(self.policy.clone())));
        services.insert(service.clone(), Arc::clone(&shard));
        shard
    }
}
