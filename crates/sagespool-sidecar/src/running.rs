//! The running attempts.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use event_listener::Event;
use sagespool_messages::{DispatchRequest, RunningRequest};
use sagespool_types::{AttemptNumber, BranchName, ClassName, ClockTime, RequestId, TokenCount};

use crate::in_flight::{InFlightCounter, InFlightGuard};
use crate::shards::StateShards;

/// Why an attempt is stopped before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// The deadline passed.
    Deadline,
    /// The entry cancelled it.
    Cancelled,
    /// The requester disconnected, and without a key no caller can attach to the answer.
    RequesterGone,
    /// A later attempt at the same request arrived.
    Superseded,
    /// The sidecar is stopping.
    SidecarStops,
}

impl StopReason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::RequesterGone => "asker-gone",
            Self::Superseded => "superseded",
            Self::SidecarStops => "sidecar-stops",
        }
    }
}

/// One running attempt.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    branch: BranchName,
    class: ClassName,
    since: ClockTime,
    used: AtomicU64,
    stop: OnceLock<StopReason>,
    ended: AtomicBool,
    changed: Event,
}

impl RunningAttempt {
    fn new(dispatch: &DispatchRequest, now: ClockTime) -> Self {
        Self {
            request: dispatch.request,
            attempt: dispatch.attempt,
            branch: dispatch.branch.clone(),
            class: dispatch.class.clone(),
            since: now,
            used: AtomicU64::new(0),
            stop: OnceLock::new(),
            ended: AtomicBool::new(false),
            changed: Event::new(),
        }
    }

    pub(crate) fn record_used(&self, used: TokenCount) {
        self.used.store(used.0, Ordering::Relaxed);
    }

    /// Stops the attempt. Later reasons are ignored.
    pub(crate) fn stop(&self, reason: StopReason) {
        self.stop.get_or_init(|| reason);
        self.changed.notify(usize::MAX);
    }

    /// Resolves when the attempt must stop.
    pub(crate) async fn stopped(&self) -> StopReason {
        loop {
            let changed = self.changed.listen();
            if let Some(reason) = self.stop.get() {
                return *reason;
            }
            changed.await;
        }
    }

    /// Resolves when the attempt has ended and its upstream has released it.
    pub(crate) async fn released(&self) {
        loop {
            let changed = self.changed.listen();
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            changed.await;
        }
    }

    fn describe(&self, now: ClockTime) -> RunningRequest {
        RunningRequest {
            request: self.request,
            attempt: self.attempt,
            branch: self.branch.clone(),
            class: self.class.clone(),
            running_for: now.since(self.since),
            used: TokenCount(self.used.load(Ordering::Relaxed)),
        }
    }
}

/// The running attempts, by request.
#[derive(Debug, Default)]
pub(crate) struct RunningTable {
    attempts: StateShards<HashMap<RequestId, Vec<Arc<RunningAttempt>>>>,
    counter: InFlightCounter,
}

impl RunningTable {
    /// Registers an attempt until the returned registration is dropped.
    pub(crate) fn add(
        self: &Arc<Self>,
        dispatch: &DispatchRequest,
        now: ClockTime,
    ) -> RunningRegistration {
        let attempt = Arc::new(RunningAttempt::new(dispatch, now));
        let mut shard = self.attempts.lock_for(&dispatch.request);
        shard.entry(dispatch.request).or_default().push(Arc::clone(&attempt));
        let guard = self.counter.start();
        RunningRegistration { table: Arc::clone(self), attempt, _guard: guard }
    }

    /// The running attempts at a request with a lower number.
    pub(crate) fn earlier_attempts(
        &self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Vec<Arc<RunningAttempt>> {
        let shard = self.attempts.lock_for(&request);
        let attempts = shard.get(&request).into_iter().flatten();
        attempts.filter(|running| running.attempt < attempt).cloned().collect()
    }

    /// Whether an attempt is running.
    pub(crate) fn contains(&self, request: RequestId, attempt: AttemptNumber) -> bool {
        let shard = self.attempts.lock_for(&request);
        let mut attempts = shard.get(&request).into_iter().flatten();
        attempts.any(|running| running.attempt == attempt)
    }

    /// Stops an attempt if it is running.
    pub(crate) fn stop(&self, request: RequestId, attempt: AttemptNumber, reason: StopReason) {
        let shard = self.attempts.lock_for(&request);
        let attempts = shard.get(&request).into_iter().flatten();
        attempts.filter(|running| running.attempt == attempt).for_each(|running| {
            running.stop(reason);
        });
    }

    /// Stops every attempt. Returns their number.
    pub(crate) fn stop_all(&self, reason: StopReason) -> usize {
        let mut stopped = 0;
        for shard in self.attempts.lock_each() {
            for running in shard.values().flatten() {
                running.stop(reason);
                stopped += 1;
            }
        }
        stopped
    }

    /// Number of running attempts.
    pub(crate) fn count(&self) -> usize {
        self.counter.count()
    }

    /// Resolves when no attempt is running.
    pub(crate) async fn wait_until_idle(&self) {
        self.counter.wait_until_idle().await;
    }

    /// At most `limit` running attempts, and whether the list is complete.
    pub(crate) fn list(
        &self,
        branch: Option<&BranchName>,
        limit: usize,
        now: ClockTime,
    ) -> (Vec<RunningRequest>, bool) {
        let mut listed = Vec::new();
        for shard in self.attempts.lock_each() {
            let is_selected = |running: &&Arc<RunningAttempt>| {
                branch.is_none_or(|branch| *branch == running.branch)
            };
            for running in shard.values().flatten().filter(is_selected) {
                if listed.len() == limit {
                    return (listed, false);
                }
                listed.push(running.describe(now));
            }
        }
        (listed, true)
    }
}

/// Registration of an attempt; dropping it removes the attempt from the table.
#[derive(Debug)]
pub(crate) struct RunningRegistration {
    table: Arc<RunningTable>,
    pub(crate) attempt: Arc<RunningAttempt>,
    _guard: InFlightGuard,
}

impl Drop for RunningRegistration {
    fn drop(&mut self) {
        let request = self.attempt.request;
        let mut shard = self.table.attempts.lock_for(&request);
        if let Some(attempts) = shard.get_mut(&request) {
            attempts.retain(|attempt| !Arc::ptr_eq(attempt, &self.attempt));
            if attempts.is_empty() {
                shard.remove(&request);
            }
        }
        drop(shard);
        self.attempt.ended.store(true, Ordering::SeqCst);
        self.attempt.changed.notify(usize::MAX);
    }
}
