//! Scenarios: sizes, load and disturbances.

use std::time::Duration;

use sagespool_routing::QueuePolicy;

/// Time per token.
pub(crate) const TOKEN: Duration = Duration::from_millis(10);
/// Times to the first token without and with a cached prefix.
pub(crate) const PREFILL: Duration = Duration::from_millis(120);
pub(crate) const PREFILL_CACHED: Duration = Duration::from_millis(30);

/// Parameters of one scenario.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) capacity: u32,
    /// Request rate as a share of the engines' capacity.
    pub(crate) load: f64,
    /// Factor of the load from 20 s to 40 s.
    pub(crate) surge: f64,
    pub(crate) report_every: Duration,
    pub(crate) report_lag: Duration,
    /// Share of reports that are lost.
    pub(crate) report_loss: f64,
    /// Factor of the first engine's times from 20 s to 50 s.
    pub(crate) slow: f64,
    /// Share of its requests that the first engine fails immediately from 20 s to 50 s.
    pub(crate) failing: f64,
    pub(crate) prefixes: usize,
    /// Prefixes in an engine's cache.
    pub(crate) cache: usize,
    pub(crate) mean_tokens: f64,
    /// Share of requests with ten times the tokens of the others.
    pub(crate) long: f64,
    /// Requests of the first entry, as a multiple of those of each other entry.
    pub(crate) uneven: f64,
    /// Slots of the first engine that are always taken by callers that bypass the entries.
    pub(crate) outside: u32,
    pub(crate) branches: usize,
    /// Requests of the first branch from 20 s to 50 s, as a multiple of its share.
    pub(crate) noise: f64,
    pub(crate) deadline: Duration,
    pub(crate) queue: bool,
    /// Whether sidecars send their count of requests when a dispatch arrives and when it ends.
    pub(crate) counts: bool,
    pub(crate) admission: QueuePolicy,
    pub(crate) seeds: u64,
}

impl Scenario {
    pub(crate) fn plain(name: &'static str) -> Self {
        Self {
            name,
            entries: 3,
            engines: 9,
            capacity: 8,
            load: 0.7,
            surge: 1.0,
            report_every: Duration::from_millis(500),
            report_lag: Duration::from_millis(300),
            report_loss: 0.0,
            slow: 1.0,
            failing: 0.0,
            prefixes: 400,
            cache: 48,
            mean_tokens: 40.0,
            long: 0.0,
            uneven: 1.0,
            outside: 0,
            branches: 10,
            noise: 1.0,
            deadline: Duration::from_secs(20),
            queue: true,
            counts: true,
            admission: QueuePolicy::default(),
            seeds: 3,
        }
    }

    pub(crate) fn all() -> Vec<Self> {
        let lagging = Self {
            report_every: Duration::from_secs(1),
            report_lag: Duration::from_secs(2),
            report_loss: 0.2,
            load: 0.8,
            ..Self::plain("lagging-load")
        };
        let slow = Self { slow: 6.0, ..Self::plain("slow-upstream") };
        let surge = Self { surge: 5.0, load: 0.3, ..Self::plain("surge") };
        let mild = Self { surge: 5.0, load: 0.22, ..Self::plain("mild-surge") };
        let failing = Self { failing: 0.6, ..Self::plain("failing-upstream") };
        let prefix = Self { load: 0.5, ..Self::plain("prefix-reuse") };
        let uneven = Self { uneven: 6.0, ..Self::plain("uneven-entries") };
        let outside = Self { outside: 6, load: 0.6, ..Self::plain("outside-load") };
        let mixed = Self { long: 0.1, ..Self::plain("mixed-sizes") };
        vec![
            Self::plain("normal"),
            lagging,
            slow,
            surge,
            mild,
            failing,
            prefix,
            uneven,
            outside,
            mixed,
            Self::plain("noisy-branch"),
        ]
    }

    pub(crate) fn set(&mut self, key: &str, value: &str) {
        let number: f64 = value.parse().expect("a number after `=`");
        let millis = Duration::from_secs_f64(number / 1000.0);
        match key {
            "entries" => self.entries = number as usize,
            "engines" => self.engines = number as usize,
            "capacity" => self.capacity = number as u32,
            "load" => self.load = number,
            "surge" => self.surge = number,
            "every" => self.report_every = millis,
            "lag" => self.report_lag = millis,
            "loss" => self.report_loss = number,
            "slow" => self.slow = number,
            "failing" => self.failing = number,
            "prefixes" => self.prefixes = number as usize,
            "cache" => self.cache = number as usize,
            "tokens" => self.mean_tokens = number,
            "long" => self.long = number,
            "uneven" => self.uneven = number,
            "outside" => self.outside = number as u32,
            "branches" => self.branches = number as usize,
            "noise" => self.noise = number,
            "deadline" => self.deadline = millis,
            "excess" => self.admission.excess_percent = number as u32,
            "crowding" => self.admission.full_excess_shares = number as u32,
            "headroom" => self.admission.headroom_percent = number as u32,
            "span" => self.admission.share_span = millis,
            "burst" => self.admission.min_burst = number as u32,
            "counts" => self.counts = number > 0.0,
            "queue" => self.queue = number > 0.0,
            "seeds" => self.seeds = number as u64,
            _ => panic!("unknown setting `{key}`"),
        }
    }

    /// Requests per second of all entries together, without a surge.
    pub(crate) fn rate(&self) -> f64 {
        let mean_tokens = self.mean_tokens * (1.0 + 9.0 * self.long);
        let run = PREFILL.as_secs_f64() + mean_tokens * TOKEN.as_secs_f64();
        self.load * self.engines as f64 * f64::from(self.capacity) / run
    }
}
