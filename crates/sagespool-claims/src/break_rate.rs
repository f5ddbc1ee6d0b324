//! How unusual a broken response is.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_types::{ClockTime, ContentDigest, CrashWeight};

/// Time over which sends and breaks are counted.
const RATE_WINDOW: Duration = Duration::from_secs(30);
const SLOT_COUNT: u64 = 30;
/// Maximum number of breaks kept; the oldest are dropped first.
const MAX_BREAKS: usize = 512;
/// Assumed sends, so that few observations don't count as a low or a high rate. Without any other,
/// five breaks have the weight of three crashes.
const PRIOR_SENDS: f64 = 15.0;
/// Assumed breaks of [`PRIOR_SENDS`].
const PRIOR_BREAKS: f64 = 0.94;
/// A break of this probability has the weight of a crash.
const FULL_WEIGHT_PROBABILITY: f64 = 0.01;

/// Counts sent requests and responses that broke although their upstream still accepts connections.
///
/// Such a break may be the content's fault, or that of the network or the upstream. Its weight is
/// the logarithm of the probability of a break with any other content, relative to that of an event
/// that is convincing by itself: where breaks are common, each says little about its content.
#[derive(Debug, Default)]
pub struct BreakRate {
    /// Sends by slot of time, the newest last.
    sends: VecDeque<(u64, u64)>,
    breaks: VecDeque<(ClockTime, ContentDigest)>,
}

impl BreakRate {
    /// Counts a request sent to an upstream.
    pub fn note_send(&mut self, now: ClockTime) {
        let slot = slot_of(now);
        match self.sends.back_mut() {
            Some((newest, count)) if *newest >= slot => *count += 1,
            _ => self.sends.push_back((slot, 1)),
        }
        while self.sends.front().is_some_and(|(oldest, _)| oldest + SLOT_COUNT <= slot) {
            self.sends.pop_front();
        }
    }

    /// Counts a broken response whose upstream still accepts connections.
    pub fn note_break(&mut self, content: ContentDigest, now: ClockTime) {
        self.evict(now);
        if self.breaks.len() >= MAX_BREAKS {
            self.breaks.pop_front();
        }
        self.breaks.push_back((now, content));
    }

    /// The weight of a break of this content. Breaks of the content itself don't count: a request
    /// that breaks every response must not appear usual by that.
    pub fn weight_of(&mut self, content: ContentDigest, now: ClockTime) -> CrashWeight {
        self.evict(now);
        let others = self.breaks.iter().filter(|(_, broken)| *broken != content).count();
        let oldest = slot_of(now).saturating_sub(SLOT_COUNT);
        let counts = self.sends.iter().filter(|(slot, _)| *slot > oldest).map(|(_, count)| count);
        let sends: u64 = counts.sum();
        let breaks = others as f64 + PRIOR_BREAKS;
        let probability = breaks / (sends as f64 + PRIOR_SENDS).max(breaks);
        CrashWeight::FULL.scaled(probability.ln() / FULL_WEIGHT_PROBABILITY.ln())
    }

    fn evict(&mut self, now: ClockTime) {
        while self.breaks.front().is_some_and(|(at, _)| now.since(*at) >= RATE_WINDOW) {
            self.breaks.pop_front();
        }
    }
}

fn slot_of(now: ClockTime) -> u64 {
    now.0 / (RATE_WINDOW.as_micros() as u64 / SLOT_COUNT)
}
