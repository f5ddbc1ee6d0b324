//! Ejection of failing upstreams, and their return after a successful probe.

use std::time::Duration;

use sagespool_types::ClockTime;

use crate::RoutingPolicy;

/// A probe without a result for this time no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether an upstream may receive requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// Not ejected.
    Available,
    /// Ejected, or waiting for the result of a probe.
    Ejected,
    /// The ejection time is over; one request may probe it.
    ProbeDue,
}

/// Consecutive failures and the ejection of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EjectionTracker {
    failures: u32,
    ejections: u32,
    until: Option<ClockTime>,
    probe_sent: Option<ClockTime>,
}

impl EjectionTracker {
    pub(crate) fn availability(&self, now: ClockTime) -> Availability {
        let Some(until) = self.until else { return Availability::Available };
        if now < until {
            return Availability::Ejected;
        }
        match self.probe_sent {
            Some(sent) if now.since(sent) < PROBE_TIMEOUT => Availability::Ejected,
            _ => Availability::ProbeDue,
        }
    }

    /// True if no probe is in flight, whether or not the ejection time is over.
    pub(crate) fn may_probe(&self, now: ClockTime) -> bool {
        self.probe_sent.is_none_or(|sent| now.since(sent) >= PROBE_TIMEOUT)
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    pub(crate) fn probe_sent(&mut self, now: ClockTime) {
        self.probe_sent = Some(now);
    }

    pub(crate) fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records an attempt that shows nothing about the upstream, so that another may probe it.
    pub(crate) fn inconclusive(&mut self) {
        self.probe_sent = None;
    }

    /// `jitter` in 0..1 spreads the ejection times of several entries.
    pub(crate) fn failed(&mut self, policy: &RoutingPolicy, jitter: f64, now: ClockTime) {
        self.failures = self.failures.saturating_add(1);
        let was_probe = self.probe_sent.take().is_some();
        let is_due = self.until.is_none() && self.failures >= policy.failures_to_eject;
        if is_due || was_probe {
            self.eject(policy, jitter, now);
        }
    }

    fn eject(&mut self, policy: &RoutingPolicy, jitter: f64, now: ClockTime) {
        let doubled = policy.first_ejection.saturating_mul(1 << self.ejections.min(16));
        let time = doubled.min(policy.max_ejection).mul_f64(0.75 + jitter / 2.0);
        self.ejections = self.ejections.saturating_add(1);
        self.until = Some(now.after(time));
    }
}
