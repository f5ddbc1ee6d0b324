//! Continuous batching: the running and waiting requests and the progress of each.
//!
//! The time is passed to every decision; the caller holds the lock.

use std::collections::BTreeMap;
use std::sync::Arc;

use sagespool_messages::UpstreamKind;
use sagespool_types::{AttemptNumber, ClockTime, TokenCount};
use twox_hash::XxHash3_64;

use super::EngineOptions;
use super::cache::{CacheFeed, PrefixCache, PrefixCounters};
use super::faults::EngineFaults;
use super::load::EngineLoad;
use super::run::{ActiveRun, ArrivedRequest, RunNumber, WaitingRun};
use super::stream::{RunStream, StreamEnd};
use crate::lagged_state::LaggedState;
use crate::run_log::{RunEnd, RunMarker, RunStart};

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmitRefusal {
    UnknownModel,
    QueueFull,
}

/// The state of an engine between a start and a crash; a crash loses all of it.
pub(crate) struct EngineBatch {
    options: Arc<EngineOptions>,
    /// Models and adapters that are served.
    pub(crate) models: Vec<String>,
    /// Models that are being loaded.
    pub(crate) loading: Vec<String>,
    pub(crate) role: String,
    pub(crate) feed: CacheFeed,
    cache: PrefixCache,
    random: fastrand::Rng,
    load: LaggedState<EngineLoad>,
    waiting: BTreeMap<(u8, RunNumber), WaitingRun>,
    running: BTreeMap<RunNumber, ActiveRun>,
    next_number: u64,
    advanced_at: ClockTime,
    poisoned: bool,
}

impl EngineBatch {
    pub(crate) fn new(
        options: Arc<EngineOptions>,
        prefix_counters: Arc<PrefixCounters>,
        now: ClockTime,
    ) -> Self {
        let models: Vec<String> = options.models.iter().map(|model| model.to_string()).collect();
        let idle = EngineLoad::idle(&options, models.clone(), options.role.clone());
        Self {
            models,
            loading: Vec::new(),
            role: options.role.clone(),
            feed: CacheFeed::new(options.cache_lag, options.cache_gap_share, options.seed),
            cache: PrefixCache::new(options.cached_prefixes, prefix_counters),
            random: seeded_rng(&options, now),
            load: LaggedState::new(options.load_lag, idle),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            next_number: 0,
            advanced_at: now,
            poisoned: false,
            options,
        }
    }

    /// True if any request runs, so that the passing of time matters.
    pub(crate) fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// True once a poisonous prompt has run to its crash; the engine must then end.
    pub(crate) fn is_poisoned(&self) -> bool {
        self.poisoned
    }

    /// The load with its sequence number, as it was one lag ago.
    pub(crate) fn reported_load(&mut self, now: ClockTime) -> (u64, EngineLoad) {
        self.load.visible(now)
    }

    /// Queues a request; it starts at once if a slot is free.
    pub(crate) fn submit(
        &mut self,
        arrived: ArrivedRequest,
        faults: EngineFaults,
        now: ClockTime,
    ) -> Result<(RunNumber, Arc<RunStream>), SubmitRefusal> {
        self.advance(faults, now);
        if !self.models.contains(&arrived.completion.model) {
            return Err(SubmitRefusal::UnknownModel);
        }
        let free = self.running.len() < self.options.capacity;
        if !free && self.waiting.len() >= self.options.queue_limit {
            return Err(SubmitRefusal::QueueFull);
        }
        let number = RunNumber(self.next_number);
        self.next_number += 1;
        let stream = Arc::new(RunStream::default());
        let queue_key = (arrived.completion.priority, number);
        self.waiting.insert(queue_key, WaitingRun { arrived, stream: stream.clone() });
        self.fill_slots(faults, now);
        self.record_load(faults, now);
        Ok((number, stream))
    }

    /// Performs the work of the time since the last call.
    pub(crate) fn advance(&mut self, faults: EngineFaults, now: ClockTime) {
        let passed = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = self.advanced_at.max(now);
        if faults.frozen || self.poisoned {
            return;
        }
        let work = passed / faults.slow_factor;
        let rate = self.options.token_rate.0 as f64;
        let mut prefilled = Vec::new();
        for run in self.running.values_mut() {
            if run.advance(work, rate, now) {
                prefilled.push(run.arrived.completion.prefix);
            }
            self.poisoned |= run.crashes_engine();
        }
        for prefix in prefilled {
            self.cache_prefix(prefix, now);
        }
        self.end_broken(now);
        self.end_finished(now);
        self.fill_slots(faults, now);
        self.record_load(faults, now);
    }

    /// Cancels the runs of a request; returns whether there were any.
    pub(crate) fn cancel(
        &mut self,
        request: &str,
        attempt: Option<AttemptNumber>,
        faults: EngineFaults,
        now: ClockTime,
    ) -> bool {
        self.advance(faults, now);
        let is_match = |arrived: &ArrivedRequest| arrived.matches(request, attempt);
        let running = self.running.iter().filter(|(_, run)| is_match(&run.arrived));
        let waiting = self.waiting.iter().filter(|(_, run)| is_match(&run.arrived));
        let mut numbers: Vec<_> = running.map(|(number, _)| *number).collect();
        numbers.extend(waiting.map(|((_, number), _)| *number));
        for &number in &numbers {
            self.remove_run(number, RunEnd::Cancelled, now);
        }
        self.fill_slots(faults, now);
        self.record_load(faults, now);
        !numbers.is_empty()
    }

