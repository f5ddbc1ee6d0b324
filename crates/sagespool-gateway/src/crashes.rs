//! Requests that take down the upstreams that run them.
//!
//! A request may crash each upstream that begins to run it, and its caller sends it again, to any
//! gateway. Each gateway tells the others of connections that broke before an answer began; a
//! content that did so at several upstreams is refused everywhere.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sagespool_claims::{CrashBoard, CrashPolicy, CrashVerdict};
use sagespool_log::log_event;
use sagespool_messages::{CrashReport, MemberRole, PeerRequest};
use sagespool_types::{AttemptNumber, ClockTime, ContentDigest, RequestId, UpstreamName};

use crate::flight::Flight;
use crate::state::GatewayState;

/// A lost answer looks like a crash, and a caller's second try may lose its answer too: two say
/// nothing yet.
const CRASHES_TO_STOP: usize = 3;
const REPORT_LIMIT: Duration = Duration::from_millis(300);

/// What is known of crashes.
pub(crate) struct CrashDesk {
    board: CrashBoard,
    /// Reports so far: without any, no request's content has to be looked at.
    reports: AtomicUsize,
}

impl CrashDesk {
    pub(crate) fn new() -> Self {
        let policy = CrashPolicy::builder().stop_at(CRASHES_TO_STOP).build();
        Self { board: CrashBoard::with_policy(policy), reports: AtomicUsize::new(0) }
    }

    fn has_reports(&self) -> bool {
        self.reports.load(Ordering::Relaxed) > 0
    }

    /// Whether a content must not run anywhere.
    pub(crate) fn stops(&self, content: impl FnOnce() -> ContentDigest) -> bool {
        self.has_reports() && self.board.stopped(content())
    }

    /// Takes a report, a gateway's own or another's.
    pub(crate) fn record(&self, report: &CrashReport, now: ClockTime) {
        self.reports.fetch_add(1, Ordering::Relaxed);
        let verdict = self.board.record(report, now);
        log_event!(
            info,
            "crash-reported",
            content = report.content,
            upstream = report.upstream,
            stopped = matches!(verdict, CrashVerdict::Stopped | CrashVerdict::AlreadyStopped),
        );
    }
}

impl Flight {
    /// What makes two requests the same, whoever takes them in.
    pub(crate) fn content(&self) -> ContentDigest {
        content_of(self.request.demand.key.as_deref(), &self.head, &self.request.body)
    }

    /// Notes that an upstream's connection broke before its answer began, here and at the others.
    pub(crate) fn report_crash(&self, upstream: &UpstreamName) {
        let report = CrashReport {
            content: self.content(),
            crash: RequestId::random(),
            upstream: upstream.clone(),
            attempt: AttemptNumber(self.sends),
        };
        self.state.crashes.record(&report, ClockTime::now());
        smol::spawn(spread(self.state.clone(), report)).detach();
    }

    /// Notes that it came through whole: it takes no upstream down.
    pub(crate) fn clear_crashes(&self) {
        if self.state.crashes.has_reports() {
            self.state.crashes.board.completed(self.content());
        }
    }
}

/// The content of a request: its caller, its target and its body.
pub(crate) fn content_of(
    key: Option<&str>,
    head: &hyper::http::request::Parts,
    body: &[u8],
) -> ContentDigest {
    let target = format!("{} {} {}", key.unwrap_or_default(), head.method, head.uri);
    ContentDigest::of(&target, body)
}

async fn spread(state: Arc<GatewayState>, report: CrashReport) {
    for other in state.fleet.others(MemberRole::Entry, ClockTime::now()) {
        let request = PeerRequest::ReportCrash(report.clone());
        if let Err(error) = state.fleet.ask(other.address, &request, REPORT_LIMIT).await {
            log_event!(warn, "crash-untold", to = other.instance, error = error);
        }
    }
}
