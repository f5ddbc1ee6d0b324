//! The log that all stands of a trial share.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use sagespool_messages::UpstreamKind;
use sagespool_types::{BranchName, ClockTime, TokenCount};

use super::{RunEnd, RunMarker, RunRecord, RunStart, TokenUsage};
use crate::stand_server::lock;

const SHARD_COUNT: usize = 16;

/// Every run that the stands saw. Clones share one log.
///
/// What a run keeps is of fixed size, however long its answer.
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

/// The runs of some branches; those without a marker are in the first shard.
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

/// A stand's hand on the record of a run that it has started.
#[derive(Clone)]
pub struct RunRecorder {
    entry: Arc<RunEntry>,
}

impl RunRecorder {
    /// The run's number in its log.
    pub fn number(&self) -> u64 {
        self.entry.number
    }

    /// Notes how many tokens the run has made in all; ignored once it has ended.
    pub fn produced(&self, total: TokenCount, now: ClockTime) {
        let mut progress = lock(&self.entry.progress);
        if progress.ended.is_some() || total <= progress.produced {
            return;
        }
        progress.produced = total;
        progress.first_at.get_or_insert(now);
        progress.newest_at = Some(now);
    }

    /// Notes that the run ended; only the first end counts.
    pub fn end(&self, end: RunEnd, now: ClockTime) {
        lock(&self.entry.progress).ended.get_or_insert((end, now));
    }
}

impl RunLog {
    /// An empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a run started.
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

    /// Every run, in order of the starts.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.select(|_| true)
    }

    /// The runs of one request.
    pub fn runs_of(&self, marker: &RunMarker) -> Vec<RunRecord> {
        let shard = lock(self.shard_of(Some(&marker.branch)));
        let runs = shard.by_branch.get(&marker.branch);
        let places = runs.and_then(|runs| runs.get(&marker.number));
        places.into_iter().flatten().map(|&index| shard.runs[index].record()).collect()
    }

    /// The runs that carried one idempotency key.
    pub fn runs_of_key(&self, key: &str) -> Vec<RunRecord> {
        self.select(|entry| entry.start.key.as_deref() == Some(key))
    }

    /// How often each request ran.
    pub fn runs_by_marker(&self) -> BTreeMap<RunMarker, usize> {
        self.count_by(|record| record.start.marker)
    }

    /// How often each idempotency key ran.
    pub fn runs_by_key(&self) -> BTreeMap<String, usize> {
        self.count_by(|record| record.start.key)
    }

    /// The runs at a moment, in order of the starts.
    pub fn running_at(&self, at: ClockTime) -> Vec<RunRecord> {
        let mut records = self.select(|entry| entry.started_at <= at);
        records.retain(|record| record.running_at(at));
        records
    }

    /// The runs that haven't ended.
    pub fn running(&self) -> Vec<RunRecord> {
        self.select(|entry| lock(&entry.progress).ended.is_none())
    }

    /// What the engines had used for a branch by a moment, over all attempts.
    pub fn used_at(&self, branch: &BranchName, at: ClockTime) -> TokenUsage {
        self.usage_of(branch, UpstreamKind::Engine, at)
    }

    /// How many calls of plain services had started for a branch by a moment.
    pub fn calls_at(&self, branch: &BranchName, at: ClockTime) -> u64 {
        self.usage_of(branch, UpstreamKind::Service, at).runs
    }

    fn usage_of(&self, branch: &BranchName, kind: UpstreamKind, at: ClockTime) -> TokenUsage {
        let shard = lock(self.shard_of(Some(branch)));
        let runs = shard.by_branch.get(branch);
        let places = runs.into_iter().flat_map(BTreeMap::values).flatten();
        let entries = places.map(|&index| &shard.runs[index]);
        entries
            .filter(|entry| entry.start.kind == kind && entry.started_at <= at)
            .map(|entry| entry.record().used_at(at))
            .fold(TokenUsage::default(), TokenUsage::plus)
    }

    fn select(&self, fits: impl Fn(&RunEntry) -> bool) -> Vec<RunRecord> {
        let mut records = Vec::new();
        for shard in &self.shared.shards {
            let shard = lock(shard);
            let fitting = shard.runs.iter().filter(|entry| fits(entry));
            records.extend(fitting.map(|entry| entry.record()));
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
