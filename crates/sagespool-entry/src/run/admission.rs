//! Admission: request limits, then a slot of the service in fair-queuing order.

use std::sync::Arc;
use std::time::Duration;

use sagespool_messages::RefusalNotice;
use sagespool_routing::{LimitRule, LimitScope, OfferOutcome, QueueRelease, QueueTicket};
use sagespool_settings::LimitEntry;
use sagespool_types::{ClockTime, RefusalReason, RequestId, RunState, ServiceName};

use super::RequestOrder;
use crate::state::EntryState;

/// The queue's decision on a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueWord {
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

fn rule(scope: LimitScope, entry: LimitEntry) -> Option<LimitRule> {
    if entry.is_unlimited() {
        return None;
    }
    let LimitEntry { running, requests_per_second } = entry;
    Some(LimitRule { scope, running, requests_per_second })
}

fn rules(state: &EntryState, order: &RequestOrder) -> (Vec<LimitRule>, u32) {
    let Some(config) = state.config.current() else {
        return (Vec::new(), 1);
    };
    let branch = config.branch(&order.branch);
    let class = config.class(&order.class);
    let of_branch =
        branch.and_then(|entry| rule(LimitScope::Branch(order.branch.clone()), entry.limits));
    let of_class =
        class.and_then(|entry| rule(LimitScope::Class(order.class.clone()), entry.limits));
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
    order: &RequestOrder,
) -> Result<AdmissionSlot, RefusalNotice> {
    let now = ClockTime::now();
    let (rules, weight) = rules(state, order);
    if let Err(limit) = state.limits.admit(&rules, now) {
        return Err(refusal(limit.reason(), limit.to_string(), Some(limit.retry_after)));
    }
    let ticket = QueueTicket::builder()
        .request(order.request)
        .service(order.service.clone())
        .branch(order.branch.clone())
        .weight(weight)
        .priority(order.priority)
        .deadline(order.deadline)
        .build();
    let (sender, word) = async_channel::bounded(1);
    // Registered before the offer, so that a release in between finds the waiter.
    state.waiters().insert(order.request, sender);
    let outcome = state.queue.offer(ticket, now);
    let outcome = match outcome {
        OfferOutcome::Admitted => Ok(()),
        OfferOutcome::Queued { .. } => wait_in_queue(state, order, word).await,
        OfferOutcome::Refused { reason, retry_after } => {
            Err(refusal(reason, format!("{} is overloaded", order.service), retry_after))
        }
    };
    state.waiters().remove(&order.request);
    if let Err(notice) = outcome {
        state.limits.ended(&rules);
        return Err(notice);
    }
    state.retries.count_request(&order.service, now);
    let waited = ClockTime::now().since(now);
    state.metrics.observe_queue_wait(&order.class, &order.branch, waited);
    let (service, request) = (order.service.clone(), order.request);
    Ok(AdmissionSlot { state: Arc::clone(state), service, request, rules })
}

async fn wait_in_queue(
    state: &EntryState,
    order: &RequestOrder,
    word: async_channel::Receiver<QueueWord>,
) -> Result<(), RefusalNotice> {
    let left = order.time_left(ClockTime::now());
    let word = futures_lite::future::or(async { word.recv().await.ok() }, async {
        smol::Timer::after(left).await;
        None
    })
    .await;
    if word == Some(QueueWord::Admitted) {
        return Ok(());
    }
    if !state.queue.withdraw(&order.service, order.request, ClockTime::now()) && word.is_none() {
        // Admitted at the same time: the slot goes to the next request.
        state.queue.ended(&order.service, order.request, ClockTime::now());
    }
    let message = format!("{} can't run the request before its deadline", order.service);
    Err(refusal(RefusalReason::DeadlineExceeded, message, Some(Duration::from_secs(1))))
}

/// Admits waiting requests of a service while slots are free.
pub(crate) fn release(state: &EntryState, service: &ServiceName) {
    let QueueRelease { admitted, expired } = state.queue.release(service, ClockTime::now());
    let waiters = state.waiters();
    for (request, word) in admitted
        .iter()
        .map(|request| (request, QueueWord::Admitted))
        .chain(expired.iter().map(|request| (request, QueueWord::Expired)))
    {
        if let Some(waiter) = waiters.get(request) {
            // A request that has just timed out withdraws by itself.
            let _ = waiter.try_send(word);
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
