//! Quarantine of requests that crash upstreams.
//!
//! A request may crash every upstream that runs it, and its caller may retry it at any gateway.
//! Each gateway reports connections that broke before the response was complete to two collectors,
//! chosen by the request's content. When a content has done so at several upstreams, they send its reports
//! to all gateways, which refuse it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use sagespool_claims::{CrashNote, CrashPolicy, CrashTracker, CrashVerdict};
use sagespool_log::log_event;
use sagespool_messages::{CrashReport, MemberInfo, MemberRole, PeerRequest, QuarantineNotice};
use sagespool_types::{AttemptNumber, ClockTime, ContentDigest, RequestId, UpstreamName};

use crate::context::RequestContext;
use crate::state::GatewayState;

/// Crashes until a content is refused. A lost response looks like a crash, and the caller's retry
/// may lose its response too, so two aren't sufficient evidence.
const CRASHES_TO_QUARANTINE: usize = 3;
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Gateways that collect the reports of a content.
const COLLECTORS: usize = 2;
/// Gateways to which the reports of a quarantined content are sent at the same time.
const CONCURRENT_SENDS: usize = 8;

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

    /// Records a report of this gateway or another one. True if it quarantines the content.
    fn record(&self, report: &CrashReport, now: ClockTime) -> bool {
        self.reports.fetch_add(1, Ordering::Relaxed);
        let verdict = self.tracker.record(report, now);
        log_event!(
            info,
            "crash-reported",
            content = report.content,
            upstream = report.upstream,
            stopped = matches!(verdict, CrashVerdict::Stopped | CrashVerdict::AlreadyStopped),
        );
        verdict == CrashVerdict::Stopped
    }

    /// Quarantines a content by a collector's notice.
    pub(crate) fn apply_notice(&self, notice: &QuarantineNotice, now: ClockTime) {
        self.reports.fetch_add(1, Ordering::Relaxed);
        let stopped = self.tracker.stop(notice, now);
        log_event!(info, "content-quarantined", content = notice.content, stopped = stopped);
    }

    /// The notice of a quarantined content.
    fn notice_of(&self, content: ContentDigest) -> QuarantineNotice {
        let suspects = self.tracker.list();
        let suspect = suspects.into_iter().find(|suspect| suspect.content == content);
        let notes = suspect.into_iter().flat_map(|suspect| suspect.crashes);
        let report = |note: CrashNote| CrashReport {
            content,
            crash: note.request,
            upstream: note.upstream,
            attempt: note.attempt,
        };
        QuarantineNotice { content, reports: notes.map(report).collect() }
    }
}

impl RequestContext {
    /// Identifies equal requests across all gateways.
    pub(crate) fn content(&self) -> ContentDigest {
        content_of(self.request.attributes.key.as_deref(), &self.head, &self.request.body)
    }

    /// Whether its content has been quarantined, perhaps since it was admitted.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.state.crashes.is_quarantined(|| self.content())
    }

    /// Records that an upstream's connection broke before the response was complete, and reports it
    /// to the content's collectors.
    pub(crate) fn report_break(&self, upstream: &UpstreamName, cause: &str) {
        let report = CrashReport {
            content: self.content(),
            crash: RequestId::random(),
            upstream: upstream.clone(),
            attempt: AttemptNumber(self.sends),
        };
        log_event!(
            warn,
            "response-broken",
            request = self.request.attributes.request,
            content = report.content,
            upstream = upstream,
            cause = cause,
            events = self.log.events,
        );
        record_report(&self.state, &report, ClockTime::now());
        smol::spawn(send_to_collectors(self.state.clone(), report)).detach();
    }

    /// Clears earlier crashes of this content after a complete response.
    pub(crate) fn clear_crashes(&self) {
        if !self.state.crashes.has_reports() {
            return;
        }
        let content = self.content();
        if self.state.crashes.tracker.is_suspect(content) {
            let stopped = self.state.crashes.tracker.record_success(content);
            let request = &self.request.attributes.request;
            log_event!(
                info,
                "crashes-cleared",
                request = request,
                content = content,
                stopped = stopped
            );
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

/// Records a report. If it quarantines the content and this gateway is one of its collectors, all
/// other gateways get the content's reports.
///
/// Guards against a crash of upstreams that keeps every gateway busy. With each report sent to all
/// others, an upstream that failed with twenty requests in flight cost a fleet of 384 gateways 7,660
/// calls, most of them over new connections.
pub(crate) fn record_report(state: &Arc<GatewayState>, report: &CrashReport, now: ClockTime) {
    if !state.crashes.record(report, now) {
        return;
    }
    let collectors = collectors(state, report.content, now);
    if collectors.iter().any(|collector| collector.incarnation == state.fleet.run) {
        smol::spawn(announce(state.clone(), report.content)).detach();
    }
}

fn collectors(state: &GatewayState, content: ContentDigest, now: ClockTime) -> Vec<MemberInfo> {
    state.fleet.members.homes_of_subject(&content.to_string(), COLLECTORS, now)
}

async fn send_to_collectors(state: Arc<GatewayState>, report: CrashReport) {
    let collectors = collectors(&state, report.content, ClockTime::now());
    let request = PeerRequest::ReportCrash(report);
    for collector in collectors {
        if collector.incarnation != state.fleet.run {
            send_report(&state, &collector, &request).await;
        }
    }
}

/// Sends the reports of a quarantined content to all other gateways.
async fn announce(state: Arc<GatewayState>, content: ContentDigest) {
    let request = PeerRequest::Quarantine(state.crashes.notice_of(content));
    let others = state.fleet.others(MemberRole::Entry, ClockTime::now());
    for group in others.chunks(CONCURRENT_SENDS) {
        join_all(group.iter().map(|other| send_report(&state, other, &request))).await;
    }
}

async fn send_report(state: &GatewayState, recipient: &MemberInfo, request: &PeerRequest) {
    if let Err(error) = state.fleet.call(recipient.address, request, REPORT_TIMEOUT).await {
        log_event!(warn, "crash-report-failed", to = recipient.instance, error = error);
    }
}
