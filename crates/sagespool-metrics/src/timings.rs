//! Histograms of how long requests take.

use std::time::Duration;

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::labels::{BranchLabel, ClassLabel};

/// Bounds from 0.5 ms, doubling, up to about 65 s: the routed share of a
/// first token is near the low end, a long answer near the high end.
const LOWEST_BOUND_SECONDS: f64 = 0.0005;
const BOUND_FACTOR: f64 = 2.0;
const BOUND_COUNT: u16 = 18;

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(LOWEST_BOUND_SECONDS, BOUND_FACTOR, BOUND_COUNT))
}

type ClassFamily = Family<ClassLabel, Histogram, fn() -> Histogram>;
type BranchFamily = Family<BranchLabel, Histogram, fn() -> Histogram>;

/// One measure, by class and by branch apart: their product would be too many series.
#[derive(Clone)]
pub(crate) struct TimingPair {
    by_class: ClassFamily,
    by_branch: BranchFamily,
}

impl TimingPair {
    pub fn register(registry: &mut Registry, name: &str, help: &str) -> Self {
        let by_class = ClassFamily::new_with_constructor(new_histogram);
        let by_branch = BranchFamily::new_with_constructor(new_histogram);
        registry.register(format!("{name}_seconds"), format!("{help}, by class"), by_class.clone());
        let branch_name = format!("branch_{name}_seconds");
        registry.register(branch_name, format!("{help}, by branch"), by_branch.clone());
        Self { by_class, by_branch }
    }

    fn of(&self, class: &ClassLabel, branch: &BranchLabel) -> HistogramPair {
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

/// The four measures of every request.
#[derive(Clone)]
pub(crate) struct TimingSet {
    first_token: TimingPair,
    between_tokens: TimingPair,
    whole: TimingPair,
    queue_wait: TimingPair,
}

impl TimingSet {
    pub fn register(registry: &mut Registry) -> Self {
        let mut pair = |name, help| TimingPair::register(registry, name, help);
        Self {
            first_token: pair("first_token", "Time from a request's arrival to its first token"),
            between_tokens: pair("between_tokens", "Time between two tokens of an answer"),
            whole: pair("whole", "Time from a request's arrival to the end of its answer"),
            queue_wait: pair("queue_wait", "Time that a request waited for an upstream"),
        }
    }

    pub fn of(&self, class: &ClassLabel, branch: &BranchLabel) -> RequestTimings {
        RequestTimings {
            first_token: self.first_token.of(class, branch),
            between_tokens: self.between_tokens.of(class, branch),
            whole: self.whole.of(class, branch),
            queue_wait: self.queue_wait.of(class, branch),
        }
    }
}

/// The histograms of one class and branch, looked up once a request and not once a token.
#[derive(Clone)]
pub struct RequestTimings {
    first_token: HistogramPair,
    between_tokens: HistogramPair,
    whole: HistogramPair,
    queue_wait: HistogramPair,
}

impl RequestTimings {
    /// Time from arrival to the first token.
    pub fn observe_first_token(&self, took: Duration) {
        self.first_token.observe(took);
    }

    /// Time between two tokens.
    pub fn observe_between_tokens(&self, took: Duration) {
        self.between_tokens.observe(took);
    }

    /// Time from arrival to the end.
    pub fn observe_whole(&self, took: Duration) {
        self.whole.observe(took);
    }

    /// Time spent waiting for an upstream.
    pub fn observe_queue_wait(&self, took: Duration) {
        self.queue_wait.observe(took);
    }
}
