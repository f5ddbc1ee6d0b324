//! Quarantine of requests that crash upstreams.
//!
//! A request may crash every upstream that runs it, and its caller may retry it at any gateway. It may
//! do so because of a part of its prompt that other requests share. Each gateway reports responses that
//! broke to two collectors, chosen by the request's content or by the part, with the weight of the
//! [evidence]. When the reports of a content reach the weight of three crashes, it is [stored] as
//! quarantined, and all gateways refuse it. A run that succeeds withdraws the reports of its content
//! and its parts, and lifts their quarantines.

mod evidence;
mod stored;
mod trials;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Sender, bounded};
use futures_util::future::join_all;
use sagespool_claims::{CrashNote, CrashPolicy, CrashTracker, CrashVerdict, part_weight};
use sagespool_forward::{RequestAttributes, UpstreamRecord};
use sagespool_link::within;
use sagespool_log::log_event;
use sagespool_messages::{
    ContentCrashes, CrashReport, MemberInfo, MemberRole, PeerReply, PeerRequest,
};
use sagespool_types::{
    AttemptNumber, BranchName, ClockTime, ContentDigest, CrashWeight, RequestId, UpstreamName,
};
use smol::Timer;

use crate::context::RequestContext;
use crate::state::GatewayState;
use evidence::{BreakEvidence, UpstreamFinding, examine};
use stored::StoredQuarantine;
use trials::QuarantineTrials;

pub(crate) use stored::{follow_quarantine, save_quarantine};
pub(crate) use trials::consider_trial;

/// Crashes until a content is refused. A lost response looks like a crash, and the caller's retry
/// may lose its response too, so two aren't sufficient evidence.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Maximum number of contents kept: 2,000 of about 500 bytes are 1 MB.
const MAX_SUSPECTS: usize = 2000;
/// Lighter reports aren't sent: where that many responses break, those of one content at several
/// gateways say nothing.
const MIN_REPORTED_WEIGHT: CrashWeight = CrashWeight(250);
/// Longest time for which a failed attempt waits for the examination of its upstream, so that neither
/// a retry nor its caller's next request is ahead of the verdict.
const EXAMINATION_WAIT: Duration = Duration::from_millis(50);
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
const REPORT_TRIES: usize = 2;
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of parts of a prompt whose crashes are counted, from its beginning.
const MAX_PARTS: usize = 32;
/// Gateways that collect the reports of a content.
const COLLECTORS: usize = 2;
/// Relays that collect the reports of a content.
const RELAY_COLLECTORS: usize = 1;
/// Gateways that are asked for a success of a part before it is quarantined.
const ASKED_GATEWAYS: usize = 8;
/// Gateways to which the reports of a quarantined content are sent at the same time.
const CONCURRENT_SENDS: usize = 8;

/// Crash reports of this gateway and of others, by request content.
pub(crate) struct CrashReports {
    tracker: CrashTracker,
    evidence: BreakEvidence,
    stored: StoredQuarantine,
    trials: QuarantineTrials,
    /// Number of contents with a report or a break under examination. While it is zero, requests'
    /// contents aren't hashed.
    watched: AtomicUsize,
}

impl CrashReports {
    pub(crate) fn new() -> Self {
        let policy = CrashPolicy::builder().stop_at(CRASHES_TO_QUARANTINE).blames_stopped(true);
        let tracker = CrashTracker::with_policy(policy.max_suspects(MAX_SUSPECTS).build());
        Self {
            tracker,
            evidence: BreakEvidence::default(),
            stored: StoredQuarantine::default(),
            trials: QuarantineTrials::default(),
            watched: AtomicUsize::new(0),
        }
    }

    fn is_watching(&self) -> bool {
        self.watched.load(Ordering::Relaxed) > 0
    }

    /// The quarantined contents because of which a request with these digests is refused.
    fn find_stopped(
        &self,
        digests: impl FnOnce() -> BTreeSet<ContentDigest>,
    ) -> BTreeSet<ContentDigest> {
        match self.is_watching() {
            true => self.tracker.find_stopped(&digests()),
            false => BTreeSet::new(),
        }
    }

