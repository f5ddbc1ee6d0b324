//! The registry of a process's metrics.

use std::fmt::{self, Debug};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use sagespool_types::{BranchName, ClassName, ConfigVersion, RefusalReason, TokenCount};

use crate::labels::{
    BranchLabel, CauseLabel, ClassLabel, KindLabel, LabelLimiter, LinkTraffic, ReasonLabel,
    TrafficLabel,
};
use crate::timings::TimingSet;
use crate::{DropCause, RequestTimings, StoreCallKind};

/// Branches with their own label; later ones are counted as `other`.
const MAX_BRANCH_LABELS: usize = 200;

/// Higher than the limit of a configuration, since classes removed from it keep their label.
const MAX_CLASS_LABELS: usize = 64;

const METRIC_PREFIX: &str = "sagespool";

/// All metrics of one process. Clones share the values.
#[derive(Clone)]
pub struct FleetMetrics {
    inner: Arc<MetricSet>,
}

struct MetricSet {
    registry: Registry,
    classes: LabelLimiter,
    branches: LabelLimiter,
    timings: TimingSet,
    counters: CounterSet,
    gauges: GaugeSet,
}

struct CounterSet {
    admitted: Family<ClassLabel, Counter>,
    branch_admitted: Family<BranchLabel, Counter>,
    refused: Family<ReasonLabel, Counter>,
    branch_refused: Family<BranchLabel, Counter>,
    billed: Family<BranchLabel, Counter>,
    rerun: Family<BranchLabel, Counter>,
    store_calls: Family<KindLabel, Counter>,
    dropped: Family<CauseLabel, Counter>,
    link_bytes: Family<TrafficLabel, Counter>,
    rejected_callers: Counter,
}

struct GaugeSet {
    in_flight: Gauge,
    members: Gauge,
    config_version: Gauge,
}

impl FleetMetrics {
    /// Registers all metrics, with value zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(METRIC_PREFIX);
        let timings = TimingSet::register(&mut registry);
        let counters = CounterSet::register(&mut registry);
        let gauges = GaugeSet::register(&mut registry);
        let classes = LabelLimiter::new(MAX_CLASS_LABELS);
        let branches = LabelLimiter::new(MAX_BRANCH_LABELS);
        let set = MetricSet { registry, classes, branches, timings, counters, gauges };
        Self { inner: Arc::new(set) }
    }

    /// The histograms of one class and branch, to be kept for the duration of a request.
    pub fn timings(&self, class: &ClassName, branch: &BranchName) -> RequestTimings {
        self.inner
            .timings
            .for_labels(&self.inner.class_label(class), &self.inner.branch_label(branch))
    }

    /// Time from a request's arrival to its first token.
    pub fn observe_first_token(&self, class: &ClassName, branch: &BranchName, took: Duration) {
        self.timings(class, branch).observe_first_token(took);
    }

    /// Time between two tokens of an answer.
    pub fn observe_between_tokens(&self, class: &ClassName, branch: &BranchName, took: Duration) {
        self.timings(class, branch).observe_between_tokens(took);
    }

    /// Time from a request's arrival to the end of its answer.
    pub fn observe_whole(&self, class: &ClassName, branch: &BranchName, took: Duration) {
        self.timings(class, branch).observe_whole(took);
    }

    /// Time that a request waited for an upstream.
    pub fn observe_queue_wait(&self, class: &ClassName, branch: &BranchName, took: Duration) {
        self.timings(class, branch).observe_queue_wait(took);
    }

    /// Counts an admitted request, by class and by branch.
    pub fn count_admitted(&self, class: &ClassName, branch: &BranchName) {
        let counters = &self.inner.counters;
        counters.admitted.get_or_create(&self.inner.class_label(class)).inc();
        counters.branch_admitted.get_or_create(&self.inner.branch_label(branch)).inc();
    }

    /// Counts a refused request, by reason and by branch.
    pub fn count_refused(&self, reason: RefusalReason, branch: &BranchName) {
        let counters = &self.inner.counters;
        counters.refused.get_or_create(&ReasonLabel { reason: reason.as_str() }).inc();
        counters.branch_refused.get_or_create(&self.inner.branch_label(branch)).inc();
    }

    /// Counts a request without a key, with an unknown key, or malformed: its branch is unknown.
    pub fn count_rejected_caller(&self) {
        self.inner.counters.rejected_callers.inc();
    }

    /// Adds tokens that are billed to a branch.
    pub fn add_billed_tokens(&self, branch: &BranchName, tokens: TokenCount) {
        let label = self.inner.branch_label(branch);
        self.inner.counters.billed.get_or_create(&label).inc_by(tokens.0);
    }

    /// Adds tokens of lost attempts at a branch's requests, which aren't billed.
    pub fn add_rerun_tokens(&self, branch: &BranchName, tokens: TokenCount) {
        let label = self.inner.branch_label(branch);
        self.inner.counters.rerun.get_or_create(&label).inc_by(tokens.0);
    }

    /// Counts one call to the platform's store.
    pub fn count_store_call(&self, kind: StoreCallKind) {
        self.inner.counters.store_calls.get_or_create(&KindLabel { kind }).inc();
    }

    /// Sets the calls to the platform's store since the process started, as its client counts them.
    pub fn set_store_calls(&self, reads: u64, writes: u64, watches: u64) {
        let calls = &self.inner.counters.store_calls;
        raise_to(calls, &KindLabel { kind: StoreCallKind::Read }, reads);
        raise_to(calls, &KindLabel { kind: StoreCallKind::Write }, writes);
        raise_to(calls, &KindLabel { kind: StoreCallKind::Watch }, watches);
    }

    /// Counts an answer, or a part of one, that was dropped.
    pub fn count_dropped_answer(&self, cause: DropCause) {
        self.inner.counters.dropped.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Sets the bytes on the link since the process started, as the link counts them.
    pub fn set_link_bytes(&self, control: u64, payload: u64) {
        let bytes = &self.inner.counters.link_bytes;
        raise_to(bytes, &TrafficLabel { traffic: LinkTraffic::Control }, control);
        raise_to(bytes, &TrafficLabel { traffic: LinkTraffic::Payload }, payload);
    }

    /// Sets the number of requests that are running in this process.
    pub fn set_in_flight(&self, count: u64) {
        self.inner.gauges.in_flight.set(gauge_value(count));
    }

    /// Sets the number of members that this process considers alive.
    pub fn set_members(&self, count: u64) {
        self.inner.gauges.members.set(gauge_value(count));
    }

    /// Sets the version of the configuration that this process applies.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.inner.gauges.config_version.set(gauge_value(version.0));
    }

    /// All metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.inner.registry).expect("writing to a string doesn't fail");
        text
    }
}

