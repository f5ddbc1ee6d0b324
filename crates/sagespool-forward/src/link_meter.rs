//! How long a request waits for this instance's link.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_types::{ByteCount, ClockTime};

/// Age up to which observed waits count: a burst may be over after it.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(1000);
/// The number of observed waits kept.
const MAX_SAMPLES: usize = 6;
/// So many recent waits, to different hosts, show a wait of this instance's own link.
const MIN_SAMPLES: usize = 3;
/// What a connection takes over an idle link.
const IDLE_CONNECT: Duration = Duration::from_millis(10);
/// Bits per second in a Mbit/s, and bits in a byte.
const BYTES_PER_MBPS: f64 = 1_000_000.0 / 8.0;

/// Estimates the queueing delay of the instance's own link.
///
/// Answers the load of callers whose requests' bodies fill a small instance's link: its processor and memory
/// are not short, and each request takes seconds. Two estimates are made, and the longer one counts. The
/// bytes that are announced by request heads and not read yet, and the bytes that were written in the last
/// moments, divided by the link's rate. And the shortest of the recent times that connections to upstreams took:
/// other traffic of the machine isn't counted in bytes, but it delays these as well. A single slow upstream
/// doesn't show in the shortest time.
#[derive(Debug)]
pub struct LinkMeter {
    /// Bytes per second; `None` if the rate isn't known.
    rate: Option<f64>,
    /// Bytes of request bodies that are announced and not read yet.
    arriving: u64,
    /// Bytes written that haven't crossed the link at `drained_at`.
    backlog: f64,
    drained_at: ClockTime,
    connects: VecDeque<(ClockTime, Duration)>,
}

impl LinkMeter {
    /// A meter of a link with this rate in Mbit/s.
    pub fn new(mbps: Option<f64>) -> Self {
        Self {
            rate: mbps.map(|mbps| mbps * BYTES_PER_MBPS),
            arriving: 0,
            backlog: 0.0,
            drained_at: ClockTime::default(),
            connects: VecDeque::new(),
        }
    }

    /// Counts bytes that a request's head announces.
    pub fn announce(&mut self, bytes: ByteCount) {
        self.arriving = self.arriving.saturating_add(bytes.0);
    }

    /// Removes announced bytes that were read, or that won't come.
    pub fn settle(&mut self, bytes: ByteCount) {
        self.arriving = self.arriving.saturating_sub(bytes.0);
    }

    /// Counts bytes that are written to an upstream or a caller.
    pub fn write(&mut self, bytes: ByteCount, now: ClockTime) {
        self.drain(now);
        self.backlog += bytes.0 as f64;
    }

    /// Records how long a connection to an upstream took.
    pub fn note_connect(&mut self, took: Duration, now: ClockTime) {
        self.connects.push_back((now, took));
        if self.connects.len() > MAX_SAMPLES {
            self.connects.pop_front();
        }
    }

    fn drain(&mut self, now: ClockTime) {
        let Some(rate) = self.rate else { return };
        let crossed = now.since(self.drained_at).as_secs_f64() * rate;
        self.backlog = (self.backlog - crossed).max(0.0);
        self.drained_at = now;
    }

    /// How long a byte waits that is written or announced now. Zero if the link's rate isn't known.
    pub fn wait(&mut self, now: ClockTime) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        self.drain(now);
        let bytes = self.backlog.max(self.arriving as f64);
        Duration::from_secs_f64(bytes / rate).max(self.observed_wait(now))
    }

    /// How long a request with this body waits: for the link, and for its body to cross it both ways.
    pub fn wait_of(&mut self, body: ByteCount, now: ClockTime) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        self.wait(now) + Duration::from_secs_f64(2.0 * body.0 as f64 / rate)
    }

    fn observed_wait(&self, now: ClockTime) -> Duration {
        let recent = self.connects.iter().filter(|(at, _)| now.since(*at) < SAMPLE_LIFETIME);
        let took: Vec<_> = recent.map(|(_, took)| *took).collect();
        if took.len() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        took.into_iter().min().unwrap_or_default().saturating_sub(IDLE_CONNECT)
    }
}