    /// The same for a request that isn't sent yet: it may become a trial.
    pub(crate) fn find_quarantined(
        &self,
        digests: impl FnOnce() -> BTreeSet<ContentDigest>,
    ) -> BTreeSet<ContentDigest> {
        let stopped = self.find_stopped(digests);
        match self.trials.covers(&stopped) {
            true => BTreeSet::new(),
            false => stopped,
        }
    }

    /// The number of contents that are refused.
    pub(crate) fn count_quarantined(&self) -> usize {
        self.tracker.count_stopped()
    }

    /// How long ago a run of a content last succeeded here.
    pub(crate) fn success_age(&self, content: ContentDigest, now: ClockTime) -> Option<Duration> {
        self.evidence.success_age(content, now)
    }

    /// Counts a request sent to an upstream.
    pub(crate) fn note_send(&self, now: ClockTime) {
        self.evidence.note_send(now);
    }

    /// Applies the effects of a change of the tracker.
    fn apply_tracker_change(&self) {
        for content in self.tracker.take_explained() {
            self.stored.request_lift(content);
        }
        let count = self.tracker.count() + self.evidence.count();
        self.watched.store(count, Ordering::Relaxed);
    }

    /// Records a report of this gateway or another one. True if the quarantine of its content must be
    /// written.
    fn record(&self, report: &CrashReport, now: ClockTime) -> bool {
        let verdict = self.tracker.record(report, now);
        self.apply_tracker_change();
        log_event!(
            info,
            "crash-reported",
            content = report.content,
            upstream = report.upstream,
            weight = report.weight,
            verdict = verdict.as_str(),
        );
        matches!(verdict, CrashVerdict::Stopped | CrashVerdict::Widened)
    }

    /// Records all reports that another gateway knows. True if the quarantine of their content must be
    /// written.
    fn merge(&self, known: &ContentCrashes, now: ClockTime) -> bool {
        let before = self.tracker.notes_of(known.content);
        let fresh = known.reports.iter().filter(|report| !before.contains(&CrashNote::of(report)));
        let verdicts: Vec<bool> = fresh.map(|report| self.record(report, now)).collect();
        verdicts.contains(&true)
    }

    /// Quarantines a content that another gateway has quarantined. False if a run of it has succeeded
    /// here lately; it is then lifted for all.
    ///
    /// Guards against the refusal of a harmless content whose responses were lost, each at another
    /// gateway: only those gateways withdraw their reports after a success.
    pub(crate) fn apply_quarantine(&self, stopped: &ContentCrashes, now: ClockTime) -> bool {
        let succeeded = self.evidence.succeeded_lately(stopped.content, now);
        let agreed = !succeeded && self.tracker.stop(stopped, now);
        self.apply_tracker_change();
        if !agreed {
            self.stored.request_lift(stopped.content);
        }
        agreed
    }

    /// Withdraws reports, since a run of their content has succeeded at another gateway.
    pub(crate) fn withdraw(&self, withdrawn: &ContentCrashes) {
        let lifted = self.tracker.withdraw(withdrawn);
        self.apply_tracker_change();
        if lifted {
            self.stored.request_lift(withdrawn.content);
        }
        log_event!(
            info,
            "crashes-withdrawn",
            content = withdrawn.content,
            reports = withdrawn.reports.len(),
            lifted = lifted,
        );
    }
}

/// A response that broke before it was complete.
struct BrokenResponse {
    content: ContentDigest,
    parts: BTreeSet<ContentDigest>,
    /// True if events of it were forwarded.
    has_events: bool,
    upstream: UpstreamRecord,
    attempt: AttemptNumber,
}

impl RequestContext {
    /// Identifies equal requests across all gateways.
    pub(crate) fn content(&self) -> ContentDigest {
        *self.content.get_or_init(|| {
            let key = self.request.attributes.key.as_deref();
            content_of(self.request.branch.as_ref(), key, &self.head, &self.request.body)
        })
    }

    /// Whether it may be sent: its content and the parts of its prompt aren't quarantined, perhaps since
    /// it was admitted, or it is their trial. A trial is used up by it.
    pub(crate) fn may_send(&self) -> bool {
        let crashes = &self.state.crashes;
        let attributes = &self.request.attributes;
        let stopped = crashes.find_stopped(|| digests_of(self.content(), attributes));
        if stopped.is_empty() {
            return true;
        }
        let is_trial = crashes.trials.take(&stopped);
        log_quarantined(attributes, &stopped, is_trial);
        is_trial
    }

