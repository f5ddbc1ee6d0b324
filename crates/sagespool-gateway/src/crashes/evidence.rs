//! What a broken response says about its request.
//!
//! A crash, a lost response and a fault of the network break a connection alike. After a break the
//! gateway asks whether the upstream still runs, and weighs breaks of upstreams that do by how common
//! they are.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::body::{Body, Bytes};
use hyper::header::{HOST, HeaderValue};
use sagespool_claims::{BreakRate, SuccessLog};
use sagespool_forward::UpstreamRecord;
use sagespool_link::within;
use sagespool_types::{ClockTime, ContentDigest, CrashWeight, RequestId, UpstreamName};
use smol::Timer;

use crate::pipeline::closes_connection;
use crate::pool::{UpstreamConnection, connect};
use crate::state::GatewayState;

/// Refused connections within this time are compared with the number of upstreams.
const REFUSAL_WINDOW: Duration = Duration::from_secs(2);
/// Connections that are opened until one is refused or brings a reply.
const PROBE_ATTEMPTS: u32 = 4;
/// Pause between two of them. The end of a process with hundreds of connections takes some milliseconds.
const PROBE_PAUSE: Duration = Duration::from_millis(25);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether an upstream still runs after a response ended or broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpstreamFinding {
    /// It has replied on a new connection, or holds it open.
    Accepts,
    /// New connections are refused, or lead to another upstream: its process has ended.
    Refuses,
    /// It can't be reached from here, or closes each new connection.
    Unknown,
}

impl UpstreamFinding {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Accepts => "accepts",
            Self::Refuses => "refuses",
            Self::Unknown => "unknown",
        }
    }
}

/// Asks an upstream whether it runs.
///
/// An accepted connection is no proof: while a process with hundreds of connections ends, its listening
/// socket may be the last to close. A connection that was accepted then is closed without a reply, and
/// the next one is refused. An upstream that has too many connections closes new ones too, but doesn't
/// refuse them.
pub(super) async fn examine(state: &GatewayState, upstream: &UpstreamRecord) -> UpstreamFinding {
    for attempt in 0..PROBE_ATTEMPTS {
        if attempt > 0 {
            Timer::after(PROBE_PAUSE).await;
        }
        let connection = match connect(upstream).await {
            Ok(connection) => connection,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                return UpstreamFinding::Refuses;
            }
            Err(_) => return UpstreamFinding::Unknown,
        };
        if let Some(finding) = ask(state, upstream, connection).await {
            return finding;
        }
    }
    UpstreamFinding::Unknown
}

/// Asks an upstream whether it runs on a new connection, which goes to the pool after a reply. `None` if
/// it is closed without one.
async fn ask(
    state: &GatewayState,
    upstream: &UpstreamRecord,
    mut connection: UpstreamConnection,
) -> Option<UpstreamFinding> {
    let index = state.plan();
    let service = index.as_ref().and_then(|index| index.service(&upstream.service));
    let Some(path) = service.and_then(|service| service.health_path.clone()) else {
        state.pool.keep(&upstream.name, connection, ClockTime::now());
        return Some(UpstreamFinding::Accepts);
    };
    let id = RequestId::random().to_string();
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    *request.headers_mut() = (state.dialect.write_probe_headers)(&upstream.name, &id);
    let host = HeaderValue::from_str(&upstream.address.to_string());
    request.headers_mut().insert(HOST, host.expect("an address is a valid header value"));
    let Some(sent) = within(PROBE_TIMEOUT, connection.sender.send_request(request)).await else {
        // An upstream without a free slot replies late. The kernel closes the connections of a process
        // that has ended within milliseconds.
        return Some(UpstreamFinding::Accepts);
    };
    let (mut head, body) = sent.ok()?.into_parts();
    let metadata = (state.dialect.read_response_metadata)(head.status, &mut head.headers);
    let is_other = metadata.upstream.is_some_and(|name| name != upstream.name.as_str());
    if metadata.misdirected || is_other {
        return Some(UpstreamFinding::Refuses);
    }
    if body.is_end_stream() && !closes_connection(&head) {
        state.pool.keep(&upstream.name, connection, ClockTime::now());
    }
    Some(UpstreamFinding::Accepts)
}

