//! What a broken response says about its request.
//!
//! A crash, a lost response and a fault of the network break a connection alike. After a break the
//! gateway looks whether the upstream still accepts connections, and weighs breaks of upstreams that
//! do by how common they are.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagespool_claims::{BreakRate, SuccessLog};
use sagespool_forward::UpstreamRecord;
use sagespool_types::{ClockTime, ContentDigest, CrashWeight, UpstreamName};

use crate::pool::connect;
use crate::state::GatewayState;

/// Refused connections within this time are compared with the number of upstreams.
const REFUSAL_WINDOW: Duration = Duration::from_secs(2);

/// Whether an upstream still accepts connections after a response broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpstreamFinding {
    /// A new connection was accepted.
    Accepts,
    /// New connections are refused: its process has ended.
    Refuses,
    /// No reply: it can't be reached from here, or is very slow.
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

/// Looks whether an upstream still accepts connections. A connection that is opened for this goes to
/// the pool in place of the broken one.
pub(super) async fn examine(state: &GatewayState, upstream: &UpstreamRecord) -> UpstreamFinding {
    match connect(upstream).await {
        Ok(connection) => {
            state.pool.keep(&upstream.name, connection, ClockTime::now());
            UpstreamFinding::Accepts
        }
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => UpstreamFinding::Refuses,
        Err(_) => UpstreamFinding::Unknown,
    }
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