    /// The upstreams on which its content broke. Another break on one of them says nothing about the
    /// content that isn't known, and a success elsewhere clears it.
    pub(crate) fn suspect_upstreams(&self) -> Vec<UpstreamName> {
        if !self.state.crashes.is_watching() {
            return Vec::new();
        }
        let known = self.state.crashes.tracker.notes_of(self.content());
        known.into_iter().map(|note| note.upstream).collect()
    }

    /// Records that an upstream's connection broke before the response was complete. If it may be the
    /// content's fault, it is reported to the content's collectors. Returns when it is recorded here,
    /// or after [`EXAMINATION_WAIT`].
    pub(crate) async fn report_break(&self, upstream: &UpstreamRecord, cause: &str) {
        let broken = BrokenResponse {
            content: self.content(),
            parts: shared_parts(&self.request.attributes).collect(),
            has_events: self.log.events > 0,
            upstream: upstream.clone(),
            attempt: AttemptNumber(self.sends),
        };
        log_event!(
            warn,
            "response-broken",
            request = self.request.attributes.request,
            content = broken.content,
            upstream = upstream.name,
            cause = cause,
            events = self.log.events,
            parts = name_parts(&self.request.attributes),
        );
        self.state.crashes.evidence.begin(broken.content);
        self.state.crashes.apply_tracker_change();
        let (recorded, wait) = bounded(1);
        smol::spawn(report_broken(self.state.clone(), broken, recorded)).detach();
        let _ = within(EXAMINATION_WAIT, wait.recv()).await;
    }

    /// Withdraws the reports of this content and of the parts of its prompt after a run that wrote a
    /// whole answer.
    pub(crate) fn clear_crashes(&self, now: ClockTime) {
        self.clear_content_crashes(now);
        for part in shared_parts(&self.request.attributes) {
            self.state.crashes.evidence.note_success(part, now);
            self.withdraw_crashes(part, now);
        }
    }

    /// Withdraws the reports of this content after a run that succeeded.
    pub(crate) fn clear_content_crashes(&self, now: ClockTime) {
        if self.state.crashes.is_watching() {
            self.state.crashes.evidence.note_success(self.content(), now);
            self.withdraw_crashes(self.content(), now);
        }
    }

    fn withdraw_crashes(&self, content: ContentDigest, now: ClockTime) {
        let crashes = &self.state.crashes;
        if !crashes.is_watching() {
            return;
        }
        let known = crashes.tracker.crashes_of(content, now);
        if known.reports.is_empty() {
            return;
        }
        let stopped = crashes.tracker.record_success(content);
        crashes.apply_tracker_change();
        if stopped {
            crashes.stored.request_lift(content);
        }
        log_event!(
            info,
            "crashes-cleared",
            request = self.request.attributes.request,
            content = content,
            reports = known.reports.len(),
            stopped = stopped,
        );
        smol::spawn(send_withdrawal(self.state.clone(), known)).detach();
    }
}

/// The digest of a request's caller, method, target and body. The caller is the client account, whose
/// keys may change, or the key on routes without accounts.
pub(crate) fn content_of(
    branch: Option<&BranchName>,
    key: Option<&str>,
    head: &hyper::http::request::Parts,
    body: &[u8],
) -> ContentDigest {
    let caller = branch.map(BranchName::as_str).or(key).unwrap_or_default();
    let target = format!("{caller} {} {}", head.method, head.uri);
    ContentDigest::of(&target, body)
}

/// The parts of a prompt that other requests may share: all but the last.
fn shared_parts(attributes: &RequestAttributes) -> impl Iterator<Item = ContentDigest> {
    let parts = attributes.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    parts.iter().take(MAX_PARTS).map(|part| ContentDigest::of_part(part.id))
}

/// The digests of a request by which crashes are counted.
pub(crate) fn digests_of(
    content: ContentDigest,
    attributes: &RequestAttributes,
) -> BTreeSet<ContentDigest> {
    shared_parts(attributes).chain([content]).collect()
}

