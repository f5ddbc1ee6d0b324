//! The last gate before a request runs, and what follows from letting it in.

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
use crate::attempt::{AdmittedAttempt, AttemptEnd};
use crate::run_completion::{CompletionTarget, EngineRest};
use crate::run_service::ServiceTarget;
use crate::running::{RunningTable, StopReason};
use crate::{
    AnswerReader, CacheRelay, ChargeBook, ChargeEnding, KeyMemory, KeyRefusal, KeyRetention,
    LoadWatch, OrderDesk, ReportPolicy, UpstreamClient,
};

/// The memory for answers of keyed requests, if nothing else is said.
const KEPT_ANSWERS: ByteCount = ByteCount(64 << 20);

/// What a dispatcher is told of its place.
#[derive(Debug, Clone, Builder)]
pub struct DispatchOptions {
    /// The sidecar's incarnation.
    pub sidecar: IncarnationId,
    /// The upstream.
    pub upstream: UpstreamSettings,
    /// The most memory for kept answers.
    #[builder(default = KEPT_ANSWERS)]
    pub kept_answers: ByteCount,
    /// How long keys are remembered.
    #[builder(default)]
    pub retention: KeyRetention,
    /// How charges are reported.
    #[builder(default)]
    pub reports: ReportPolicy,
    /// Where it notes what its upstream takes for each class and branch.
    #[builder(default = FleetMetrics::new())]
    pub metrics: FleetMetrics,
}

/// Checks, runs and witnesses every request for one upstream.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) sidecar: IncarnationId,
    pub(crate) kind: UpstreamKind,
    service: ServiceName,
    leaving: AtomicBool,
    held: AtomicBool,
    pub(crate) upstream: UpstreamClient,
    pub(crate) charges: ChargeBook,
    pub(crate) keys: KeyMemory,
    pub(crate) load: LoadWatch,
    cache: CacheRelay,
    pub(crate) orders: OrderDesk,
    pub(crate) running: Arc<RunningTable>,
    pub(crate) metrics: FleetMetrics,
}

impl Dispatcher {
    /// A dispatcher that runs nothing until [`ChargeBook::started`] was called.
    pub fn new(options: DispatchOptions) -> Arc<Self> {
        let DispatchOptions { sidecar, upstream, kept_answers, retention, reports, metrics } =
            options;
        Arc::new(Self {
            sidecar,
            kind: upstream.kind,
            service: upstream.service.clone(),
            leaving: AtomicBool::new(false),
            held: AtomicBool::new(false),
            upstream: UpstreamClient::new(upstream.address),
            charges: ChargeBook::new(sidecar, reports),
            keys: KeyMemory::new(sidecar, kept_answers, retention),
            load: LoadWatch::new(&upstream),
            cache: CacheRelay::default(),
            orders: OrderDesk::new(),
            running: Arc::default(),
            metrics,
        })
    }

    /// The charges it has witnessed.
    pub fn charges(&self) -> &ChargeBook {
        &self.charges
    }

    /// The keys it remembers.
    pub fn keys(&self) -> &KeyMemory {
        &self.keys
    }

    /// The upstream's load.
    pub fn load(&self) -> &LoadWatch {
        &self.load
    }

    /// What askers are told of the engine's prompt cache.
    pub fn cache(&self) -> &CacheRelay {
        &self.cache
    }

    /// Engine or plain service.
    pub fn kind(&self) -> UpstreamKind {
        self.kind
    }

    /// The upstream.
    pub fn upstream(&self) -> &UpstreamClient {
        &self.upstream
    }

    /// How many attempts run.
    pub fn running_count(&self) -> usize {
        self.running.count()
    }

    /// How many attempts run beside one, whether that one still does or not.
    pub fn count_beside(&self, request: RequestId, attempt: AttemptNumber) -> u32 {
        let own = usize::from(self.running.runs(request, attempt));
        self.running.count().saturating_sub(own) as u32
    }

    /// From now on takes nothing new.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Takes nothing new while the instance list shows its instance as leaving, though that may be
    /// about an earlier run.
    pub fn hold(&self, is_held: bool) {
        self.held.store(is_held, Ordering::SeqCst);
    }

    /// Whether it takes nothing new, since it leaves or an operator drains it.
    pub(crate) fn is_closed(&self) -> bool {
        let is_leaving = self.leaving.load(Ordering::SeqCst) || self.held.load(Ordering::SeqCst);
        is_leaving || self.load.is_drained()
    }

    /// At most so many of the attempts that run, and whether that is all.
    pub fn list_running(&self, query: &StatusQuery, now: ClockTime) -> (Vec<RunningRequest>, bool) {
        self.running.list(query.branch.as_ref(), query.running as usize, now)
    }

    /// Resolves when no attempt runs.
    pub async fn finished(&self) {
        self.running.empty().await;
    }

