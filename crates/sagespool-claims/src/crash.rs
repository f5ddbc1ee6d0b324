//! Requests that take down the upstreams that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bon::Builder;
use sagespool_messages::CrashReport;
use sagespool_types::{ClockTime, ContentDigest, UpstreamName};

use crate::quarantine::{CrashNote, QuarantineRecord};

/// When a content is stopped.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct CrashPolicy {
    /// Crashes with the content in flight that stop it.
    #[builder(default = 2)]
    pub stop_at: usize,
    /// Reports of one upstream within this time are of one crash: two callers
    /// may ask for the same at once.
    #[builder(default = Duration::from_secs(2))]
    pub same_crash: Duration,
    /// A content that was in flight at a crash is suspected for so long.
    #[builder(default = Duration::from_secs(3600))]
    pub suspect_life: Duration,
    /// Most suspects remembered; the oldest give way.
    #[builder(default = 10_000)]
    pub most_suspects: usize,
}

impl Default for CrashPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// What a report of a crash leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It was counted already.
    Repeated,
    /// Counted; the content is suspected, and may run again alone among suspects.
    Suspected,
    /// Counted, and the content is stopped from now on: write it to the store.
    Stopped,
    /// The content is stopped already.
    AlreadyStopped,
}

/// A suspected or stopped content, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectContent {
    /// The content.
    pub content: ContentDigest,
    /// Its crashes.
    pub crashes: BTreeSet<CrashNote>,
    /// Whether it is stopped.
    pub stopped: bool,
    /// Whether the store knows that.
    pub stored: bool,
}

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    /// Every report, so that none counts twice.
    notes: BTreeSet<CrashNote>,
    /// One of each crash, with the time it was first heard of.
    crashes: Vec<(CrashNote, ClockTime)>,
    stopped: bool,
    stored: bool,
    newest: ClockTime,
}

impl CrashRecord {
    fn distinct_crashes(&self) -> BTreeSet<CrashNote> {
        self.crashes.iter().map(|(note, _)| note.clone()).collect()
    }

    /// True if a report tells of a crash that another one told of before.
    fn is_known_crash(&self, note: &CrashNote, window: Duration, now: ClockTime) -> bool {
        self.crashes.iter().any(|(known, at)| {
            let other_request = known.request != note.request;
            other_request && known.upstream == note.upstream && now.since(*at) < window
        })
    }
}

#[derive(Debug, Default)]
struct CrashState {
    records: BTreeMap<ContentDigest, CrashRecord>,
    /// Crashes that were forgiven.
    forgiven: BTreeMap<ContentDigest, BTreeSet<CrashNote>>,
}

/// What one entry knows of crashes. Reports go to every entry, so that the
/// second one stops a content on all that are in reach, also while the store is
/// away; the store's [`QuarantineRecord`] tells the others and those to come.
///
/// Crashes are rare, so one lock is enough.
#[derive(Debug, Default)]
pub struct CrashTracker {
    policy: CrashPolicy,
    state: Mutex<CrashState>,
}