/// The ids of the parts that other requests may share, as callers name them.
fn name_parts(attributes: &RequestAttributes) -> String {
    let ids: Vec<String> = shared_parts(attributes).map(name_part).collect();
    ids.join(",")
}

/// The id of a part as callers name it; empty for the digest of a request.
fn name_part(content: ContentDigest) -> String {
    content.part_id().map_or_else(String::new, |id| format!("{id:x}"))
}

/// Logs because of what a request is refused, or is a trial.
pub(crate) fn log_quarantined(
    attributes: &RequestAttributes,
    stopped: &BTreeSet<ContentDigest>,
    is_trial: bool,
) {
    for content in stopped {
        log_event!(
            info,
            "request-quarantined",
            request = attributes.request,
            content = content,
            part = name_part(*content),
            trial = is_trial,
        );
    }
}

/// Whether an upstream's process runs, as far as it can be shown.
pub(crate) async fn is_running(state: &GatewayState, upstream: &UpstreamRecord) -> bool {
    examine(state, upstream).await == UpstreamFinding::Accepts
}

/// Weighs a broken response and reports it; drops `recorded` once it counts here.
async fn report_broken(state: Arc<GatewayState>, broken: BrokenResponse, recorded: Sender<()>) {
    let BrokenResponse { content, parts, has_events, upstream, attempt } = broken;
    let finding = examine(&state, &upstream).await;
    let now = ClockTime::now();
    state.crashes.evidence.end(content);
    let succeeded = state.crashes.evidence.succeeded_lately(content, now);
    let known = state.upstreams().count();
    let weight = state.crashes.evidence.weigh(content, &upstream.name, finding, known, now);
    state.crashes.apply_tracker_change();
    state.metrics.count_break(finding.as_str());
    let parts = state.crashes.evidence.suspect_parts(&parts, &upstream.name, now);
    log_event!(
        info,
        "break-examined",
        content = content,
        upstream = upstream.name,
        finding = finding.as_str(),
        weight = weight,
        succeeded = succeeded,
        suspect_parts = parts.len(),
    );
    let part_weight = part_weight(weight, has_events);
    let mut suspects: Vec<_> = parts.iter().map(|part| (*part, part_weight)).collect();
    // A content that succeeds here doesn't take down whatever runs it.
    if !succeeded {
        suspects.push((content, weight));
    }
    let crash = RequestId::random();
    let digests: BTreeSet<ContentDigest> = parts.iter().copied().chain([content]).collect();
    for (suspect, weight) in &suspects {
        let company = digests.iter().copied().filter(|digest| digest != suspect).collect();
        let upstream = upstream.name.clone();
        let report = CrashReport {
            content: *suspect,
            crash,
            upstream,
            attempt,
            weight: *weight,
            company,
            age: Duration::ZERO,
        };
        if state.crashes.record(&report, now) {
            state.crashes.stored.request_save();
        }
    }
    drop(recorded);
    let reported = suspects.iter().filter(|(_, weight)| *weight >= MIN_REPORTED_WEIGHT);
    join_all(reported.map(|(suspect, _)| send_reports(&state, *suspect))).await;
}

/// Records the reports that another gateway knows, and returns all that are known here. If they
/// quarantine the content, it is written to the store.
///
/// Guards against a crash of upstreams that keeps every gateway busy. With each report sent to all
/// others, an upstream that failed with twenty requests in flight cost a fleet of 384 gateways 7,660
/// calls, most of them over new connections.
pub(crate) fn record_reports(
    state: &GatewayState,
    known: &ContentCrashes,
    now: ClockTime,
) -> ContentCrashes {
    if state.crashes.merge(known, now) {
        state.crashes.stored.request_save();
    }
    state.crashes.tracker.crashes_of(known.content, now)
}

/// The processes that collect the reports of a content: two gateways, and a relay.
///
/// Guards against a content that is never quarantined, since all gateways restart between two of its
/// crashes and forget the earlier ones.
fn collectors(state: &GatewayState, content: ContentDigest, now: ClockTime) -> Vec<MemberInfo> {
    let (subject, members) = (content.to_string(), &state.fleet.members);
    let mut found = members.homes_of_subject(&subject, COLLECTORS, now);
    found.retain(|collector| collector.incarnation != state.fleet.run);
    found.extend(members.sidecars_of_subject(&subject, RELAY_COLLECTORS, now));
    found
}