/// The number of breaks under examination, by content.
type ExaminedContents = BTreeMap<ContentDigest, usize>;

/// The recent breaks, refused connections and successes of this gateway.
#[derive(Debug, Default)]
pub(super) struct BreakEvidence {
    rate: Mutex<BreakRate>,
    refusals: Mutex<VecDeque<(ClockTime, UpstreamName)>>,
    examined: Mutex<ExaminedContents>,
    successes: Mutex<SuccessLog>,
    part_successes: Mutex<SuccessLog>,
}

impl BreakEvidence {
    fn rate(&self) -> MutexGuard<'_, BreakRate> {
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The successes of a request's content, or of the part of prompts that it is.
    fn successes(&self, content: ContentDigest) -> MutexGuard<'_, SuccessLog> {
        let successes = match content.part_id() {
            None => &self.successes,
            Some(_) => &self.part_successes,
        };
        successes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn examined(&self) -> MutexGuard<'_, ExaminedContents> {
        self.examined.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn note_send(&self, now: ClockTime) {
        self.rate().note_send(now);
    }

    /// The number of contents under examination.
    pub(super) fn count(&self) -> usize {
        self.examined().len()
    }

    /// Starts the examination of a break.
    pub(super) fn begin(&self, content: ContentDigest) {
        *self.examined().entry(content).or_default() += 1;
    }

    /// Ends the examination of a break.
    pub(super) fn end(&self, content: ContentDigest) {
        let mut examined = self.examined();
        let Some(breaks) = examined.get_mut(&content) else { return };
        *breaks -= 1;
        if *breaks == 0 {
            examined.remove(&content);
        }
    }

    /// Records a run that succeeded.
    pub(super) fn note_success(&self, content: ContentDigest, now: ClockTime) {
        self.successes(content).record(content, now);
    }

    /// Whether a run of the content has succeeded so lately that it is harmless whatever other
    /// gateways report.
    pub(super) fn succeeded_lately(&self, content: ContentDigest, now: ClockTime) -> bool {
        self.successes(content).is_recent(content, now)
    }

    /// How long ago a run of the content last succeeded here.
    pub(super) fn success_age(&self, content: ContentDigest, now: ClockTime) -> Option<Duration> {
        self.successes(content).age(content, now)
    }

    /// The parts of a prompt whose run has broken at an upstream that aren't known to be harmless.
    pub(super) fn suspect_parts(
        &self,
        parts: &BTreeSet<ContentDigest>,
        upstream: &UpstreamName,
        now: ClockTime,
    ) -> BTreeSet<ContentDigest> {
        let is_harmless =
            |part: ContentDigest| self.successes(part).outweigh_break(part, upstream, now);
        parts.iter().copied().filter(|part| !is_harmless(*part)).collect()
    }

    /// How much a break counts as a crash, with `known` upstreams in all.
    pub(super) fn weigh(
        &self,
        content: ContentDigest,
        upstream: &UpstreamName,
        finding: UpstreamFinding,
        known: usize,
        now: ClockTime,
    ) -> CrashWeight {
        if finding == UpstreamFinding::Refuses && !self.refused_by_most(upstream, known, now) {
            return CrashWeight::FULL;
        }
        let mut rate = self.rate();
        rate.note_break(content, now);
        rate.weight_of(content, now)
    }

    /// Records a refused connection. True if most upstreams have refused one lately: then this
    /// gateway's network is at fault, not they.
    fn refused_by_most(&self, upstream: &UpstreamName, known: usize, now: ClockTime) -> bool {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        refusals.retain(|(at, name)| now.since(*at) < REFUSAL_WINDOW && name != upstream);
        refusals.push_back((now, upstream.clone()));
        let refused: BTreeSet<&UpstreamName> = refusals.iter().map(|(_, name)| name).collect();
        refused.len() > 1 && 2 * refused.len() > known
    }
}