impl Default for FleetMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Debug for FleetMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetMetrics").finish_non_exhaustive()
    }
}

impl MetricSet {
    fn class_label(&self, class: &ClassName) -> ClassLabel {
        ClassLabel { class: self.classes.label_of(class.as_str()) }
    }

    fn branch_label(&self, branch: &BranchName) -> BranchLabel {
        BranchLabel { branch: self.branches.label_of(branch.as_str()) }
    }
}

impl CounterSet {
    fn register(registry: &mut Registry) -> Self {
        let set = Self {
            admitted: Family::default(),
            branch_admitted: Family::default(),
            refused: Family::default(),
            branch_refused: Family::default(),
            billed: Family::default(),
            rerun: Family::default(),
            store_calls: Family::default(),
            dropped: Family::default(),
            link_bytes: Family::default(),
            rejected_callers: Counter::default(),
        };
        registry.register("admitted", "Requests admitted, by class", set.admitted.clone());
        let branch_admitted = set.branch_admitted.clone();
        registry.register("branch_admitted", "Requests admitted, by branch", branch_admitted);
        registry.register("refused", "Requests refused, by reason", set.refused.clone());
        let branch_refused = set.branch_refused.clone();
        registry.register("branch_refused", "Requests refused, by branch", branch_refused);
        registry.register("billed_tokens", "Tokens billed, by branch", set.billed.clone());
        let rerun_help = "Tokens of lost attempts, which no branch pays, by branch";
        registry.register("rerun_tokens", rerun_help, set.rerun.clone());
        let calls_help = "Calls to the platform's store, by kind";
        registry.register("store_calls", calls_help, set.store_calls.clone());
        let dropped_help = "Answers or parts of them thrown away, by cause";
        registry.register("dropped_answers", dropped_help, set.dropped.clone());
        let link_help = "Bytes over the link, control and payload apart";
        registry.register("link_bytes", link_help, set.link_bytes.clone());
        let rejected_help = "Requests without a valid key or form, for which no branch is known";
        registry.register("rejected_callers", rejected_help, set.rejected_callers.clone());
        set
    }
}

impl GaugeSet {
    fn register(registry: &mut Registry) -> Self {
        let set = Self {
            in_flight: Gauge::default(),
            members: Gauge::default(),
            config_version: Gauge::default(),
        };
        registry.register("in_flight", "Requests running in this process", set.in_flight.clone());
        registry.register("members", "Members believed alive", set.members.clone());
        let version_help = "Version of the configuration in force";
        registry.register("config_version", version_help, set.config_version.clone());
        set
    }
}

/// Raises a counter to a total that is counted elsewhere. Two readers of the total
/// may set it in the wrong order, and a decrease would look like a process restart,
/// so a lower total is ignored.
fn raise_to<S>(family: &Family<S, Counter>, label: &S, total: u64)
where
    S: EncodeLabelSet + Clone + std::hash::Hash + Eq,
{
    family.get_or_create(label).inner().fetch_max(total, Ordering::Relaxed);
}

fn gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
