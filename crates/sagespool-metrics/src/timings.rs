//! Latency histograms of requests.

use std::time::Duration;

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::labels::{BranchLabel, ClassLabel};

/// Bucket bounds from 0.5 ms, doubling, up to about 65 s: the routing overhead of
/// a first token is near the low end, a long answer near the high end.
const LOWEST_BOUND_SECONDS: f64 = 0.0005;
const BOUND_FACTOR: f64 = 2.0;
const BOUND_COUNT: u16 = 18;

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(LOWEST_BOUND_SECONDS, BOUND_FACTOR, BOUND_COUNT))
}

type ClassFamily = Family<ClassLabel, Histogram, fn() -> Histogram>;
type BranchFamily = Family<BranchLabel, Histogram, fn() -> Histogram>;

/// The histograms of one duration, by class and by branch separately: their combination would
/// give too many series.
#[derive(Clone)]
pub(crate) struct TimingFamilies {
    by_class: ClassFamily,
    by_branch: BranchFamily,
}

impl TimingFamilies {
    pub fn register(registry: &mut Registry, name: &str, help: &str) -> Self {
        let by_class = ClassFamily::new_with_constructor(new_histogram);
        let by_branch = BranchFamily::new_with_constructor(new_histogram);
        registry.register(format!("{name}_seconds"), format!("{help}, by class"), by_class.clone());
        let branch_name = format!("branch_{name}_seconds");
        registry.register(branch_name, format!("{help}, by branch"), by_branch.clone());
        Self { by_class, by_branch }
    }

    fn histograms(&self, class: &ClassLabel, branch: &BranchLabel) -> HistogramPair {
        HistogramPair {
            class: self.by_class.get_or_create_owned(class),
            branch: self.by_branch.get_or_create_owned(branch),
        }
    }
}

#[derive(Clone)]
struct HistogramPair {
    class: Histogram,
    branch: Histogram,
}

impl HistogramPair {
    fn observe(&self, took: Duration) {
        self.class.observe(took.as_secs_f64());
        self.branch.observe(took.as_secs_f64());
    }
}

/// The histograms of the four durations that are observed for each request.
#[derive(Clone)]
pub(crate) struct TimingSet {
    first_token: TimingFamilies,
    between_tokens: TimingFamilies,
    whole: TimingFamilies,
    queue_wait: TimingFamilies,
}

impl TimingSet {
    pub fn register(registry: &mut Registry) -> Self {
        let mut families = |name, help| TimingFamilies::register(registry, name, help);
        Self {
            first_token: families(
                "first_token",
                "Time from a request's arrival to its first token",
            ),
            between_tokens: families("between_tokens", "Time between two tokens of an answer"),
            whole: families("whole", "Time from a request's arrival to the end of its answer"),
            queue_wait: families("queue_wait", "Time that a request waited for an upstream"),
        }
    }

    pub fn for_labels(&self, class: &ClassLabel, branch: &BranchLabel) -> RequestTimings {
        RequestTimings {
            first_token: self.first_token.histograms(class, branch),
            between_tokens: self.between_tokens.histograms(class, branch),
            whole: self.whole.histograms(class, branch),
            queue_wait: self.queue_wait.histograms(class, branch),
        }
    }
}

/// The histograms of one class and branch, so that they are looked up once per request and not
/// once per token.
#[derive(Clone)]
pub struct RequestTimings {
    first_token: HistogramPair,
    between_tokens: HistogramPair,
    whole: HistogramPair,
    queue_wait: HistogramPair,
}

impl RequestTimings {
    /// Time from the request's arrival to its first token.
    pub fn observe_first_token(&self, took: Duration) {
        self.first_token.observe(took);
    }

    /// Time between two tokens of an answer.
    pub fn observe_between_tokens(&self, took: Duration) {
        self.between_tokens.observe(took);
    }

    /// Time from the request's arrival to the end of its answer.
    pub fn observe_whole(&self, took: Duration) {
        self.whole.observe(took);
    }

    /// Time that the request waited for an upstream.
    pub fn observe_queue_wait(&self, took: Duration) {
        self.queue_wait.observe(took);
    }
}
