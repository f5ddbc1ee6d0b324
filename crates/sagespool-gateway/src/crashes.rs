//! Quarantine of requests that crash upstreams.
//!
//! A request may crash every upstream that runs it, and its caller may retry it at any gateway.
//! Each gateway reports connections that broke before the response began to the others; a content
//! that did so at several upstreams is refused by all gateways.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sagespool_claims::{CrashPolicy, CrashTracker, CrashVerdict};
use sagespool_log::log_event;
use sagespool_messages::{CrashReport, MemberRole, PeerRequest};
use sagespool_types::{AttemptNumber, ClockTime, ContentDigest, RequestId, UpstreamName};

use crate::context::RequestContext;
use crate::state::GatewayState;

/// Crashes until a content is refused. A lost response looks like a crash, and the caller's retry
/// may lose its response too, so two aren't sufficient evidence.
const CRASHES_TO_QUARANTINE: usize = 3;
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Crash reports of this gateway and of others, by request content.
pub(crate) struct CrashReports {
    tracker: CrashTracker,
    /// Number of reports. While it is zero, requests' contents aren't hashed.
    reports: AtomicUsize,
}

impl CrashReports {
    pub(crate) fn new() -> Self {
        let policy = CrashPolicy::builder().stop_at(CRASHES_TO_QUARANTINE).build();
        Self { tracker: CrashTracker::with_policy(policy), reports: AtomicUsize::new(0) }
    }

    fn has_reports(&self) -> bool {
        self.reports.load(Ordering::Relaxed) > 0
    }

    /// Whether a content is refused.
    pub(crate) fn is_quarantined(&self, content: impl FnOnce() -> ContentDigest) -> bool {
        self.has_reports() && self.tracker.is_stopped(content())
    }

    /// Records a report of this gateway or another one.
    pub(crate) fn record(&self, report: &CrashReport, now: ClockTime) {
        self.reports.fetch_add(1, Ordering::Relaxed);
        let verdict = self.tracker.record(report, now);
        log_event!(
            info,
            "crash-reported",
            content = report.content,
            upstream = report.upstream,
            stopped = matches!(verdict, CrashVerdict::Stopped | CrashVerdict::AlreadyStopped),
        );
    }
}

impl RequestContext {
    /// Identifies equal requests across all gateways.
    pub(crate) fn content(&self) -> ContentDigest {
        content_of(self.request.attributes.key.as_deref(), &self.head, &self.request.body)
    }

    /// Records that an upstream's connection broke before the response began, and reports it to the
    /// other gateways.
    pub(crate) fn report_crash(&self, upstream: &UpstreamName) {
        let report = CrashReport {
            content: self.content(),
            crash: RequestId::random(),
            upstream: upstream.clone(),
            attempt: AttemptNumber(self.sends),
        };
        self.state.crashes.record(&report, ClockTime::now());
        smol::spawn(broadcast(self.state.clone(), report)).detach();
    }

    /// Clears earlier crashes of this content after a complete response.
    pub(crate) fn clear_crashes(&self) {
        if self.state.crashes.has_reports() {
            self.state.crashes.tracker.record_success(self.content());
        }
    }
}

/// The digest of a request's caller key, method, target and body.
pub(crate) fn content_of(
    key: Option<&str>,
    head: &hyper::http::request::Parts,
    body: &[u8],
) -> ContentDigest {
    let target = format!("{} {} {}", key.unwrap_or_default(), head.method, head.uri);
    ContentDigest::of(&target, body)
}

async fn broadcast(state: Arc<GatewayState>, report: CrashReport) {
    for other in state.fleet.others(MemberRole::Entry, ClockTime::now()) {
        let request = PeerRequest::ReportCrash(report.clone());
        if let Err(error) = state.fleet.call(other.address, &request, REPORT_TIMEOUT).await {
            log_event!(warn, "crash-report-failed", to = other.instance, error = error);
        }
    }
}