/// Withdraws the reports of a content whose quarantine was lifted from its relay, which doesn't follow
/// the store.
async fn clear_relay(state: &GatewayState, lifted: ContentCrashes) {
    let subject = lifted.content.to_string();
    let members = &state.fleet.members;
    let relays = members.sidecars_of_subject(&subject, RELAY_COLLECTORS, ClockTime::now());
    let request = PeerRequest::WithdrawCrashes(lifted);
    for relay in relays {
        send(state, &relay, &request).await;
    }
}

/// Sends all known reports of a content to its collectors. They may have lost earlier ones, and each
/// gateway that reports brings those of the other collector along.
async fn send_reports(state: &Arc<GatewayState>, content: ContentDigest) {
    for collector in collectors(state, content, ClockTime::now()) {
        let known = state.crashes.tracker.crashes_of(content, ClockTime::now());
        let request = PeerRequest::ReportCrashes(known);
        if let Some(PeerReply::Crashes(known)) = send(state, &collector, &request).await {
            state.metrics.count_crash_report(collector.role);
            state.crashes.merge(&known, ClockTime::now());
        }
    }
}

async fn send_withdrawal(state: Arc<GatewayState>, withdrawn: ContentCrashes) {
    let collectors = collectors(&state, withdrawn.content, ClockTime::now());
    let request = PeerRequest::WithdrawCrashes(withdrawn);
    for collector in collectors {
        send(&state, &collector, &request).await;
    }
}

/// Withdraws the reports of a part if a run of it has succeeded at some gateway since its first crash.
///
/// Guards against the refusal of a harmless part that was in flight at several crashes: most of its
/// successes are at gateways that have no report of it, and don't withdraw any.
async fn clear_harmless_part(state: &Arc<GatewayState>, part: ContentDigest) {
    let mut others = state.fleet.others(MemberRole::Entry, ClockTime::now());
    others.truncate(ASKED_GATEWAYS);
    let request = PeerRequest::FindSuccess(part);
    let ask = async |other: &MemberInfo| match state
        .fleet
        .call(other.address, &request, REPORT_TIMEOUT)
        .await
    {
        Ok(PeerReply::Success(age)) => age,
        _ => None,
    };
    let ages = join_all(others.iter().map(ask)).await;
    let last = ages.into_iter().flatten().min();
    let crashes = &state.crashes;
    let now = ClockTime::now();
    let first_crash = crashes.tracker.first_crash_age(part, now);
    if first_crash.zip(last).is_some_and(|(crash, success)| success < crash) {
        let known = crashes.tracker.crashes_of(part, now);
        log_event!(info, "part-harmless", part = name_part(part), reports = known.reports.len());
        crashes.tracker.record_success(part);
        crashes.apply_tracker_change();
        send_withdrawal(state.clone(), known).await;
    }
}

/// Sends the reports of a quarantined content to all other gateways, while the store doesn't.
async fn announce(state: Arc<GatewayState>, content: ContentDigest) {
    let known = state.crashes.tracker.crashes_of(content, ClockTime::now());
    let request = PeerRequest::Quarantine(known);
    let others = state.fleet.others(MemberRole::Entry, ClockTime::now());
    for group in others.chunks(CONCURRENT_SENDS) {
        join_all(group.iter().map(|other| send(&state, other, &request))).await;
    }
}

/// Sends a message; `None` and a log line if it fails again and again.
async fn send(
    state: &GatewayState,
    recipient: &MemberInfo,
    request: &PeerRequest,
) -> Option<PeerReply> {
    let mut failure = String::new();
    for number in 0..REPORT_TRIES {
        if number > 0 {
            Timer::after(RETRY_DELAY).await;
        }
        match state.fleet.call(recipient.address, request, REPORT_TIMEOUT).await {
            Ok(reply) => return Some(reply),
            Err(error) => failure = error.to_string(),
        }
    }
    log_event!(warn, "crash-report-failed", to = recipient.instance, error = failure);
    None
}
