//! Counters and latency histograms.

use std::fmt::{self, Write};
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use sagespool_types::BranchName;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Outcome {
    /// Answered whole by an upstream.
    Answered,
    /// Answered whole by an upstream that failed.
    Failed,
    /// Refused by this gateway.
    Refused,
    /// A stream that broke off.
    Cut,
    /// Its caller went away.
    CallerGone,
}

impl Outcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::CallerGone => "caller-gone",
        }
    }
}

impl EncodeLabelValue for Outcome {
    fn encode(&self, encoder: &mut LabelValueEncoder) -> fmt::Result {
        encoder.write_str(self.as_str())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: Outcome,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BranchLabel {
    branch: String,
}

/// Upper bounds of the histograms in seconds: from a lookup's answer to a long stream's end.
const BOUNDS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

fn histogram() -> Histogram {
    Histogram::new(BOUNDS)
}

/// What a gateway counts.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    first: Family<RouteLabel, Histogram, fn() -> Histogram>,
    total: Family<BranchLabel, Histogram, fn() -> Histogram>,
    sends: Counter,
    connects: Counter,
    members: Gauge,
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("sagespool_gateway");
        let requests = Family::default();
        registry.register("requests", "Requests by route and outcome", requests.clone());
        let first = Family::new_with_constructor(histogram as fn() -> Histogram);
        registry.register("first_seconds", "Time to the first event or answer", first.clone());
        let total = Family::new_with_constructor(histogram as fn() -> Histogram);
        registry.register("total_seconds", "Time to the end, by client account", total.clone());
        let sends = Counter::default();
        registry.register("sends", "Requests sent to upstreams", sends.clone());
        let connects = Counter::default();
        registry.register("connects", "Connections opened to upstreams", connects.clone());
        let members = Gauge::default();
        registry.register("members", "Gateways that are heard of, with this one", members.clone());
        Self { registry, requests, first, total, sends, connects, members }
    }

    pub(crate) fn ended(&self, outcome: Outcome, route: &str) {
        let labels = RequestLabels { route: route.to_owned(), outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Notes the times of a request: to its first event or answer, and to its end.
    pub(crate) fn observe(
        &self,
        route: &str,
        branch: Option<&BranchName>,
        first: Duration,
        total: Duration,
    ) {
        let route = RouteLabel { route: route.to_owned() };
        self.first.get_or_create(&route).observe(first.as_secs_f64());
        let branch = branch.map_or_else(String::new, BranchName::to_string);
        self.total.get_or_create(&BranchLabel { branch }).observe(total.as_secs_f64());
    }

    pub(crate) fn sent(&self, on_new_connection: bool) {
        self.sends.inc();
        if on_new_connection {
            self.connects.inc();
        }
    }

    /// All metrics as text, with the number of gateways at the moment.
    pub(crate) fn encode(&self, members: usize) -> String {
        self.members.set(members as i64);
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string doesn't fail");
        text
    }
}
