//! Admission: request limits, then a slot of the service in fair-queuing order.

use std::sync::Arc;
use std::time::Duration;

use sagespool_messages::RefusalNotice;
use sagespool_routing::{LimitRule, LimitScope, OfferOutcome, QueueRelease, QueueTicket};
use sagespool_settings::LimitConfig;
use sagespool_types::{ClockTime, RefusalReason, RequestId, RunState, ServiceName};

use super::RequestSpec;
use crate::state::EntryState;

/// The queue's decision on a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueDecision {
    /// It may run now.
    Admitted,
    /// It can't meet its deadline any more.
    Expired,
}

/// A running request's slot. Dropping it admits the next request.
pub(super) struct AdmissionSlot {
    state: Arc<EntryState>,
    service: ServiceName,
    request: RequestId,
    rules: Vec<LimitRule>,
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        self.state.limits.ended(&self.rules);
        self.state.queue.ended(&self.service, self.request, ClockTime::now());
        release(&self.state, &self.service);
    }
}

fn rule(scope: LimitScope, entry: LimitConfig) -> Option<LimitRule> {
    if entry.is_unlimited() {
        return None;
    }
    let LimitConfig { running, requests_per_second } = entry;
    Some(LimitRule { scope, running, requests_per_second })
}

fn rules(state: &EntryState, spec: &RequestSpec) -> (Vec<LimitRule>, u32) {
    let Some(config) = state.config.current() else {
        return (Vec::new(), 1);
    };
    let branch = config.branch(&spec.branch);
    let class = config.class(&spec.class);
    let of_branch =
        branch.and_then(|entry| rule(LimitScope::Branch(spec.branch.clone()), entry.limits));
    let of_class =
        class.and_then(|entry| rule(LimitScope::Class(spec.class.clone()), entry.limits));
    let weight = branch.map_or(1, |entry| entry.weight);
    (of_branch.into_iter().chain(of_class).collect(), weight)
}

fn refusal(reason: RefusalReason, message: String, retry_after: Option<Duration>) -> RefusalNotice {
    RefusalNotice { reason, run_state: RunState::NotRun, message, retry_after }
}

/// Waits for a slot for a request.
///
/// # Errors
/// A limit that is reached, a queue that is full, or a deadline that can't be met.
pub(super) async fn admit(
    state: &Arc<EntryState>,
    spec: &RequestSpec,
) -> Result<AdmissionSlot, RefusalNotice> {
    let now = ClockTime::now();
    let (rules, weight) = rules(state, spec);
    if let Err(limit) = state.limits.admit(&rules, now) {
        return Err(refusal(limit.reason(), limit.to_string(), Some(limit.retry_after)));
    }
    let ticket = QueueTicket::builder()
        .request(spec.request)
        .service(spec.service.clone())
        .branch(spec.branch.clone())
        .weight(weight)
        .priority(spec.priority)
        .deadline(spec.deadline)
        .build();
    let (sender, decision) = async_channel::bounded(1);
    // Registered before the offer, so that a release in between finds the waiter.
    state.waiters().insert(spec.request, sender);
    let outcome = state.queue.offer(ticket, now);
    let outcome = match outcome {
        OfferOutcome::Admitted => Ok(()),
        OfferOutcome::Queued { .. } => wait_in_queue(state, spec, decision).await,
        OfferOutcome::Refused { reason, retry_after } => {
            Err(refusal(reason, format!("{} is overloaded", spec.service), retry_after))
        }
    };
    state.waiters().remove(&spec.request);
    if let Err(notice) = outcome {
        state.limits.ended(&rules);
        return Err(notice);
    }
    state.retries.count_request(&spec.service, now);
    let waited = ClockTime::now().since(now);
    state.metrics.observe_queue_wait(&spec.class, &spec.branch, waited);
    let (service, request) = (spec.service.clone(), spec.request);
    Ok(AdmissionSlot { state: Arc::clone(state), service, request, rules })
}

async fn wait_in_queue(
    state: &EntryState,
    spec: &RequestSpec,
    decision: async_channel::Receiver<QueueDecision>,
) -> Result<(), RefusalNotice> {
    let left = spec.time_left(ClockTime::now());
    let decision = futures_lite::future::or(async { decision.recv().await.ok() }, async {
        smol::Timer::after(left).await;
        None
    })
    .await;
    if decision == Some(QueueDecision::Admitted) {
        return Ok(());
    }
    if !state.queue.withdraw(&spec.service, spec.request, ClockTime::now()) && decision.is_none() {
        // Admitted at the same time: the slot goes to the next request.
        state.queue.ended(&spec.service, spec.request, ClockTime::now());
    }
    let message = format!("{} can't run the request before its deadline", spec.service);
    Err(refusal(RefusalReason::DeadlineExceeded, message, Some(Duration::from_secs(1))))
}

/// Admits waiting requests of a service while slots are free.
pub(crate) fn release(state: &EntryState, service: &ServiceName) {
    let QueueRelease { admitted, expired } = state.queue.release(service, ClockTime::now());
    let waiters = state.waiters();
    for (request, decision) in admitted
        .iter()
        .map(|request| (request, QueueDecision::Admitted))
        .chain(expired.iter().map(|request| (request, QueueDecision::Expired)))
    {
        if let Some(waiter) = waiters.get(request) {
            // A request that has just timed out withdraws by itself.
            let _ = waiter.try_send(decision);
        }
    }
}

/// Sets the queues' limits from the upstreams' concurrency.
pub(crate) fn refresh_limits(state: &EntryState) {
    let Some(config) = state.config.current() else {
        return;
    };
    for service in config.services() {
        if let Some(concurrency) = state.upstreams.concurrency(&service.name, ClockTime::now()) {
            state.queue.set_limit(&service.name, concurrency.limit);
        }
        release(state, &service.name);
    }
}
