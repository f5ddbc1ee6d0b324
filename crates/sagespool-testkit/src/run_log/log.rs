//! The run log, shared by all fake upstreams of a test.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use sagespool_messages::UpstreamKind;
use sagespool_types::{BranchName, ClockTime, TokenCount};

use super::{RunEnd, RunMarker, RunRecord, RunStart, TokenUsage};
use crate::restartable_server::lock;

const SHARD_COUNT: usize = 16;

/// All runs at the fake upstreams. Clones share one log.
///
/// The size of a run's record does not depend on the length of its answer.
#[derive(Clone, Default)]
pub struct RunLog {
    shared: Arc<LogShards>,
}

struct LogShards {
    hasher: RandomState,
    next_number: AtomicU64,
    shards: [Mutex<LogShard>; SHARD_COUNT],
}

impl Default for LogShards {
    fn default() -> Self {
        Self {
            hasher: RandomState::new(),
            next_number: AtomicU64::new(0),
            shards: std::array::from_fn(|_| Mutex::default()),
        }
    }
}

/// The runs of some branches; runs without a marker are in the first shard.
#[derive(Default)]
struct LogShard {
    runs: Vec<Arc<RunEntry>>,
    by_branch: BTreeMap<BranchName, BTreeMap<u64, Vec<usize>>>,
}

struct RunEntry {
    number: u64,
    start: RunStart,
    started_at: ClockTime,
    progress: Mutex<RunProgress>,
}

#[derive(Default)]
struct RunProgress {
    produced: TokenCount,
    first_at: Option<ClockTime>,
    newest_at: Option<ClockTime>,
    ended: Option<(RunEnd, ClockTime)>,
}

impl RunEntry {
    fn record(&self) -> RunRecord {
        let progress = lock(&self.progress);
        RunRecord {
            number: self.number,
            start: self.start.clone(),
            started_at: self.started_at,
            produced: progress.produced,
            first_at: progress.first_at,
            newest_at: progress.newest_at,
            ended: progress.ended,
        }
    }
}

/// An upstream's handle to the record of a run that it started.
#[derive(Clone)]
pub struct RunRecorder {
    entry: Arc<RunEntry>,
}

impl RunRecorder {
    /// The number of the run in its log.
    pub fn number(&self) -> u64 {
        self.entry.number
    }

    /// Records the total number of tokens generated so far; ignored once the run has ended.
    pub fn produced(&self, total: TokenCount, now: ClockTime) {
        let mut progress = lock(&self.entry.progress);
        if progress.ended.is_some() || total <= progress.produced {
            return;
        }
        progress.produced = total;
        progress.first_at.get_or_insert(now);
        progress.newest_at = Some(now);
    }

    /// Records the end of the run; only the first end counts.
    pub fn end(&self, end: RunEnd, now: ClockTime) {
        lock(&self.entry.progress).ended.get_or_insert((end, now));
    }
}

impl RunLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of a run.
    pub fn start(&self, start: RunStart, now: ClockTime) -> RunRecorder {
        let number = self.shared.next_number.fetch_add(1, Ordering::Relaxed);
        let marker = start.marker.clone();
        let progress = Mutex::default();
        let entry = Arc::new(RunEntry { number, start, started_at: now, progress });
        let mut shard = lock(self.shard_of(marker.as_ref().map(|marker| &marker.branch)));
        let index = shard.runs.len();
        shard.runs.push(entry.clone());
        if let Some(marker) = marker {
            let runs = shard.by_branch.entry(marker.branch).or_default();
            runs.entry(marker.number).or_default().push(index);
        }
        RunRecorder { entry }
    }

    /// All runs, ordered by start.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.select(|_| true)
    }

    /// The runs of one request.
    pub fn runs_of(&self, marker: &RunMarker) -> Vec<RunRecord> {
        let shard = lock(self.shard_of(Some(&marker.branch)));
        let runs = shard.by_branch.get(&marker.branch);
        let indexes = runs.and_then(|runs| runs.get(&marker.number));
        indexes.into_iter().flatten().map(|&index| shard.runs[index].record()).collect()
    }

    /// The runs with an idempotency key.
    pub fn runs_of_key(&self, key: &str) -> Vec<RunRecord> {
        self.select(|entry| entry.start.key.as_deref() == Some(key))
    }

    /// Number of runs by request.
    pub fn runs_by_marker(&self) -> BTreeMap<RunMarker, usize> {
        self.count_by(|record| record.start.marker)
    }

    /// Number of runs by idempotency key.
    pub fn runs_by_key(&self) -> BTreeMap<String, usize> {
        self.count_by(|record| record.start.key)
    }

    /// The runs in progress at a time, ordered by start.
    pub fn running_at(&self, at: ClockTime) -> Vec<RunRecord> {
        let mut records = self.select(|entry| entry.started_at <= at);
        records.retain(|record| record.running_at(at));
        records
    }

    /// The runs that have not ended, ordered by start.
    pub fn running(&self) -> Vec<RunRecord> {
        self.select(|entry| lock(&entry.progress).ended.is_none())
    }

    /// Token usage of a branch at engines up to a time, over all attempts.
    pub fn used_at(&self, branch: &BranchName, at: ClockTime) -> TokenUsage {
        self.usage_of(branch, UpstreamKind::Engine, at)
    }

    /// Number of a branch's calls that plain services started up to a time.
    pub fn calls_at(&self, branch: &BranchName, at: ClockTime) -> u64 {
        self.usage_of(branch, UpstreamKind::Service, at).runs
    }

    fn usage_of(&self, branch: &BranchName, kind: UpstreamKind, at: ClockTime) -> TokenUsage {
        let shard = lock(self.shard_of(Some(branch)));
        let runs = shard.by_branch.get(branch);
        let indexes = runs.into_iter().flat_map(BTreeMap::values).flatten();
        let entries = indexes.map(|&index| &shard.runs[index]);
        entries
            .filter(|entry| entry.start.kind == kind && entry.started_at <= at)
            .map(|entry| entry.record().used_at(at))
            .fold(TokenUsage::default(), TokenUsage::plus)
    }

    fn select(&self, matches: impl Fn(&RunEntry) -> bool) -> Vec<RunRecord> {
        let mut records = Vec::new();
        for shard in &self.shared.shards {
            let shard = lock(shard);
            let matching = shard.runs.iter().filter(|entry| matches(entry));
            records.extend(matching.map(|entry| entry.record()));
        }
        records.sort_by_key(|record| record.number);
        records
    }

    fn count_by<K: Ord>(&self, key_of: impl Fn(RunRecord) -> Option<K>) -> BTreeMap<K, usize> {
        let mut counts = BTreeMap::new();
        for key in self.runs().into_iter().filter_map(key_of) {
            *counts.entry(key).or_default() += 1;
        }
        counts
    }

    fn shard_of(&self, branch: Option<&BranchName>) -> &Mutex<LogShard> {
        let index = match branch {
            Some(branch) => self.shared.hasher.hash_one(branch) as usize % SHARD_COUNT,
            None => 0,
        };
        &self.shared.shards[index]
    }
}