impl CrashTracker {
    /// An empty board of the default policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty board.
    pub fn with_policy(policy: CrashPolicy) -> Self {
        Self { policy, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, CrashState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a report of a crash, the own entry's or another's.
    ///
    /// Everything in flight on a crashed upstream is reported, the innocent
    /// too. Those run again, each on an upstream without another suspect (see
    /// [`Self::rerun_rank`]), come through and are [cleared](Self::record_success).
    /// The guilty one takes down a second upstream, on which no other suspect
    /// of the first crash ran, and alone has two.
    pub fn record(&self, report: &CrashReport, now: ClockTime) -> CrashVerdict {
        let note = CrashNote::of(report);
        let mut state = self.state();
        state.drop_old(&self.policy, now);
        let forgiven = state.forgiven.get(&report.content);
        if forgiven.is_some_and(|forgiven| forgiven.contains(&note)) {
            return CrashVerdict::Repeated;
        }
        let record = state.records.entry(report.content).or_default();
        if !record.notes.insert(note.clone()) {
            return CrashVerdict::Repeated;
        }
        record.newest = now;
        if record.is_known_crash(&note, self.policy.same_crash, now) {
            return CrashVerdict::Repeated;
        }
        record.crashes.push((note, now));
        if record.stopped {
            return CrashVerdict::AlreadyStopped;
        }
        record.stopped = record.crashes.len() >= self.policy.stop_at;
        if record.stopped { CrashVerdict::Stopped } else { CrashVerdict::Suspected }
    }

    /// True if a content must not run anywhere.
    pub fn is_stopped(&self, content: ContentDigest) -> bool {
        self.state().records.get(&content).is_some_and(|record| record.stopped)
    }

    /// True if a content was in flight at a crash, and has not come through since.
    pub fn is_suspect(&self, content: ContentDigest) -> bool {
        self.state().records.contains_key(&content)
    }

    /// The place of a suspect among all contents suspected now, the same on
    /// every entry that had the same reports. The suspect of rank `r` is run
    /// again on the `r`-th of the upstreams left (in the order of their names,
    /// counted round), so that no two suspects meet on one as long as there are
    /// enough of them. Nothing for a content not suspected, or stopped.
    ///
    /// One that was just stopped keeps its place for a moment: the others'
    /// would else move up while they are about to run, one of them to the
    /// upstream that has just gone down, and be stopped for a crash that was
    /// over before it came.
    pub fn rerun_rank(&self, content: ContentDigest, now: ClockTime) -> Option<usize> {
        let state = self.state();
        if state.records.get(&content)?.stopped {
            return None;
        }
        let keeps_place = |record: &CrashRecord| {
            !record.stopped || now.since(record.newest) < self.policy.same_crash
        };
        let mut suspects = state.records.iter().filter(|(_, record)| keeps_place(record));
        suspects.position(|(suspect, _)| *suspect == content)
    }

    /// True if an upstream went down a moment ago, by any report. Nothing that was in flight at a
    /// crash is to run again there: sent to an upstream that is still going down, it would be
    /// reported for that crash too, as its second.
    pub fn crashed_recently(&self, upstream: &UpstreamName, now: ClockTime) -> bool {
        let state = self.state();
        let mut crashes = state.records.values().flat_map(|record| &record.crashes);
        crashes
            .any(|(note, at)| note.upstream == *upstream && now.since(*at) < self.policy.same_crash)
    }

    /// A run of a content came through whole: it takes no upstream down. True
    /// if it was stopped, so that the store's verdict must be lifted too.
    pub fn record_success(&self, content: ContentDigest) -> bool {
        self.forgive(content)
    }

    /// An operator lets a content go. False if it wasn't stopped here.
    pub fn lift(&self, content: ContentDigest) -> bool {
        self.forgive(content)
    }

    fn forgive(&self, content: ContentDigest) -> bool {
        let mut state = self.state();
        let Some(record) = state.records.remove(&content) else { return false };
        state.forgiven.entry(content).or_default().extend(record.notes);
        record.stopped
    }

    /// The store's record, as read or watched. Returns the contents that it
    /// stops although they came through here between the crashes: they are to
    /// be [lifted](QuarantineRecord::lift) in the store.
    pub fn apply_record(&self, record: &QuarantineRecord, now: ClockTime) -> Vec<ContentDigest> {
        let mut state = self.state();
        let mut disputed = Vec::new();
        for (content, entry) in &record.contents {
            if entry.lifted {
                state.forget_lifted(*content, &entry.crashes);
            } else if !state.adopt(*content, &entry.crashes, &self.policy, now) {
                disputed.push(*content);
            }
        }
        disputed
    }

    /// Stopped contents that the store doesn't know of yet.
    pub fn unsaved(&self) -> Vec<(ContentDigest, BTreeSet<CrashNote>)> {
        let state = self.state();
        let unsaved = state.records.iter().filter(|(_, record)| record.stopped && !record.stored);
        unsaved.map(|(content, record)| (*content, record.distinct_crashes())).collect()
    }

    /// Everything suspected or stopped.
    pub fn list(&self) -> Vec<SuspectContent> {
        let state = self.state();
        let show = |(content, record): (&ContentDigest, &CrashRecord)| SuspectContent {
            content: *content,
            crashes: record.distinct_crashes(),
            stopped: record.stopped,
            stored: record.stored,
        };
        state.records.iter().map(show).collect()
    }
}

impl CrashState {
    fn drop_old(&mut self, policy: &CrashPolicy, now: ClockTime) {
        let keep =
            |record: &CrashRecord| record.stopped || now.since(record.newest) < policy.suspect_life;
        self.records.retain(|_, record| keep(record));
        if self.records.len() >= policy.most_suspects {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.newest);
            let oldest = oldest.map(|(content, _)| *content);
            oldest.and_then(|content| self.records.remove(&content));
        }
        while self.forgiven.len() > policy.most_suspects {
            self.forgiven.pop_first();
        }
    }

    /// Stops a content that the store stops; false if too few of its crashes
    /// count here, because it came through since.
    fn adopt(
        &mut self,
        content: ContentDigest,
        crashes: &BTreeSet<CrashNote>,
        policy: &CrashPolicy,
        now: ClockTime,
    ) -> bool {
        let forgiven = self.forgiven.get(&content);
        let counts = |note: &&CrashNote| forgiven.is_none_or(|notes| !notes.contains(note));
        if crashes.iter().filter(counts).count() < policy.stop_at {
            return false;
        }
        let record = self.records.entry(content).or_default();
        record.notes.extend(crashes.iter().cloned());
        record.crashes.extend(crashes.iter().map(|note| (note.clone(), now)));
        record.stopped = true;
        record.stored = true;
        record.newest = now;
        true
    }

    fn forget_lifted(&mut self, content: ContentDigest, crashes: &BTreeSet<CrashNote>) {
        let forgiven = self.forgiven.entry(content).or_default();
        forgiven.extend(crashes.iter().cloned());
        let counts = |record: &CrashRecord| !record.notes.is_subset(forgiven);
        if !self.records.get(&content).is_some_and(counts) {
            self.records.remove(&content);
        }
    }
}
