//! Counters and latency histograms.

use std::fmt::{self, Write};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use sagespool_messages::{FeedKind, MemberRole};
use sagespool_platform::CallCategory;
use sagespool_types::BranchName;

use crate::admission::ResourceUsage;
use crate::rotation::RotationStatus;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Outcome {
    /// Complete response of an upstream.
    Answered,
    /// Complete 5xx response of an upstream.
    Failed,
    /// Refused by this gateway.
    Refused,
    /// A stream that was lost or timed out, or any request aborted by the stop of this instance.
    Cut,
    /// The caller disconnected.
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
struct CallLabels {
    kind: &'static str,
    subject: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BreakLabel {
    upstream: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResourceLabel {
    resource: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OriginLabel {
    origin: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RecipientLabel {
    to: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListLabel {
    list: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BranchLabel {
    branch: String,
}

/// Upper bounds of the histograms' buckets in seconds: from a lookup to the end of a long stream.
const BOUNDS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

fn histogram() -> Histogram {
    Histogram::new(BOUNDS)
}

/// The metrics of a gateway.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    first: Family<RouteLabel, Histogram, fn() -> Histogram>,
    total: Family<BranchLabel, Histogram, fn() -> Histogram>,
    sends: Counter,
    connects: Counter,
    members: Gauge,
    relays: Gauge,
    closed_unread: Counter,
    held: Gauge,
    held_limit: Gauge,
    open: Gauge,
    scheduling_delay: Gauge<f64, AtomicU64>,
    calls: Family<CallLabels, Gauge>,
    awaited: Family<ListLabel, Gauge>,
    evacuated: Gauge,
    cold: Gauge,
    limited: Gauge,
    in_backoff: Gauge,
    breaks: Family<BreakLabel, Counter>,
    crash_reports: Family<RecipientLabel, Counter>,
    resumptions: Family<OriginLabel, Counter>,
    quarantined: Gauge,
    known_streams: Gauge,
    pressure: Family<ResourceLabel, Gauge>,
    link_wait: Gauge<f64, AtomicU64>,
    out_of_rotation: Gauge,
    promised: Gauge,
    out_seconds: Histogram,
    uncovered: Counter,
}

/// The current restrictions on sending to upstreams.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RestrictionCounts {
    /// Evacuated data centres.
    pub(crate) evacuated: usize,
    /// Upstreams assumed to be cold.
    pub(crate) cold: usize,
    /// Upstreams with a rate limit.
    pub(crate) limited: usize,
    /// Upstreams in backoff for this instance.
    pub(crate) in_backoff: usize,
    /// Contents that are refused since they crash upstreams.
    pub(crate) quarantined: usize,
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
        let relays = Gauge::default();
        registry.register("relays", "Relays that are heard of", relays.clone());
        let closed_unread = Counter::default();
        let help = "Callers' connections that were closed unread for want of memory or descriptors";
        registry.register("closed_unread", help, closed_unread.clone());
        let held = Gauge::default();
        registry.register(
            "held_bytes",
            "Counted for callers' connections and requests",
            held.clone(),
        );
        let held_limit = Gauge::default();
        registry.register("held_limit_bytes", "The most that may be held", held_limit.clone());
        let open = Gauge::default();
        registry.register("connections", "Callers' connections that are open", open.clone());
        let scheduling_delay = Gauge::<f64, AtomicU64>::default();
        let help = "How long a ready task waits for the processor";
        registry.register("turn_seconds", help, scheduling_delay.clone());
        let calls = Family::default();
        registry.register("store_calls", "Calls of the store, by cause", calls.clone());
        let awaited = Family::default();
        let help = "1 for each list that a gateway needs before it serves, and hasn't read yet";
        registry.register("awaited_lists", help, awaited.clone());
        let evacuated = Gauge::default();
        let help = "Data centres whose upstreams get no new work";
        registry.register("evacuated_centres", help, evacuated.clone());
        let cold = Gauge::default();
        registry.register("cold_upstreams", "Upstreams that are taken to be cold", cold.clone());
        let limited = Gauge::default();
        registry.register("limited_upstreams", "Upstreams that name a limit", limited.clone());
        let in_backoff = Gauge::default();
        let help = "Upstreams that want nothing from this instance for now";
        registry.register("resting_upstreams", help, in_backoff.clone());
        let breaks = Family::default();
        let help = "Broken responses, by whether their upstream accepts connections afterwards";
        registry.register("broken_responses", help, breaks.clone());
        let crash_reports = Family::default();
        let help = "Reports of crashes that another gateway or a relay has taken";
        registry.register("crash_reports", help, crash_reports.clone());
        let resumptions = Family::default();
        let help = "Streams that callers resumed, by who knew the version that began them";
        registry.register("resumptions", help, resumptions.clone());
        let quarantined = Gauge::default();
        let help = "Contents that are refused since they crash upstreams";
        registry.register("quarantined_contents", help, quarantined.clone());
        let known_streams = Gauge::default();
        let help = "Resumable streams whose software version is known here, own ones and others'";
        registry.register("known_streams", help, known_streams.clone());
        let pressure = Family::default();
        let help = "Use of the resource nearest to its limit, in thousandths";
        registry.register("pressure", help, pressure.clone());
        let link_wait = Gauge::<f64, AtomicU64>::default();
        registry.register("link_seconds", "How long a byte waits for the link", link_wait.clone());
        let out_of_rotation = Gauge::default();
        let help = "1 while it takes no new callers, so that others of its data centre do";
        registry.register("out_of_rotation", help, out_of_rotation.clone());
        let promised = Gauge::default();
        let help = "Slots of cover promised to gateways that are out of rotation";
        registry.register("promised_cover", help, promised.clone());
        let out_seconds = histogram();
        let help = "Times spent out of rotation, when they end";
        registry.register("out_of_rotation_seconds", help, out_seconds.clone());
        let uncovered = Counter::default();
        let help = "Times that it was pressed and found no cover to leave the rotation";
        registry.register("rotation_uncovered", help, uncovered.clone());
        Self {
            registry,
            requests,
            first,
            total,
            sends,
            connects,
            members,
            relays,
            closed_unread,
            held,
            held_limit,
            open,
            scheduling_delay,
            calls,
            awaited,
            evacuated,
            cold,
            limited,
            in_backoff,
            breaks,
            crash_reports,
            resumptions,
            quarantined,
            known_streams,
            pressure,
            link_wait,
            out_of_rotation,
            promised,
            out_seconds,
            uncovered,
        }
    }

    pub(crate) fn observe_out_of_rotation(&self, out_for: Duration) {
        self.out_seconds.observe(out_for.as_secs_f64());
    }

    pub(crate) fn count_uncovered(&self) {
        self.uncovered.inc();
    }

    /// Sets the gauges of the rotation.
    pub(crate) fn set_rotation(&self, rotation: RotationStatus) {
        self.pressure.clear();
        let label = ResourceLabel { resource: rotation.source.as_str() };
        self.pressure.get_or_create(&label).set(i64::from(rotation.pressure.0));
        self.out_of_rotation.set(i64::from(rotation.out_for.is_some()));
        self.promised.set(i64::from(rotation.promised));
    }

    pub(crate) fn count_outcome(&self, outcome: Outcome, route: &str) {
        let labels = RequestLabels { route: route.to_owned(), outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the latencies of a request: to its first event or response, and to its end.
    pub(crate) fn observe_latency(
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

    pub(crate) fn record_send(&self, on_new_connection: bool) {
        self.sends.inc();
        if on_new_connection {
            self.connects.inc();
        }
    }

    /// Sets the totals of store calls by cause.
    pub(crate) fn set_store_calls(&self, call_counts: Vec<(CallCategory, u64)>) {
        for (category, count) in call_counts {
            let labels = CallLabels { kind: category.kind.as_str(), subject: category.subject };
            self.calls.get_or_create(&labels).set(count as i64);
        }
    }

    /// Sets the number of streams whose software version is known.
    pub(crate) fn set_known_streams(&self, count: usize) {
        self.known_streams.set(count as i64);
    }

    /// Sets which lists aren't read yet.
    pub(crate) fn set_awaited_lists(&self, lists: impl Iterator<Item = FeedKind>) {
        self.awaited.clear();
        for list in lists {
            self.awaited.get_or_create(&ListLabel { list: list.as_str() }).set(1);
        }
    }

    /// Counts a resumed stream by who knew the version that began it.
    pub(crate) fn count_resumption(&self, origin: &'static str) {
        self.resumptions.get_or_create(&OriginLabel { origin }).inc();
    }

    /// Counts a report of crashes that a gateway or relay has taken.
    pub(crate) fn count_crash_report(&self, role: MemberRole) {
        let to = match role {
            MemberRole::Entry => "gateway",
            MemberRole::Sidecar => "relay",
        };
        self.crash_reports.get_or_create(&RecipientLabel { to }).inc();
    }

    /// Counts a broken response by whether its upstream accepts connections afterwards.
    pub(crate) fn count_break(&self, upstream: &'static str) {
        self.breaks.get_or_create(&BreakLabel { upstream }).inc();
    }

    pub(crate) fn closed_unread(&self) {
        self.closed_unread.inc();
    }

    /// All metrics in the text format, with the given current values of the gauges.
    pub(crate) fn encode(
        &self,
        (members, relays): (usize, usize),
        usage: ResourceUsage,
        restrictions: RestrictionCounts,
    ) -> String {
        self.evacuated.set(restrictions.evacuated as i64);
        self.cold.set(restrictions.cold as i64);
        self.limited.set(restrictions.limited as i64);
        self.in_backoff.set(restrictions.in_backoff as i64);
        self.quarantined.set(restrictions.quarantined as i64);
        self.members.set(members as i64);
        self.relays.set(relays as i64);
        self.held.set(usage.held.0 as i64);
        self.held_limit.set(i64::try_from(usage.limit.0).unwrap_or(i64::MAX));
        self.open.set(usage.connections as i64);
        self.link_wait.set(usage.link_wait.as_secs_f64());
        self.scheduling_delay.set(usage.scheduling_delay.as_secs_f64());
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a String is infallible");
        text
    }
}
