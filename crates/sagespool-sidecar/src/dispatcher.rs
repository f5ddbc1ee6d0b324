//! Runs the requests that pass the sidecar's checks.

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bon::Builder;
use sagespool_log::log_event;
use sagespool_messages::{
    AttachRequest, CancelRequest, ChargeRecord, DispatchEvent, DispatchRequest, KeyReply,
    KeyRequest, RunningRequest, StatusQuery, UpstreamKind,
};
use sagespool_metrics::{DropCause, FleetMetrics};
use sagespool_settings::UpstreamSettings;
use sagespool_types::{
    AttemptNumber, ByteCount, ClockTime, IncarnationId, RequestId, ServiceName, TokenCount,
};

use crate::admission::attach_refused;
use crate::attempt::{AdmittedAttempt, AttemptCompletion};
use crate::run_completion::{CompletionTarget, EngineCleanup};
use crate::run_service::ServiceTarget;
use crate::running::{RunningTable, StopReason};
use crate::{
    AnswerReader, ChargeOutcome, ChargeRegistry, IdempotencyCache, KeyRefusal, KeyRetention,
    LoadWatcher, OrderFence, PromptCacheTracker, ReportPolicy, UpstreamClient,
};

/// Default memory limit of cached answers.
const DEFAULT_ANSWER_CACHE_BYTES: ByteCount = ByteCount(64 << 20);

/// Options of a [`Dispatcher`].
#[derive(Debug, Clone, Builder)]
pub struct DispatcherOptions {
    /// The sidecar's own incarnation.
    pub sidecar: IncarnationId,
    /// The upstream that requests are sent to.
    pub upstream: UpstreamSettings,
    /// Memory limit of the cached answers of keyed requests.
    #[builder(default = DEFAULT_ANSWER_CACHE_BYTES)]
    pub answer_cache_bytes: ByteCount,
    /// How long answers and keys are retained.
    #[builder(default)]
    pub retention: KeyRetention,
    /// When charges are reported to holders.
    #[builder(default)]
    pub reports: ReportPolicy,
    /// Metrics registry, which also gets the upstream's timings by class and branch.
    #[builder(default = FleetMetrics::new())]
    pub metrics: FleetMetrics,
}

/// Checks, runs and records every request for one upstream.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) sidecar: IncarnationId,
    pub(crate) kind: UpstreamKind,
    service: ServiceName,
    leaving: AtomicBool,
    listed_leaving: AtomicBool,
    pub(crate) upstream: UpstreamClient,
    pub(crate) charges: ChargeRegistry,
    pub(crate) keys: IdempotencyCache,
    pub(crate) load: LoadWatcher,
    cache: PromptCacheTracker,
    pub(crate) orders: OrderFence,
    pub(crate) running: Arc<RunningTable>,
    pub(crate) metrics: FleetMetrics,
}

impl Dispatcher {
    /// A dispatcher that refuses all requests until [`ChargeRegistry::set_started_at`] is called.
    pub fn new(options: DispatcherOptions) -> Arc<Self> {
        let DispatcherOptions {
            sidecar,
            upstream,
            answer_cache_bytes,
            retention,
            reports,
            metrics,
        } = options;
        Arc::new(Self {
            sidecar,
            kind: upstream.kind,
            service: upstream.service.clone(),
            leaving: AtomicBool::new(false),
            listed_leaving: AtomicBool::new(false),
            upstream: UpstreamClient::new(upstream.address),
            charges: ChargeRegistry::new(sidecar, reports),
            keys: IdempotencyCache::new(sidecar, answer_cache_bytes, retention),
            load: LoadWatcher::new(&upstream),
            cache: PromptCacheTracker::default(),
            orders: OrderFence::new(),
            running: Arc::default(),
            metrics,
        })
    }

    /// Charges of the attempts that run or have run.
    pub fn charges(&self) -> &ChargeRegistry {
        &self.charges
    }

    /// Idempotency keys and cached answers.
    pub fn keys(&self) -> &IdempotencyCache {
        &self.keys
    }

    /// Load and health of the upstream.
    pub fn load(&self) -> &LoadWatcher {
        &self.load
    }

    /// Changes of the engine's prompt cache.
    pub fn cache(&self) -> &PromptCacheTracker {
        &self.cache
    }

    /// Whether the upstream is an engine or a plain service.
    pub fn kind(&self) -> UpstreamKind {
        self.kind
    }

    /// HTTP client of the upstream.
    pub fn upstream(&self) -> &UpstreamClient {
        &self.upstream
    }

    /// Number of running attempts.
    pub fn running_count(&self) -> usize {
        self.running.count()
    }

    /// Number of running attempts besides the given one, which may have ended already.
    pub fn count_others(&self, request: RequestId, attempt: AttemptNumber) -> u32 {
        let own = usize::from(self.running.contains(request, attempt));
        self.running.count().saturating_sub(own) as u32
    }

    /// Refuses new requests from now on.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Refuses new requests while the instance list shows this instance as leaving. The entry may
    /// refer to an earlier incarnation, so it can be withdrawn.
    pub fn set_listed_leaving(&self, is_leaving: bool) {
        self.listed_leaving.store(is_leaving, Ordering::SeqCst);
    }

    /// Whether new requests are refused because the process is leaving or the upstream is drained.
    pub(crate) fn rejects_new(&self) -> bool {
        let is_leaving =
            self.leaving.load(Ordering::SeqCst) || self.listed_leaving.load(Ordering::SeqCst);
        is_leaving || self.load.is_drained()
    }

    /// The running attempts up to the query's limit, and whether the list is complete.
    pub fn list_running(&self, query: &StatusQuery, now: ClockTime) -> (Vec<RunningRequest>, bool) {
        self.running.list(query.branch.as_ref(), query.running as usize, now)
    }

