//! The attempts that run here now.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use event_listener::Event;
use sagespool_messages::{DispatchRequest, RunningRequest};
use sagespool_types::{AttemptNumber, BranchName, ClassName, ClockTime, RequestId, TokenCount};

use crate::shards::StateShards;
use crate::tally::{TallyMark, WorkTally};

/// Why an attempt is stopped before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// Its deadline passed.
    Deadline,
    /// Its entry cancelled it.
    Cancelled,
    /// Its asker is gone, and without a key nobody can come back for the answer.
    AskerGone,
    /// A later attempt at the same request has come.
    Superseded,
    /// The sidecar stops.
    SidecarStops,
}

impl StopReason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::AskerGone => "asker-gone",
            Self::Superseded => "superseded",
            Self::SidecarStops => "sidecar-stops",
        }
    }
}

/// One attempt that runs.
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

    pub(crate) fn note_used(&self, used: TokenCount) {
        self.used.store(used.0, Ordering::Relaxed);
    }

    /// Stops the attempt; the first reason counts.
    pub(crate) fn stop(&self, reason: StopReason) {
        self.stop.get_or_init(|| reason);
        self.changed.notify(usize::MAX);
    }

    /// Resolves when the attempt is to stop.
    pub(crate) async fn stopped(&self) -> StopReason {
        loop {
            let changed = self.changed.listen();
            if let Some(reason) = self.stop.get() {
                return *reason;
            }
            changed.await;
        }
    }

    /// Resolves when the attempt is over and its upstream is free of it.
    pub(crate) async fn over(&self) {
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

/// Every attempt that runs here.
#[derive(Debug, Default)]
pub(crate) struct RunningTable {
    attempts: StateShards<HashMap<RequestId, Vec<Arc<RunningAttempt>>>>,
    tally: WorkTally,
}

impl RunningTable {
    /// Lists an attempt for as long as the place that is returned lives.
    pub(crate) fn add(
        self: &Arc<Self>,
        dispatch: &DispatchRequest,
        now: ClockTime,
    ) -> RunningPlace {
        let attempt = Arc::new(RunningAttempt::new(dispatch, now));
        let mut shard = self.attempts.of(&dispatch.request);
        shard.entry(dispatch.request).or_default().push(Arc::clone(&attempt));
        let mark = self.tally.enter();
        RunningPlace { table: Arc::clone(self), attempt, _mark: mark }
    }

    /// The attempts at a request that are lower than one.
    pub(crate) fn earlier(
        &self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Vec<Arc<RunningAttempt>> {
        let shard = self.attempts.of(&request);
        let attempts = shard.get(&request).into_iter().flatten();
        attempts.filter(|running| running.attempt < attempt).cloned().collect()
    }

    /// True if an attempt runs here.
    pub(crate) fn runs(&self, request: RequestId, attempt: AttemptNumber) -> bool {
        let shard = self.attempts.of(&request);
        let mut attempts = shard.get(&request).into_iter().flatten();
        attempts.any(|running| running.attempt == attempt)
    }

    /// Stops an attempt, if it runs here.
    pub(crate) fn stop(&self, request: RequestId, attempt: AttemptNumber, reason: StopReason) {
        let shard = self.attempts.of(&request);
        let attempts = shard.get(&request).into_iter().flatten();
        attempts.filter(|running| running.attempt == attempt).for_each(|running| {
            running.stop(reason);
        });
    }

    /// Stops every attempt. How many there were.
    pub(crate) fn stop_all(&self, reason: StopReason) -> usize {
        let mut stopped = 0;
        for shard in self.attempts.each() {
            for running in shard.values().flatten() {
                running.stop(reason);
                stopped += 1;
            }
        }
        stopped
    }

    /// How many run.
    pub(crate) fn count(&self) -> usize {
        self.tally.count()
    }

    /// Resolves when none runs.
    pub(crate) async fn empty(&self) {
        self.tally.empty().await;
    }

    /// At most so many of those that run, and whether that is all.
    pub(crate) fn list(
        &self,
        branch: Option<&BranchName>,
        most: usize,
        now: ClockTime,
    ) -> (Vec<RunningRequest>, bool) {
        let mut listed = Vec::new();
        for shard in self.attempts.each() {
            let wanted = |running: &&Arc<RunningAttempt>| {
                branch.is_none_or(|branch| *branch == running.branch)
            };
            for running in shard.values().flatten().filter(wanted) {
                if listed.len() == most {
                    return (listed, false);
                }
                listed.push(running.describe(now));
            }
        }
        (listed, true)
    }
}

/// An attempt's place in the table; dropping it takes the attempt out.
#[derive(Debug)]
pub(crate) struct RunningPlace {
    table: Arc<RunningTable>,
    pub(crate) attempt: Arc<RunningAttempt>,
    _mark: TallyMark,
}

impl Drop for RunningPlace {
    fn drop(&mut self) {
        let request = self.attempt.request;
        let mut shard = self.table.attempts.of(&request);
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
