//! Recent successes of contents, which speak against reports of their crashes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sagespool_types::{ClockTime, ContentDigest, UpstreamName};

/// Time for which a success speaks against reports of its content.
const SUCCESS_WINDOW: Duration = Duration::from_secs(30);
/// Time for which the success of a part of prompts speaks against a quarantine by other processes. They
/// have asked before, and a part may have become harmful after an earlier success.
const PART_SUCCESS_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of contents kept, in 0.6 MB; those that were first recorded are dropped first.
const MAX_SUCCESSES: usize = 4096;

#[derive(Debug)]
struct RunSuccess {
    at: ClockTime,
    /// The first upstream at which a run of the content has broken since.
    broken_at: Option<UpstreamName>,
}

/// When runs of contents last succeeded in this process.
#[derive(Debug, Default)]
pub struct SuccessLog {
    times: BTreeMap<ContentDigest, RunSuccess>,
    /// Each content once, with a success of it that isn't later than its last.
    order: VecDeque<(ClockTime, ContentDigest)>,
}

impl SuccessLog {
    /// Records a run that succeeded.
    pub fn record(&mut self, content: ContentDigest, now: ClockTime) {
        let known = self.times.insert(content, RunSuccess { at: now, broken_at: None });
        if known.is_none() {
            self.order.push_back((now, content));
        }
        self.evict(now);
    }

    fn evict(&mut self, now: ClockTime) {
        while let Some((at, oldest)) = self.order.front().copied() {
            if now.since(at) < SUCCESS_WINDOW && self.order.len() <= MAX_SUCCESSES {
                break;
            }
            self.order.pop_front();
            match self.times.get(&oldest) {
                Some(success) if now.since(success.at) < now.since(at) => {
                    self.order.push_back((success.at, oldest));
                }
                _ => {
                    self.times.remove(&oldest);
                }
            }
        }
    }

    /// How long ago a run of the content last succeeded.
    pub fn age(&self, content: ContentDigest, now: ClockTime) -> Option<Duration> {
        self.times.get(&content).map(|success| now.since(success.at))
    }

    /// Whether a run of the content has succeeded so lately that it is harmless whatever other
    /// processes report.
    pub fn is_recent(&self, content: ContentDigest, now: ClockTime) -> bool {
        let window = match content.part_id() {
            None => SUCCESS_WINDOW,
            Some(_) => PART_SUCCESS_WINDOW,
        };
        self.age(content, now).is_some_and(|age| age < window)
    }

    /// Records that a run of the content has broken at an upstream. True if the content has succeeded
    /// lately and has broken nowhere else since: it doesn't take down whatever runs it.
    pub fn outweigh_break(
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