    /// Resolves when no attempt is running.
    pub async fn wait_until_idle(&self) {
        self.running.wait_until_idle().await;
    }

    /// Stops every attempt because the sidecar stops. Returns their number.
    pub fn stop_running(&self) -> usize {
        self.running.stop_all(StopReason::SidecarStops)
    }

    /// Starts a request, and returns a reader of its answer or of the refusal.
    pub async fn dispatch(
        self: &Arc<Self>,
        dispatch: DispatchRequest,
        now: ClockTime,
    ) -> AnswerReader {
        let (attempt, reader) = match self.admit(dispatch, now).await {
            Ok(admitted) => admitted,
            Err(not_admitted) => return not_admitted.into_reader(),
        };
        self.load.count_dispatch();
        let dispatcher = Arc::clone(self);
        smol::spawn(async move { dispatcher.run(attempt).await }).detach();
        reader
    }

    /// A reader of the answer to a key, or of the refusal if there is none here.
    pub fn attach(&self, request: &AttachRequest) -> AnswerReader {
        let reader = self.keys.attach(request).and_then(|log| {
            let refusal = KeyRefusal::AnswerLost { request: request.request };
            log.reader().ok_or(refusal)
        });
        reader.unwrap_or_else(attach_refused)
    }

    /// Looks up a key; always unknown if the key is for another service.
    pub fn find_key(&self, request: &KeyRequest, now: ClockTime) -> KeyReply {
        if request.service != self.service {
            return KeyReply { sidecar: self.sidecar, known: None };
        }
        self.keys.find(request, now)
    }

    /// Stops an attempt that its entry has cancelled.
    pub fn cancel(&self, request: &CancelRequest) {
        self.running.stop(request.request, request.attempt, StopReason::Cancelled);
    }

    async fn run(&self, attempt: AdmittedAttempt) {
        let (outcome, cleanup) = {
            let mut stopped = pin!(attempt.stopped());
            self.call_upstream(&attempt, stopped.as_mut()).await
        };
        self.finish(&attempt, outcome, ClockTime::now());
        self.release_engine(&attempt, cleanup).await;
    }

    async fn call_upstream(
        &self,
        attempt: &AdmittedAttempt,
        stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> (AttemptCompletion, EngineCleanup) {
        if let Some(target) = ServiceTarget::of(&attempt.target) {
            return (self.run_service(attempt, target, stopped).await, EngineCleanup::Nothing);
        }
        let target = CompletionTarget::of(&attempt.target)
            .expect("a call target is a service or a completion");
        let meter =
            target.meter(attempt.reserved).expect("admitted only if the reservation covers it");
        self.run_completion(attempt, target, meter, stopped).await
    }

    /// Records the tokens that an attempt has used, at most those reserved.
    pub(crate) fn record_used(&self, attempt: &AdmittedAttempt, used: TokenCount) {
        attempt.registration.attempt.record_used(used.min(attempt.reserved));
        self.record_charged(attempt, used);
    }

    /// Records what an attempt is charged if it ends now, without listing it as used. An engine
    /// that has accepted a request may not have started on its prompt.
    pub(crate) fn record_charged(&self, attempt: &AdmittedAttempt, used: TokenCount) {
        self.charges.update_used(attempt.charge, attempt.attempt, used.min(attempt.reserved));
    }

    /// Counts and logs an answer, or a part of one, that is discarded.
    pub(crate) fn record_dropped(&self, cause: DropCause, detail: &str) {
        self.metrics.count_dropped_answer(cause);
        log_event!(warn, "answer-dropped", cause = cause, detail = detail);
    }

    /// Ends an attempt in all tables and then in its log. The requester reads the
    /// end last, so that its next request finds charge and key in their final state.
    fn finish(&self, attempt: &AdmittedAttempt, outcome: AttemptCompletion, now: ClockTime) {
        let is_whole = matches!(outcome, AttemptCompletion::Whole(_));
        let charge = if outcome.may_have_run() {
            let end_delivered = attempt.log.has_readers();
            let charge_outcome = ChargeOutcome { whole: is_whole, end_delivered };
            self.charges.end_attempt(attempt.charge, attempt.attempt, charge_outcome, now)
        } else {
            self.charges.withdraw(attempt.charge, attempt.attempt, now);
            None
        };
        if is_whole {
            attempt.timings.observe_whole(now.since(attempt.arrived));
        }
        if let Some(keyed) = &attempt.key {
            self.keys.end_attempt(keyed, outcome.keyed_outcome(), now);
        }
        log_end(attempt, &outcome, charge.as_ref());
        attempt.log.push(DispatchEvent::End(outcome.into_dispatch_end(charge)));
    }
}

/// Complete answers are the common case, and are logged at debug level only.
fn log_end(attempt: &AdmittedAttempt, end: &AttemptCompletion, charge: Option<&ChargeRecord>) {
    let used = charge.map_or(TokenCount::ZERO, |charge| charge.used);
    let (request, number, outcome) = (attempt.request, attempt.attempt, end.as_str());
    let (branch, charge) = (&attempt.branch, attempt.charge);
    match end {
        AttemptCompletion::Whole(_) => log_event!(
            debug,
            "attempt-ended",
            request = request,
            attempt = number,
            branch = branch,
            charge = charge,
            outcome = outcome,
            used = used
        ),
        _ => log_event!(
            info,
            "attempt-ended",
            request = request,
            attempt = number,
            branch = branch,
            charge = charge,
            outcome = outcome,
            used = used,
            detail = end.detail()
        ),
    }
}
