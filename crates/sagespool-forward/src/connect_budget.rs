//! Limits attempts that fail before anything is sent.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_types::{ClockTime, UpstreamName};

/// Attempts of one request that may fail to connect: a few upstreams may have ended together.
const MAX_UNSENT: u32 = 4;
/// Pause before the third attempt; each further one doubles it. The second follows at once, since one upstream
/// that has just ended is the usual cause.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The connections that tell of the instance's own state.
const WINDOW: Duration = Duration::from_secs(1);
const MAX_RESULTS: usize = 64;
/// With fewer failures the cause may be a few upstreams.
const MIN_FAILURES: usize = 6;
/// Failures at fewer upstreams may be theirs.
const MIN_FAILED_UPSTREAMS: usize = 3;

#[derive(Debug, Clone)]
struct ConnectResult {
    at: ClockTime,
    /// The upstream, if the connection failed.
    failed: Option<UpstreamName>,
}

/// Decides whether a request whose attempt has sent nothing may make another one.
///
/// Answers the load of an instance whose own link is full or cut: connections to all upstreams fail, and each
/// further attempt makes the link fuller. Nothing was sent, so the caller is told to go elsewhere.
#[derive(Debug, Default)]
pub struct ConnectBudget {
    results: VecDeque<ConnectResult>,
}

impl ConnectBudget {
    /// Records a connection that was opened, or found open.
    pub fn note_connected(&mut self, now: ClockTime) {
        self.note(ConnectResult { at: now, failed: None });
    }

    /// Records a connection that couldn't be opened.
    pub fn note_failed(&mut self, upstream: &UpstreamName, now: ClockTime) {
        self.note(ConnectResult { at: now, failed: Some(upstream.clone()) });
    }

    fn note(&mut self, result: ConnectResult) {
        let oldest = result.at.before(WINDOW);
        self.results.push_back(result);
        while self.results.len() > MAX_RESULTS
            || self.results.front().is_some_and(|result| result.at < oldest)
        {
            self.results.pop_front();
        }
    }

    /// Whether a request with so many unsent attempts may make another.
    pub fn admits(&self, unsent: u32, now: ClockTime) -> bool {
        unsent < MAX_UNSENT && !self.is_own_fault(now)
    }

    /// The pause before another attempt after so many unsent ones.
    pub fn pause(&self, unsent: u32) -> Duration {
        match unsent {
            0 | 1 => Duration::ZERO,
            more => FIRST_PAUSE * (1 << (more - 2).min(MAX_UNSENT)),
        }
    }

    /// Whether most recent connections failed, at several upstreams.
    pub fn is_own_fault(&self, now: ClockTime) -> bool {
        let recent = self.results.iter().filter(|result| now.since(result.at) <= WINDOW);
        let (mut total, mut failed) = (0, Vec::new());
        for result in recent {
            total += 1;
            failed.extend(result.failed.as_ref());
        }
        if failed.len() < MIN_FAILURES || 2 * failed.len() <= total {
            return false;
        }
        failed.sort_unstable();
        failed.dedup();
        failed.len() >= MIN_FAILED_UPSTREAMS
    }
}
