//! Continuous batching: which requests run, which wait, and how far each is.
//!
//! All decisions take the time as an argument; who calls holds the lock.

use std::collections::BTreeMap;
use std::sync::Arc;

use sagespool_messages::UpstreamKind;
use sagespool_types::{AttemptNumber, ClockTime, TokenCount};
use twox_hash::XxHash3_64;

use super::EngineOptions;
use super::cache::{CacheFeed, PrefixCache, PrefixUses};
use super::load::EngineLoad;
use super::pace::EnginePace;
use super::run::{ActiveRun, ArrivedRequest, RunNumber, WaitingRun};
use super::stream::{RunStream, StreamEnd};
use crate::lagged::LaggedState;
use crate::witness::{RunEnd, RunMarker, RunStart};

/// Why a request isn't taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmitRefusal {
    UnknownModel,
    QueueFull,
}

/// One start of an engine: everything that a crash loses.
pub(crate) struct EngineBatch {
    options: Arc<EngineOptions>,
    /// Models and adapters that it serves.
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
        prefix_uses: Arc<PrefixUses>,
        now: ClockTime,
    ) -> Self {
        let models: Vec<String> = options.models.iter().map(|model| model.to_string()).collect();
        let idle = EngineLoad::idle(&options, models.clone(), options.role.clone());
        Self {
            models,
            loading: Vec::new(),
            role: options.role.clone(),
            feed: CacheFeed::new(options.cache_lag, options.cache_gap_share, options.seed),
            cache: PrefixCache::new(options.cached_prefixes, prefix_uses),
            random: own_choices(&options, now),
            load: LaggedState::new(options.load_lag, idle),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            next_number: 0,
            advanced_at: now,
            poisoned: false,
            options,
        }
    }

    /// Whether anything runs, so that time makes a difference.
    pub(crate) fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// Whether a poisonous prompt has started, so that the engine must crash.
    pub(crate) fn is_poisoned(&self) -> bool {
        self.poisoned
    }

    /// The load as it was a lag ago, and its number.
    pub(crate) fn load_seen(&mut self, now: ClockTime) -> (u64, EngineLoad) {
        self.load.seen(now)
    }

    /// Takes a request in; it runs at once if a slot is free.
    pub(crate) fn submit(
        &mut self,
        arrived: ArrivedRequest,
        pace: EnginePace,
        now: ClockTime,
    ) -> Result<(RunNumber, Arc<RunStream>), SubmitRefusal> {
        self.advance(pace, now);
        if !self.models.contains(&arrived.order.model) {
            return Err(SubmitRefusal::UnknownModel);
        }
        let free = self.running.len() < self.options.capacity;
        if !free && self.waiting.len() >= self.options.queue_limit {
            return Err(SubmitRefusal::QueueFull);
        }
        let number = RunNumber(self.next_number);
        self.next_number += 1;
        let stream = Arc::new(RunStream::default());
        let place = (arrived.order.priority, number);
        self.waiting.insert(place, WaitingRun { arrived, stream: stream.clone() });
        self.fill_slots(pace, now);
        self.note_load(pace, now);
        Ok((number, stream))
    }

    /// Does the work of the time since the last call.
    pub(crate) fn advance(&mut self, pace: EnginePace, now: ClockTime) {
        let passed = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = self.advanced_at.max(now);
        if pace.frozen || self.poisoned {
            return;
        }
        let work = passed / pace.slow_factor;
        let rate = self.options.token_rate.0 as f64;
        let mut prefilled = Vec::new();
        for run in self.running.values_mut() {
            if run.advance(work, rate, now) {
                prefilled.push(run.arrived.order.prefix);
            }
        }
        for prefix in prefilled {
            self.cache_prefix(prefix, now);
        }
        self.break_due(now);
        self.end_finished(now);
        self.fill_slots(pace, now);
        self.note_load(pace, now);
    }

    /// Cancels the runs of a request; whether there was one.
    pub(crate) fn cancel(
        &mut self,
        request: &str,
        attempt: Option<AttemptNumber>,
        pace: EnginePace,
        now: ClockTime,
    ) -> bool {
        self.advance(pace, now);
        let is_meant = |arrived: &ArrivedRequest| arrived.is(request, attempt);
        let running = self.running.iter().filter(|(_, run)| is_meant(&run.arrived));
        let waiting = self.waiting.iter().filter(|(_, run)| is_meant(&run.arrived));
        let mut numbers: Vec<_> = running.map(|(number, _)| *number).collect();
        numbers.extend(waiting.map(|((_, number), _)| *number));
        for &number in &numbers {
            self.take_out(number, RunEnd::Cancelled, now);
        }
        self.fill_slots(pace, now);
        self.note_load(pace, now);
        !numbers.is_empty()
    }

    /// Stops a run whose caller went away; does nothing if it has ended.
    pub(crate) fn give_up(&mut self, number: RunNumber, pace: EnginePace, now: ClockTime) {
        self.advance(pace, now);
        self.take_out(number, RunEnd::Dropped, now);
        self.fill_slots(pace, now);
        self.note_load(pace, now);
    }

    /// Notes that a crash ended the runs. What wasn't made by the last tick is never made.
    pub(crate) fn note_crash(&self, now: ClockTime) {
        for run in self.running.values() {
            run.tally.end(RunEnd::Crashed, now);
        }
    }

    /// Ends every stream in its middle.
    pub(crate) fn break_streams(&mut self) {
        for run in std::mem::take(&mut self.waiting).into_values() {
            run.stream.end(StreamEnd::Broken);
        }
        for run in std::mem::take(&mut self.running).into_values() {
            run.stream.end(StreamEnd::Broken);
        }
    }

    fn take_out(&mut self, number: RunNumber, end: RunEnd, now: ClockTime) {
        let closed = StreamEnd::Closed("cancelled");
        if let Some(run) = self.running.remove(&number) {
            run.tally.end(end, now);
            run.stream.end(closed);
        }
        let place = self.waiting.keys().find(|(_, waiting)| *waiting == number).copied();
        if let Some(run) = place.and_then(|place| self.waiting.remove(&place)) {
            run.stream.end(closed);
        }
    }

    fn break_due(&mut self, now: ClockTime) {
        let broken = self.running.extract_if(.., |_, run| run.is_broken());
        for (_, run) in broken {
            run.tally.end(RunEnd::Broken, now);
            run.stream.end(StreamEnd::Broken);
        }
    }

    fn end_finished(&mut self, now: ClockTime) {
        let finished = self.running.extract_if(.., |_, run| run.is_finished());
        for (_, run) in finished {
            run.tally.end(RunEnd::Finished, now);
            run.stream.end(StreamEnd::Closed(run.arrived.order.finish_reason));
        }
    }

    fn fill_slots(&mut self, pace: EnginePace, now: ClockTime) {
        while self.running.len() < self.options.capacity && !self.poisoned {
            let Some(((_, number), run)) = self.waiting.pop_first() else {
                return;
            };
            let run = self.start(run, pace, now);
            self.poisoned |= run.arrived.order.poisonous;
            self.running.insert(number, run);
        }
    }

    fn start(&mut self, run: WaitingRun, pace: EnginePace, now: ClockTime) -> ActiveRun {
        let WaitingRun { arrived, stream } = run;
        let order = &arrived.order;
        let start = RunStart {
            upstream: self.options.name.clone(),
            kind: UpstreamKind::Engine,
            request: arrived.request.clone(),
            attempt: arrived.attempt,
            marker: RunMarker::find(&order.prompt),
            key: arrived.key.clone(),
            prompt_tokens: TokenCount(order.prompt_tokens),
            resumed_from: TokenCount(order.resumed_from.into()),
            arrived_at: arrived.at,
        };
        let tally = self.options.run_log.start(start, now);
        let cached = self.cache.use_prefix(order.prefix);
        let fresh_tokens = if cached { 0 } else { order.prompt_tokens };
        let prefill = self.options.prompt_token_time.as_secs_f64() * fresh_tokens as f64;
        let base = self.options.first_token_base.as_secs_f64();
        // Above 0 even where all times are 0: every run begins by reading its prompt.
        let prefill_left = (base + prefill).max(f64::MIN_POSITIVE);
        let next = order.resumed_from;
        let breaks = next < order.length && self.random.f64() < pace.break_share;
        let breaks_at = breaks.then(|| self.random.u32(next..order.length));
        ActiveRun { stream, tally, prefill_left, credit: 0.0, next, breaks_at, arrived }
    }

    fn cache_prefix(&mut self, prefix: u128, now: ClockTime) {
        for (change, prefix) in self.cache.store(prefix) {
            self.feed.push(change, prefix, now);
        }
    }

    /// Notes the present load, which others see after the lag.
    pub(crate) fn note_load(&mut self, pace: EnginePace, now: ClockTime) {
        let load = self.current_load(pace);
        self.load.note(load, now);
    }

    /// The load at this moment.
    pub(crate) fn current_load(&self, pace: EnginePace) -> EngineLoad {
        let making = self.running.values().filter(|run| run.prefill_left <= 0.0).count();
        let rate = self.options.token_rate.0 as f64 / pace.slow_factor;
        EngineLoad {
            running: self.running.len(),
            waiting: self.waiting.len(),
            capacity: self.options.capacity,
            tokens_per_second: (making as f64 * rate) as u64,
            models: self.models.clone(),
            role: self.role.clone(),
        }
    }
}

/// Engines of one fleet share a seed, and a restarted one must not break the same runs again.
fn own_choices(options: &EngineOptions, now: ClockTime) -> fastrand::Rng {
    let name = XxHash3_64::oneshot_with_seed(options.seed, options.name.as_str().as_bytes());
    fastrand::Rng::with_seed(name.wrapping_add(now.0))
}
