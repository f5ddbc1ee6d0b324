//! Recent history of an entry's in-flight requests at one upstream.

use sagespool_types::ClockTime;

const BUCKET_MICROS: u64 = 50_000;
const BUCKETS: u64 = 128;

/// Own requests in flight, at a resolution of 50 ms over the last 6.4 s.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlightHistory {
    current: u32,
    /// The bucket of the last change.
    last: u64,
    /// The count at the end of each bucket; empty until the first change.
    buckets: Vec<u32>,
}

impl InFlightHistory {
    pub(crate) fn current(&self) -> u32 {
        self.current
    }

    pub(crate) fn set(&mut self, count: u32, now: ClockTime) {
        let bucket = now.0 / BUCKET_MICROS;
        if self.buckets.is_empty() {
            self.buckets = vec![0; BUCKETS as usize];
            self.last = bucket;
        }
        let first = (self.last + 1).max(bucket.saturating_sub(BUCKETS));
        for skipped in first..bucket {
            self.buckets[(skipped % BUCKETS) as usize] = self.current;
        }
        self.last = self.last.max(bucket);
        self.current = count;
        self.buckets[(self.last % BUCKETS) as usize] = count;
    }

    /// The count at a time; the oldest kept count if the time is before it.
    pub(crate) fn at(&self, time: ClockTime) -> u32 {
        let bucket = time.0 / BUCKET_MICROS;
        if self.buckets.is_empty() || bucket >= self.last {
            return self.current;
        }
        let oldest = (self.last + 1).saturating_sub(BUCKETS);
        self.buckets[(bucket.max(oldest) % BUCKETS) as usize]
    }
}
