//! Admission queues of an entry: which requests run, wait, or are refused immediately.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime, RefusalReason, RequestId, ServiceName};

use crate::service_queue::ServiceQueue;
use crate::table::lock;

/// Settings of [`AdmissionQueue`]. See `docs/design/ROUTING.md` for the defaults.
#[derive(Debug, Clone, bon::Builder)]
pub struct QueuePolicy {
    /// Capacity of one service's queue. A single branch may fill half of what the others leave.
    #[builder(default = 4096)]
    pub most_waiting: u32,
    /// Concurrency limit of a service before [`AdmissionQueue::set_limit`] is called.
    #[builder(default = 8)]
    pub initial_limit: u32,
    /// Assumed run time of a request, until measured.
    #[builder(default = Duration::from_secs(2))]
    pub run_time: Duration,
    /// Half-life of the weight of measurements, and the time for which a branch's weight counts
    /// after its last request.
    #[builder(default = Duration::from_secs(10))]
    pub half_life: Duration,
    /// Time over which unused share accumulates and excess use is held against a branch.
    #[builder(default = Duration::from_secs(2))]
    pub share_span: Duration,
    /// Requests' worth of unused share that a branch can always accumulate.
    #[builder(default = 16)]
    pub min_burst: u32,
    /// Percentage of the slots available to a branch at its full excess over its share.
    #[builder(default = 66)]
    pub excess_percent: u32,
    /// Excess of a branch's running requests over its share, as a multiple of the share, at which
    /// it is limited like one at full excess over time; 0 disables this.
    #[builder(default = 2)]
    pub full_excess_shares: u32,
    /// Upper bound, as a percentage of the slots, of the headroom for earlier tiers' recent demand.
    #[builder(default = 15)]
    pub headroom_percent: u32,
    /// Requests of higher classes that may be admitted before a waiting lower class comes first.
    #[builder(default = 16)]
    pub max_skips: u32,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// A request to be admitted.
#[derive(Debug, Clone, bon::Builder)]
pub struct QueueTicket {
    /// Identifies the request in [`QueueRelease`] and in calls that end or withdraw it.
    pub request: RequestId,
    /// The service to call; selects the queue.
    pub service: ServiceName,
    /// The client account that sent it.
    pub branch: BranchName,
    /// The branch's weight in fair sharing; 0 counts as 1.
    #[builder(default = 1)]
    pub weight: u32,
    /// The class's priority; lower values are admitted first.
    #[builder(default)]
    pub priority: u8,
    /// Time after which the answer is of no use.
    pub deadline: ClockTime,
    /// Minimum run time; it must start at least this long before its deadline.
    #[builder(default)]
    pub run_time: Duration,
}

impl QueueTicket {
    /// From this time on it cannot meet its deadline.
    pub(crate) fn latest_start(&self) -> ClockTime {
        ClockTime(self.deadline.0.saturating_sub(self.run_time.as_micros() as u64))
    }
}

/// Outcome of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It may run now; [`AdmissionQueue::ended`] must be called when it ends.
    Admitted,
    /// It waits until [`AdmissionQueue::release`] returns it.
    Queued {
        /// The predicted wait.
        expected_wait: Duration,
    },
    /// It did not run and is not queued.
    Refused {
        /// Deadline exceeded or overloaded.
        reason: RefusalReason,
        /// Time after which a retry may succeed; `None` if the deadline is already missed.
        retry_after: Option<Duration>,
    },
}

/// Requests that have left the queue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueRelease {
    /// These may run now.
    pub admitted: Vec<RequestId>,
    /// These can no longer meet their deadline and did not run.
    pub expired: Vec<RequestId>,
}

/// Size and limit of a service's queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueDepth {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of running requests.
    pub running: usize,
    /// Maximum number of running requests.
    pub limit: u32,
}

type QueueShard = Arc<Mutex<ServiceQueue>>;

/// The bounded queues of an entry, one per service, each under its own lock.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    policy: QueuePolicy,
    services: Mutex<HashMap<ServiceName, QueueShard>>,
}

impl AdmissionQueue {
    /// Creates the queues with the same policy for every service.
    pub fn new(policy: QueuePolicy) -> Self {
        Self { policy, services: Mutex::default() }
    }

    /// Sets this entry's concurrency limit for a service, as computed by
    /// [`crate::UpstreamTable::concurrency`].
    pub fn set_limit(&self, service: &ServiceName, limit: u32) {
        lock(&self.shard(service)).set_limit(limit);
    }

    /// Admits, queues or refuses a request.
    pub fn offer(&self, ticket: QueueTicket, now: ClockTime) -> OfferOutcome {
        let shard = self.shard(&ticket.service);
        lock(&shard).offer(ticket, now)
    }

    /// Admits waiting requests that may run and removes those that cannot meet their deadline. To
    /// be called after [`Self::ended`] and [`Self::set_limit`], and a few times a second for
    /// deadlines.
    pub fn release(&self, service: &ServiceName, now: ClockTime) -> QueueRelease {
        lock(&self.shard(service)).release(now)
    }

    /// Records the end of a running request; ignores unknown requests.
    pub fn ended(&self, service: &ServiceName, request: RequestId, now: ClockTime) {
        lock(&self.shard(service)).ended(request, now);
    }

    /// Removes a waiting request, as when its caller has gone; false if it was not waiting.
    pub fn withdraw(&self, service: &ServiceName, request: RequestId, now: ClockTime) -> bool {
        lock(&self.shard(service)).withdraw(request, now)
    }

    /// Current size and limit of a service's queue.
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
