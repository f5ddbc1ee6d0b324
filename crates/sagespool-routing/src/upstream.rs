//! State that an entry keeps for one upstream.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::{MemberInfo, ServedUpstream};
use sagespool_types::{CentreName, ClockTime, IncarnationId, ModelName, UpstreamName};

use crate::RoutingPolicy;
use crate::average::ExponentialAverage;
use crate::ejection::EjectionTracker;
use crate::lag::LagEstimator;
use crate::load::{LoadContext, LoadTracker};
use crate::speed::UpstreamSpeed;
use crate::traffic_share::TrafficShare;

/// Window, in attempts, of the failure rate.
const FAILURE_SAMPLES: f64 = 8.0;

/// Slowness, relative to the service, above which an upstream counts as slow.
const SLOW_RATIO: f64 = 1.5;

/// The pause between probes doubles with each unanswered request, up to this many.
const MAX_UNANSWERED: usize = 6;

/// One upstream and the sidecar that serves it.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) id: IncarnationId,
    pub(crate) name: UpstreamName,
    pub(crate) address: SocketAddr,
    pub(crate) models: Vec<ModelName>,
    pub(crate) capacity: u32,
    pub(crate) is_same_centre: bool,
    /// True if it is healthy and not leaving.
    pub(crate) accepts_requests: bool,
    /// Its sidecar reported that it is leaving; permanent for the incarnation.
    pub(crate) has_left: bool,
    pub(crate) load: LoadTracker,
    pub(crate) speed: UpstreamSpeed,
    pub(crate) ejection: EjectionTracker,
    /// Failure rate of attempts.
    pub(crate) failures: ExponentialAverage,
    /// Start of the last own attempt.
    last_start: ClockTime,
    /// Start of the newest attempt that has had a first token.
    last_answered: Option<ClockTime>,
    /// Own attempts without a first token, oldest first.
    pending: VecDeque<(u64, ClockTime)>,
    /// The highest cache event number seen.
    pub(crate) cache_number: u64,
}

impl UpstreamState {
    pub(crate) fn new(member: &MemberInfo, served: &ServedUpstream) -> Self {
        Self {
            id: member.incarnation,
            name: served.upstream.clone(),
            address: member.address,
            models: Vec::new(),
            capacity: 1,
            is_same_centre: false,
            accepts_requests: false,
            has_left: false,
            load: LoadTracker::default(),
            speed: UpstreamSpeed::default(),
            ejection: EjectionTracker::default(),
            failures: ExponentialAverage::new(FAILURE_SAMPLES),
            last_start: ClockTime::default(),
            last_answered: None,
            pending: VecDeque::new(),
            cache_number: 0,
        }
    }

    /// Applies a member's description; true if the set of requests that may be sent here changed.
    pub(crate) fn observe(
        &mut self,
        member: &MemberInfo,
        served: &ServedUpstream,
        own_centre: &CentreName,
    ) -> bool {
        let accepts_requests = served.healthy && !member.leaving && !self.has_left;
        let is_same_centre = member.centre == *own_centre;
        let is_same = accepts_requests == self.accepts_requests
            && is_same_centre == self.is_same_centre
            && self.models == served.models;
        self.address = member.address;
        self.capacity = served.capacity.max(1);
        self.accepts_requests = accepts_requests;
        self.is_same_centre = is_same_centre;
        if !is_same {
            self.models = served.models.clone();
        }
        !is_same
    }

    pub(crate) fn observe_load(
        &mut self,
        served: &ServedUpstream,
        lag: &mut LagEstimator,
        share: &mut TrafficShare,
        context: &LoadContext,
        now: ClockTime,
    ) {
        self.load.observe(&served.load, lag, share, context, now);
    }

    pub(crate) fn serves(&self, model: Option<&ModelName>) -> bool {
        model.is_none_or(|model| self.models.contains(model))
    }

    pub(crate) fn started(&mut self, attempt: u64, now: ClockTime) {
        self.load.started(now);
        self.last_start = now;
        self.pending.push_back((attempt, now));
    }

    /// How long own attempts have waited for a first token while no newer attempt has had one.
    /// A single long prompt does not count as a sign that the upstream hangs.
    pub(crate) fn stalled_for(&self, now: ClockTime) -> Duration {
        let answered = |(_, since): &(u64, ClockTime)| Some(*since) <= self.last_answered;
        let oldest = self.pending.get(self.pending.partition_point(answered));
        oldest.map_or(Duration::ZERO, |(_, since)| now.since(*since))
    }

    /// True while it is so much slower than its peers that it receives almost no requests.
    pub(crate) fn is_slow(&self, policy: &RoutingPolicy, now: ClockTime) -> bool {
        self.speed.slowness(policy, now) > SLOW_RATIO
    }

    /// True if the pause since the last attempt is over; it grows with the unanswered attempts.
    pub(crate) fn is_probe_due(&self, policy: &RoutingPolicy, now: ClockTime) -> bool {
        let unanswered = self.pending.len().min(MAX_UNANSWERED) as u32;
        let pause = policy.half_life.saturating_mul(1 << unanswered.saturating_sub(1));
        now.since(self.last_start) >= pause
    }

    /// Records the first token of an attempt; false if the attempt was not pending.
    pub(crate) fn record_first_token(&mut self, attempt: u64, started: ClockTime) -> bool {
        if !self.clear_pending(attempt) {
            return false;
        }
        self.last_answered = self.last_answered.max(Some(started));
        true
    }

    /// Removes an attempt from those without a first token; true if it was among them.
    pub(crate) fn clear_pending(&mut self, attempt: u64) -> bool {
        let index = self.pending.iter().position(|(pending, _)| *pending == attempt);
        index.is_some_and(|index| self.pending.remove(index).is_some())
    }
}
