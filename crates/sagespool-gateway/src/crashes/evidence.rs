//! What a broken response says about its request.
//!
//! A crash, a lost response and a fault of the network break a connection alike. After a break the
//! gateway looks whether the upstream still accepts connections, and weighs breaks of upstreams that
//! do by how common they are.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagespool_claims::BreakRate;
use sagespool_forward::UpstreamRecord;
use sagespool_types::{ClockTime, ContentDigest, CrashWeight, UpstreamName};

use crate::pool::connect;
use crate::state::GatewayState;

/// Refused connections within this time are compared with the number of upstreams.
const REFUSAL_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a success speaks against other gateways' reports of its content.
const SUCCESS_WINDOW: Duration = Duration::from_secs(30);
/// The same for a part of prompts. It is in many requests, so that its success is mostly recent, and it
/// may have become harmful after an earlier one.
const PART_SUCCESS_WINDOW: Duration = Duration::from_secs(5);
/// A success isn't recorded again within this time.
const SUCCESS_RESOLUTION: Duration = Duration::from_secs(1);
/// Maximum number of successes kept, in 0.4 MB; the oldest are dropped first.
const MAX_SUCCESSES: usize = 4096;
/// Weight of a break after events of the run: the run didn't crash its upstream as it began to write.
const BEGUN_RUN_WEIGHT: f64 = 0.6;

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

#[derive(Debug)]
struct RunSuccess {
    at: ClockTime,
    /// The first upstream at which a run of the content has broken since.
    broken_at: Option<UpstreamName>,
}

/// When runs of contents last succeeded.
#[derive(Debug, Default)]
struct RecentSuccesses {
    times: BTreeMap<ContentDigest, RunSuccess>,
    /// All recorded successes, the oldest first.
    order: VecDeque<(ClockTime, ContentDigest)>,
}

impl RecentSuccesses {
    fn record(&mut self, content: ContentDigest, now: ClockTime) {
        let is_known = |success: &RunSuccess| {
            success.broken_at.is_none() && now.since(success.at) < SUCCESS_RESOLUTION
        };
        if self.times.get(&content).is_some_and(is_known) {
            return;
        }
        self.times.insert(content, RunSuccess { at: now, broken_at: None });
        self.order.push_back((now, content));
        let is_over = |at: ClockTime| now.since(at) >= SUCCESS_WINDOW;
        while let Some((at, oldest)) = self.order.front().copied() {
            if !is_over(at) && self.order.len() <= MAX_SUCCESSES {
                break;
            }
            self.order.pop_front();
            if self.times.get(&oldest).is_some_and(|success| success.at == at) {
                self.times.remove(&oldest);
            }
        }
    }

    fn is_within(&self, content: ContentDigest, window: Duration, now: ClockTime) -> bool {
        self.times.get(&content).is_some_and(|success| now.since(success.at) < window)
    }

    /// Whether a content that has broken at an upstream succeeded lately, and has broken nowhere else
    /// since.
    fn outweigh_break(
        &mut self,
        content: ContentDigest,
        upstream: &UpstreamName,
        now: ClockTime,
    ) -> bool {
        let Some(success) = self.times.get_mut(&content) else { return false };
        let broken_at = success.broken_at.get_or_insert_with(|| upstream.clone());
        broken_at == upstream && now.since(success.at) < SUCCESS_WINDOW
    }
}

/// The recent breaks, refused connections and successes of this gateway.
#[derive(Debug, Default)]
pub(super) struct BreakEvidence {
    rate: Mutex<BreakRate>,
    refusals: Mutex<VecDeque<(ClockTime, UpstreamName)>>,
    examined: Mutex<ExaminedContents>,
    successes: Mutex<RecentSuccesses>,
    part_successes: Mutex<RecentSuccesses>,
}

impl BreakEvidence {
    fn rate(&self) -> MutexGuard<'_, BreakRate> {
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The successes of a request's content, or of the part of prompts that it is.
    fn successes(&self, content: ContentDigest) -> MutexGuard<'_, RecentSuccesses> {
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
        let window = match content.part_id() {
            None => SUCCESS_WINDOW,
            Some(_) => PART_SUCCESS_WINDOW,
        };
        self.successes(content).is_within(content, window, now)
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

    /// How much a break counts for the parts of its prompt.
    pub(super) fn weigh_part(weight: CrashWeight, has_events: bool) -> CrashWeight {
        if has_events { weight.scaled(BEGUN_RUN_WEIGHT) } else { weight }
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