    /// Stops every attempt, since the sidecar must end. How many there were.
    pub fn stop_running(&self) -> usize {
        self.running.stop_all(StopReason::SidecarStops)
    }

    /// Runs a request, or tells why not; the answer is read as it comes.
    pub async fn dispatch(
        self: &Arc<Self>,
        dispatch: DispatchRequest,
        now: ClockTime,
    ) -> AnswerReader {
        let (attempt, reader) = match self.admit(dispatch, now).await {
            Ok(admitted) => admitted,
            Err(end) => return end.reader(),
        };
        self.load.dispatched();
        let dispatcher = Arc::clone(self);
        smol::spawn(async move { dispatcher.run(attempt).await }).detach();
        reader
    }

    /// The answer to a key that runs or is kept here.
    pub fn attach(&self, request: &AttachRequest) -> AnswerReader {
        let reader = self.keys.attach(request).and_then(|log| {
            let lost = KeyRefusal::AnswerLost { request: request.request };
            log.reader().ok_or(lost)
        });
        reader.unwrap_or_else(attach_refused)
    }

    /// What is known of a key; nothing if another service would run it.
    pub fn find_key(&self, request: &KeyRequest, now: ClockTime) -> KeyReply {
        if request.service != self.service {
            return KeyReply { sidecar: self.sidecar, known: None };
        }
        self.keys.find(request, now)
    }

    /// Stops an attempt that its entry has given up.
    pub fn cancel(&self, request: &CancelRequest) {
        self.running.stop(request.request, request.attempt, StopReason::Cancelled);
    }

    async fn run(&self, attempt: AdmittedAttempt) {
        let (end, rest) = {
            let mut stopped = pin!(attempt.stopped());
            self.call_upstream(&attempt, stopped.as_mut()).await
        };
        self.finish(&attempt, end, ClockTime::now());
        self.free_engine(&attempt, rest).await;
    }

    async fn call_upstream(
        &self,
        attempt: &AdmittedAttempt,
        stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> (AttemptEnd, EngineRest) {
        if let Some(target) = ServiceTarget::of(&attempt.target) {
            return (self.run_service(attempt, target, stopped).await, EngineRest::Nothing);
        }
        let target = CompletionTarget::of(&attempt.target).expect("a call is one or the other");
        let meter = target.meter(attempt.reserved).expect("admitted only if it is covered");
        self.run_completion(attempt, target, meter, stopped).await
    }

    /// Notes what an attempt has used; never more than was reserved.
    pub(crate) fn note_used(&self, attempt: &AdmittedAttempt, used: TokenCount) {
        attempt.place.attempt.note_used(used.min(attempt.reserved));
        self.note_charged(attempt, used);
    }

    /// Notes what an attempt is charged if it ends now, without showing it as used: an engine that has
    /// taken a request in may not have begun with its prompt.
    pub(crate) fn note_charged(&self, attempt: &AdmittedAttempt, used: TokenCount) {
        self.charges.update(attempt.charge, attempt.attempt, used.min(attempt.reserved));
    }

    /// Counts and logs an answer, or a part of one, that is thrown away.
    pub(crate) fn note_dropped(&self, cause: DropCause, detail: &str) {
        self.metrics.dropped_answer(cause);
        log_event!(warn, "answer-dropped", cause = cause, detail = detail);
    }

    /// Ends an attempt everywhere, the asker last: what it does next must find
    /// the charge and the key in their final state.
    fn finish(&self, attempt: &AdmittedAttempt, end: AttemptEnd, now: ClockTime) {
        let is_whole = matches!(end, AttemptEnd::Whole(_));
        let charge = if end.may_have_run() {
            let ending = ChargeEnding { whole: is_whole, heard: attempt.log.is_read() };
            self.charges.end(attempt.charge, attempt.attempt, ending, now)
        } else {
            self.charges.withdraw(attempt.charge, attempt.attempt, now);
            None
        };
        if is_whole {
            attempt.timings.whole(now.since(attempt.arrived));
        }
        if let Some(wish) = &attempt.key {
            self.keys.end(wish, end.key_ending(), now);
        }
        log_end(attempt, &end, charge.as_ref());
        attempt.log.push(DispatchEvent::End(end.tell(charge)));
    }
}

/// Whole answers are the rule, and logged for who looks closely.
fn log_end(attempt: &AdmittedAttempt, end: &AttemptEnd, charge: Option<&ChargeRecord>) {
    let used = charge.map_or(TokenCount::ZERO, |charge| charge.used);
    let (request, number, outcome) = (attempt.request, attempt.attempt, end.as_str());
    let (branch, charge) = (&attempt.branch, attempt.charge);
    match end {
        AttemptEnd::Whole(_) => log_event!(
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