    /// Stops a run whose caller has disconnected; does nothing if it has ended.
    pub(crate) fn drop_run(&mut self, number: RunNumber, faults: EngineFaults, now: ClockTime) {
        self.advance(faults, now);
        self.remove_run(number, RunEnd::Dropped, now);
        self.fill_slots(faults, now);
        self.record_load(faults, now);
    }

    /// Records the runs as crashed. Tokens that were not generated by the last tick are lost.
    pub(crate) fn record_crash(&self, now: ClockTime) {
        for run in self.running.values() {
            run.recorder.end(RunEnd::Crashed, now);
        }
    }

    /// Breaks every stream without a final event.
    pub(crate) fn break_streams(&mut self) {
        for run in std::mem::take(&mut self.waiting).into_values() {
            run.stream.end(StreamEnd::Broken);
        }
        for run in std::mem::take(&mut self.running).into_values() {
            run.stream.end(StreamEnd::Broken);
        }
    }

    fn remove_run(&mut self, number: RunNumber, end: RunEnd, now: ClockTime) {
        let closed = StreamEnd::Closed("cancelled");
        if let Some(run) = self.running.remove(&number) {
            run.recorder.end(end, now);
            run.stream.end(closed);
        }
        let queue_key = self.waiting.keys().find(|(_, waiting)| *waiting == number).copied();
        if let Some(run) = queue_key.and_then(|key| self.waiting.remove(&key)) {
            run.stream.end(closed);
        }
    }

    fn end_broken(&mut self, now: ClockTime) {
        let broken = self.running.extract_if(.., |_, run| run.is_broken());
        for (_, run) in broken {
            run.recorder.end(RunEnd::Broken, now);
            run.stream.end(StreamEnd::Broken);
        }
    }

    fn end_finished(&mut self, now: ClockTime) {
        let finished = self.running.extract_if(.., |_, run| run.is_finished());
        for (_, run) in finished {
            run.recorder.end(RunEnd::Finished, now);
            run.stream.end(StreamEnd::Closed(run.arrived.completion.finish_reason));
        }
    }

    fn fill_slots(&mut self, faults: EngineFaults, now: ClockTime) {
        while self.running.len() < self.options.capacity && !self.poisoned {
            let Some(((_, number), run)) = self.waiting.pop_first() else {
                return;
            };
            let run = self.start_run(run, faults, now);
            self.poisoned |= run.crashes_engine();
            self.running.insert(number, run);
        }
    }

    fn start_run(&mut self, run: WaitingRun, faults: EngineFaults, now: ClockTime) -> ActiveRun {
        let WaitingRun { arrived, stream } = run;
        let completion = &arrived.completion;
        let start = RunStart {
            upstream: self.options.name.clone(),
            kind: UpstreamKind::Engine,
            request: arrived.request.clone(),
            attempt: arrived.attempt,
            marker: RunMarker::find(&completion.prompt),
            key: arrived.key.clone(),
            prompt_tokens: TokenCount(completion.prompt_tokens),
            resumed_from: TokenCount(completion.resumed_from.into()),
            arrived_at: arrived.at,
        };
        let recorder = self.options.run_log.start(start, now);
        let cached = self.cache.lookup(completion.prefix);
        let fresh_tokens = if cached { 0 } else { completion.prompt_tokens };
        let prefill = self.options.prompt_token_time.as_secs_f64() * fresh_tokens as f64;
        let base = self.options.first_token_base.as_secs_f64();
        // Above 0 even if all configured times are 0: every run begins with a prefill.
        let prefill_left = (base + prefill).max(f64::MIN_POSITIVE);
        let next = completion.resumed_from;
        let breaks = next < completion.length && self.random.f64() < faults.break_share;
        let breaks_at = breaks.then(|| self.random.u32(next..completion.length));
        ActiveRun { stream, recorder, prefill_left, credit: 0.0, next, breaks_at, arrived }
    }

    fn cache_prefix(&mut self, prefix: u128, now: ClockTime) {
        for (change, prefix) in self.cache.store(prefix) {
            self.feed.push(change, prefix, now);
        }
    }

    /// Records the current load, which is reported after the lag.
    pub(crate) fn record_load(&mut self, faults: EngineFaults, now: ClockTime) {
        let load = self.current_load(faults);
        self.load.record(load, now);
    }

    /// The current load, without the lag.
    pub(crate) fn current_load(&self, faults: EngineFaults) -> EngineLoad {
        let generating = self.running.values().filter(|run| run.prefill_left <= 0.0).count();
        let rate = self.options.token_rate.0 as f64 / faults.slow_factor;
        EngineLoad {
            running: self.running.len(),
            waiting: self.waiting.len(),
            capacity: self.options.capacity,
            tokens_per_second: (generating as f64 * rate) as u64,
            models: self.models.clone(),
            role: self.role.clone(),
        }
    }
}

/// Seeds with the name and the start time as well: engines of one fleet share a seed, and a
/// restarted engine must not break the same runs again.
fn seeded_rng(options: &EngineOptions, now: ClockTime) -> fastrand::Rng {
    let name = XxHash3_64::oneshot_with_seed(options.seed, options.name.as_str().as_bytes());
    fastrand::Rng::with_seed(name.wrapping_add(now.0))
}
