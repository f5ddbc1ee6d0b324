//! Detection of requests that crash the upstreams that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bon::Builder;
use sagespool_messages::{ContentCrashes, CrashReport};
use sagespool_types::{ClockTime, ContentDigest, CrashWeight, UpstreamName};

use crate::quarantine::{CrashNote, QuarantineRecord};

/// Maximum number of notes of one content that are remembered as cleared. They only have to outlive
/// reports on their way.
const MAX_CLEARED_NOTES: usize = 64;
/// Maximum number of notes kept of a stopped content.
const MAX_STOPPED_NOTES: usize = 64;

/// Weight of a break after events of its run for the parts of the prompt: the run hasn't crashed its
/// upstream as it began to write on them.
const BEGUN_RUN_WEIGHT: f64 = 0.6;

/// How much a break counts for the parts of its prompt.
pub fn part_weight(weight: CrashWeight, has_events: bool) -> CrashWeight {
    if has_events { weight.scaled(BEGUN_RUN_WEIGHT) } else { weight }
}

/// When a content is stopped. A content is a request's target and body, or a part of prompts.
///
/// Requests that share a part differ in everything else, and the parts of one request come to every
/// crash together. A part that is stopped is therefore refused only in a request that also has what
/// the requests of its crashes had in common: its company. A request with some of the parts is new
/// evidence: it succeeds and shows that they are harmless, or its crash reduces the company.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct CrashPolicy {
    /// Number of crashes with the content in flight that stop it. Reports count by their weight.
    #[builder(default = 2)]
    pub stop_at: usize,
    /// Reports of one upstream by different requests within this time count as one crash,
    /// because several callers may send the same content at once. Later ones count if they have
    /// their full weight: the upstream has crashed, so it has been started again since.
    #[builder(default = Duration::from_secs(2))]
    pub crash_window: Duration,
    /// Time for which a content stays suspected after a crash with it in flight.
    #[builder(default = Duration::from_secs(3600))]
    pub suspicion_duration: Duration,
    /// True if a crash with a stopped content in flight doesn't count for the other contents there.
    #[builder(default = false)]
    pub blames_stopped: bool,
    /// Maximum number of suspects kept; the oldest that isn't stopped is evicted first.
    #[builder(default = 10_000)]
    pub max_suspects: usize,
}

impl CrashPolicy {
    fn stop_weight(&self) -> CrashWeight {
        CrashWeight::of_crashes(self.stop_at)
    }
}

impl Default for CrashPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// The result of a crash report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Not counted: the crash was reported before, or was cleared.
    Repeated,
    /// Not counted: a stopped content was in flight on the upstream.
    Explained,
    /// Counted. The content is suspected, and may run again on an upstream without
    /// another suspect.
    Suspected,
    /// Counted. The content is stopped from now on and must be written to the store.
    Stopped,
    /// Counted. The content was stopped before.
    AlreadyStopped,
    /// Counted. The content was stopped before, and is so in less company from now on, which must be
    /// written to the store.
    Widened,
}

impl CrashVerdict {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Repeated => "repeated",
            Self::Explained => "explained",
            Self::Suspected => "suspected",
            Self::Stopped => "stopped",
            Self::AlreadyStopped => "already-stopped",
            Self::Widened => "widened",
        }
    }
}

/// A suspected or stopped content, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectContent {
    /// Digest of the content.
    pub content: ContentDigest,
    /// Its crashes, one note each.
    pub crashes: BTreeSet<CrashNote>,
    /// False if it is only suspected.
    pub stopped: bool,
    /// True if the store's record has it as stopped.
    pub stored: bool,
}

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    /// All reports, for deduplication.
    notes: BTreeSet<CrashNote>,
    /// One report of each crash, with the time of its first report.
    crashes: Vec<(CrashNote, ClockTime)>,
    stopped: bool,
    /// True if no success of the stopped content is known elsewhere. Requests' own contents need no
    /// confirmation.
    confirmed: bool,
    stored: bool,
    last_report_at: ClockTime,
}

impl CrashRecord {
    fn distinct_crashes(&self) -> BTreeSet<CrashNote> {
        self.crashes.iter().map(|(note, _)| note.clone()).collect()
    }

    /// The crash that another request has reported before, if a report is of the same one.
    fn find_known_crash(
        &mut self,
        note: &CrashNote,
        window: Duration,
        now: ClockTime,
    ) -> Option<&mut CrashNote> {
        let known = self.crashes.iter_mut().find(|(known, at)| {
            let is_recent = now.since(*at) < window || note.weight < CrashWeight::FULL;
            known.request != note.request && known.upstream == note.upstream && is_recent
        });
        known.map(|(known, _)| known)
    }

    fn upstreams(&self) -> BTreeSet<&UpstreamName> {
        self.crashes.iter().map(|(note, _)| &note.upstream).collect()
    }

    /// What the requests of its crashes had in common, beside the content itself.
    fn company(&self) -> BTreeSet<ContentDigest> {
        common_company(self.crashes.iter().map(|(note, _)| note))
    }

    /// True if the record of another content has requests of its own at all crashes of this one, and
    /// at more.
    fn is_explained_by(&self, culprit: ContentDigest, other: &Self) -> bool {
        let (own, others) = (self.upstreams(), other.upstreams());
        own.len() < others.len() && own.is_subset(&others) && !self.company().contains(&culprit)
    }

    /// True if this content's crash at an upstream is the crash of another request there.
    fn has_crashed(&self, upstream: &UpstreamName, other: ContentDigest) -> bool {
        let mut notes = self.crashes.iter().map(|(note, _)| note);
        notes.any(|note| note.upstream == *upstream && !note.company.contains(&other))
    }

    /// True if the company of a stopped content with this digest is in a request.
    fn stops(&self, content: ContentDigest, request: &BTreeSet<ContentDigest>) -> bool {
        // A request's digest stands for all of the request.
        let is_in_company = || self.confirmed && self.company().is_subset(request);
        self.stopped && (content.part_id().is_none() || is_in_company())
    }

    fn weight(&self) -> CrashWeight {
        self.crashes.iter().map(|(note, _)| note.weight).sum()
    }

    /// Removes notes that no longer count.
    fn remove_cleared(&mut self, cleared: &BTreeSet<CrashNote>, policy: &CrashPolicy) {
        self.notes.retain(|note| !cleared.contains(note));
        self.crashes.retain(|(note, _)| !cleared.contains(note));
        self.stopped &= self.weight() >= policy.stop_weight();
    }
}

/// What the requests of a content's crashes had in common, beside the content: what came with it to at
/// least two crashes, and was missing at too few to show that the content crashes without it.
///
/// Guards against the refusal of a harmless part that mostly comes with a harmful one, and was in
/// flight once when an upstream crashed for another reason.
fn common_company<'a>(
    notes: impl Iterator<Item = &'a CrashNote> + Clone,
) -> BTreeSet<ContentDigest> {
    let total: CrashWeight = notes.clone().map(|note| note.weight).sum();
    let mut shares: BTreeMap<ContentDigest, (usize, CrashWeight)> = BTreeMap::new();
    for note in notes {
        for other in &note.company {
            let (crashes, weight) = shares.entry(*other).or_default();
            *crashes += 1;
            *weight += note.weight;
        }
    }
    let is_common = |crashes: usize, weight: CrashWeight| {
        let sufficient = CrashWeight::of_crashes(2).max(weight.scaled(0.5));
        crashes > 1 && total.saturating_sub(weight) < sufficient
    };
    let common = shares.into_iter().filter(|(_, (crashes, weight))| is_common(*crashes, *weight));
    common.map(|(other, _)| other).collect()
}

#[derive(Debug, Default)]
struct CrashState {
    records: BTreeMap<ContentDigest, CrashRecord>,
    /// Crashes that no longer count, by content.
    cleared: BTreeMap<ContentDigest, BTreeSet<CrashNote>>,
    /// Stopped contents whose crashes another stopped content explains, until they are taken.
    explained: BTreeSet<ContentDigest>,
}

/// The crashes known to one process.
///
/// Reports are sent to every entry, so the second crash stops a content on all
/// reachable entries even while the store is unreachable. Other entries and later
/// ones read it from the store's [`QuarantineRecord`].
///
/// Crashes are rare, so one lock is enough.
#[derive(Debug, Default)]
pub struct CrashTracker {
    policy: CrashPolicy,
    state: Mutex<CrashState>,
}

impl CrashTracker {
    /// An empty state with the default policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty state.
    pub fn with_policy(policy: CrashPolicy) -> Self {
        Self { policy, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, CrashState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a crash report, of this entry or another one.
    ///
    /// Everything in flight on a crashed upstream is reported, including contents that
    /// did not cause the crash. Each suspect runs again on an upstream without another
    /// suspect (see [`Self::rerun_rank`]). Those that succeed are
    /// [cleared](Self::record_success). The cause crashes a second upstream, on which no
    /// other suspect of the first crash ran, and so is the only one with two crashes.
    pub fn record(&self, report: &CrashReport, now: ClockTime) -> CrashVerdict {
        let note = CrashNote::of(report);
        let mut state = self.state();
        state.evict(&self.policy, now);
        let cleared = state.cleared.get(&report.content);
        if cleared.is_some_and(|cleared| cleared.contains(&note)) {
            return CrashVerdict::Repeated;
        }
        if self.policy.blames_stopped && state.has_culprit(report.content, &note) {
            return CrashVerdict::Explained;
        }
        let record = state.records.entry(report.content).or_default();
        if record.stopped && record.notes.len() >= MAX_STOPPED_NOTES {
            return CrashVerdict::AlreadyStopped;
        }
        if !record.notes.insert(note.clone()) {
            return CrashVerdict::Repeated;
        }
        record.last_report_at = now;
        let company = record.company();
        match record.find_known_crash(&note, self.policy.crash_window, now) {
            Some(known) if known.weight >= note.weight => return CrashVerdict::Repeated,
            Some(known) => *known = note,
            None => record.crashes.push((note, now.before(report.age))),
        }
        if record.stopped {
            let is_widened = record.company() != company;
            record.stored &= !is_widened;
            return if is_widened { CrashVerdict::Widened } else { CrashVerdict::AlreadyStopped };
        }
        record.stopped = record.weight() >= self.policy.stop_weight();
        if !record.stopped {
            return CrashVerdict::Suspected;
        }
        if self.policy.blames_stopped {
            state.explain_others(report.content);
        }
        CrashVerdict::Stopped
    }

    /// Stops a content that another process has stopped, and saves, by the reports of its crashes,
    /// whenever they arrive. False if too few of them count here, because a run has succeeded since.
    ///
    /// A content that was stopped here stays unsaved: two processes that stop it at the same time and
    /// tell each other must not both rely on the other one to save it.
    pub fn stop(&self, stopped: &ContentCrashes, now: ClockTime) -> bool {
        let crashes = stopped.reports.iter().map(CrashNote::of).collect();
        let mut state = self.state();
        let is_unsaved = |record: &CrashRecord| record.stopped && !record.stored;
        let was_unsaved = state.records.get(&stopped.content).is_some_and(is_unsaved);
        let agreed = state.apply_stopped(stopped.content, &crashes, &self.policy, now);
        if let Some(record) = state.records.get_mut(&stopped.content) {
            record.stored &= !was_unsaved;
        }
        agreed
    }

    /// Makes crashes no longer count, since a run of their content has succeeded elsewhere. True if
    /// the content was stopped by them.
    pub fn withdraw(&self, withdrawn: &ContentCrashes) -> bool {
        let notes: BTreeSet<CrashNote> = withdrawn.reports.iter().map(CrashNote::of).collect();
        let mut state = self.state();
        state.add_cleared(withdrawn.content, &notes);
        let Some(record) = state.records.get_mut(&withdrawn.content) else { return false };
        let was_stopped = record.stopped;
        record.remove_cleared(&notes, &self.policy);
        let is_stopped = record.stopped;
        if record.crashes.is_empty() {
            state.records.remove(&withdrawn.content);
        }
        was_stopped && !is_stopped
    }

    /// Stopped contents whose crashes another stopped content explains; they no longer are stopped
    /// here, and must be lifted in the store too.
    pub fn take_explained(&self) -> BTreeSet<ContentDigest> {
        std::mem::take(&mut self.state().explained)
    }

    /// What is known of a content's crashes.
    pub fn crashes_of(&self, content: ContentDigest, now: ClockTime) -> ContentCrashes {
        let state = self.state();
        let crashes = state.records.get(&content).into_iter().flat_map(|record| &record.crashes);
        let reports = crashes.map(|(note, at)| note.to_report(content, now.since(*at))).collect();
        ContentCrashes { content, reports }
    }

    /// The notes of a content's crashes.
    pub fn notes_of(&self, content: ContentDigest) -> BTreeSet<CrashNote> {
        let state = self.state();
        state.records.get(&content).map(CrashRecord::distinct_crashes).unwrap_or_default()
    }

    /// Confirms that a part of prompts that was stopped here is harmful. Until then it isn't refused.
    /// False if it no longer is stopped.
    pub fn confirm(&self, content: ContentDigest) -> bool {
        let mut state = self.state();
        let Some(record) = state.records.get_mut(&content) else { return false };
        record.confirmed = record.stopped;
        record.confirmed
    }

    /// How long ago the first crash that counts for a content was reported.
    pub fn first_crash_age(&self, content: ContentDigest, now: ClockTime) -> Option<Duration> {
        let state = self.state();
        let crashes = state.records.get(&content)?.crashes.iter();
        crashes.map(|(_, at)| now.since(*at)).max()
    }

    /// The number of suspected and stopped contents.
    pub fn count(&self) -> usize {
        self.state().records.len()
    }

    /// The number of stopped contents.
    pub fn count_stopped(&self) -> usize {
        self.state().records.values().filter(|record| record.stopped).count()
    }

    /// True if a content must not run anywhere.
    pub fn is_stopped(&self, content: ContentDigest) -> bool {
        self.state().records.get(&content).is_some_and(|record| record.stopped)
    }

    /// The contents because of which a request with these digests must not run anywhere.
    pub fn find_stopped(&self, request: &BTreeSet<ContentDigest>) -> BTreeSet<ContentDigest> {
        let state = self.state();
        let stops = |content: &&ContentDigest| {
            state.records.get(content).is_some_and(|record| record.stops(**content, request))
        };
        request.iter().filter(stops).copied().collect()
    }

    /// True if a content was in flight at a crash and has not succeeded since, or is stopped.
    pub fn is_suspect(&self, content: ContentDigest) -> bool {
        self.state().records.contains_key(&content)
    }

    /// The index of a suspect among all current suspects, the same on every entry that
    /// has the same reports; `None` if the content is not suspected or is stopped. The
    /// suspect of rank `r` runs again on upstream `r` of those left, in the order of their
    /// names and modulo their number. So no two suspects share an upstream as long as there
    /// are enough upstreams.
    ///
    /// A content that was just stopped keeps its rank for [`CrashPolicy::crash_window`].
    /// Otherwise the ranks after it would shift while those suspects are about to run. One
    /// of them would then run on the upstream that has just crashed, and be stopped for a
    /// crash that happened before.
    pub fn rerun_rank(&self, content: ContentDigest, now: ClockTime) -> Option<usize> {
        let state = self.state();
        if state.records.get(&content)?.stopped {
            return None;
        }
        let keeps_rank = |record: &CrashRecord| {
            !record.stopped || now.since(record.last_report_at) < self.policy.crash_window
        };
        let mut suspects = state.records.iter().filter(|(_, record)| keeps_rank(record));
        suspects.position(|(suspect, _)| *suspect == content)
    }

    /// True if any report within [`CrashPolicy::crash_window`] is of a crash of the upstream. No
    /// suspect may run again there: if the upstream is still going down, the suspect would be
    /// reported for the same crash, and that would count as its second.
    pub fn crashed_recently(&self, upstream: &UpstreamName, now: ClockTime) -> bool {
        let state = self.state();
        let mut crashes = state.records.values().flat_map(|record| &record.crashes);
        crashes.any(|(note, at)| {
            note.upstream == *upstream && now.since(*at) < self.policy.crash_window
        })
    }

    /// Clears a content after a complete run, which shows that it does not crash upstreams.
    /// True if it was stopped; it must then be lifted in the store too.
    pub fn record_success(&self, content: ContentDigest) -> bool {
        self.clear(content)
    }

    /// Clears a content by an operator's command. False if it wasn't stopped here.
    pub fn lift(&self, content: ContentDigest) -> bool {
        self.clear(content)
    }

    fn clear(&self, content: ContentDigest) -> bool {
        let mut state = self.state();
        let Some(record) = state.records.remove(&content) else { return false };
        state.add_cleared(content, &record.notes);
        record.stopped
    }

    /// Applies the store's record. Returns the contents that it stops although a run
    /// succeeded here between the crashes; they must be [lifted](QuarantineRecord::lift) in
    /// the store.
    pub fn apply_record(&self, record: &QuarantineRecord, now: ClockTime) -> Vec<ContentDigest> {
        let mut state = self.state();
        let mut disputed = Vec::new();
        for (content, entry) in &record.contents {
            if entry.lifted {
                state.apply_lifted(*content, &entry.crashes);
            } else if !state.apply_stopped(*content, &entry.crashes, &self.policy, now) {
                disputed.push(*content);
            }
        }
        disputed
    }

    /// Stopped contents that are not in the store yet, with their crashes.
    pub fn unsaved(&self) -> Vec<(ContentDigest, BTreeSet<CrashNote>)> {
        let state = self.state();
        let unsaved = state.records.iter().filter(|(_, record)| record.stopped && !record.stored);
        unsaved.map(|(content, record)| (*content, record.distinct_crashes())).collect()
    }

    /// Records that the store has a stopped content.
    pub fn mark_stored(&self, content: ContentDigest) {
        if let Some(record) = self.state().records.get_mut(&content) {
            record.stored = true;
        }
    }

    /// Records that the store has a stopped content with these crashes. It stays unsaved if it is
    /// stopped here in less company.
    pub fn mark_stored_with(&self, content: ContentDigest, crashes: &BTreeSet<CrashNote>) {
        if let Some(record) = self.state().records.get_mut(&content) {
            record.stored = common_company(crashes.iter()).is_subset(&record.company());
        }
    }

    /// All suspected or stopped contents.
    pub fn list(&self) -> Vec<SuspectContent> {
        let state = self.state();
        let to_suspect = |(content, record): (&ContentDigest, &CrashRecord)| SuspectContent {
            content: *content,
            crashes: record.distinct_crashes(),
            stopped: record.stopped,
            stored: record.stored,
        };
        state.records.iter().map(to_suspect).collect()
    }
}

impl CrashState {
    fn add_cleared(&mut self, content: ContentDigest, notes: &BTreeSet<CrashNote>) {
        let cleared = self.cleared.entry(content).or_default();
        cleared.extend(notes.iter().cloned());
        while cleared.len() > MAX_CLEARED_NOTES {
            let superfluous = cleared.iter().find(|note| !notes.contains(note)).cloned();
            let Some(superfluous) = superfluous else { break };
            cleared.remove(&superfluous);
        }
    }

    /// True if another request, with a content that is stopped, was in flight at a crash.
    fn has_culprit(&self, content: ContentDigest, note: &CrashNote) -> bool {
        self.stopped_others(content).any(|(other, record)| {
            !note.company.contains(&other) && record.has_crashed(&note.upstream, content)
        })
    }

    /// The records of the other contents that are stopped.
    fn stopped_others(
        &self,
        content: ContentDigest,
    ) -> impl Iterator<Item = (ContentDigest, &CrashRecord)> {
        let others = self.records.iter().filter(move |(other, _)| **other != content);
        let others = others.map(|(other, record)| (*other, record));
        others.filter(|(other, record)| record.stopped && other.part_id().is_none())
    }

    /// Clears other contents' crashes that a stopped content explains: those of suspects on the same
    /// upstreams, and stopped contents that it [explains](CrashRecord::is_explained_by).
    fn explain_others(&mut self, culprit: ContentDigest) {
        if culprit.part_id().is_some() {
            return;
        }
        let Some(record) = self.records.get(&culprit).cloned() else { return };
        let mut explained = Vec::new();
        for (content, other) in self.records.iter_mut().filter(|(other, _)| **other != culprit) {
            if other.stopped && other.is_explained_by(culprit, &record) {
                explained.push(*content);
            } else if !other.stopped {
                other.crashes.retain(|(note, _)| {
                    note.company.contains(&culprit) || !record.has_crashed(&note.upstream, *content)
                });
            }
        }
        for content in explained {
            let notes = self.records.remove(&content).unwrap_or_default().notes;
            self.add_cleared(content, &notes);
            self.explained.insert(content);
        }
    }

    fn evict(&mut self, policy: &CrashPolicy, now: ClockTime) {
        let keep = |record: &CrashRecord| {
            record.stopped || now.since(record.last_report_at) < policy.suspicion_duration
        };
        self.records.retain(|_, record| keep(record));
        if self.records.len() >= policy.max_suspects {
            let age = |record: &CrashRecord| (record.stopped, record.last_report_at);
            let oldest = self.records.iter().min_by_key(|(_, record)| age(record));
            let oldest = oldest.map(|(content, _)| *content);
            oldest.and_then(|content| self.records.remove(&content));
        }
        while self.cleared.len() > policy.max_suspects {
            self.cleared.pop_first();
        }
    }

    /// Stops a content that the store's record stops. False if too few of its crashes
    /// count here, because a run has succeeded since.
    fn apply_stopped(
        &mut self,
        content: ContentDigest,
        crashes: &BTreeSet<CrashNote>,
        policy: &CrashPolicy,
        now: ClockTime,
    ) -> bool {
        let cleared = self.cleared.get(&content);
        let counts = |note: &&CrashNote| cleared.is_none_or(|notes| !notes.contains(note));
        let weight: CrashWeight = crashes.iter().filter(counts).map(|note| note.weight).sum();
        if weight < policy.stop_weight() {
            return false;
        }
        let record = self.records.entry(content).or_default();
        record.notes.extend(crashes.iter().cloned());
        for note in crashes {
            if !record.crashes.iter().any(|(known, _)| known == note) {
                record.crashes.push((note.clone(), now));
            }
        }
        record.stopped = true;
        record.confirmed = true;
        record.stored = true;
        record.last_report_at = now;
        if !policy.blames_stopped {
            return true;
        }
        let record = record.clone();
        let explains = |(other, known)| record.is_explained_by(other, known);
        if self.stopped_others(content).any(explains) {
            self.records.remove(&content);
            self.add_cleared(content, &record.notes);
            return false;
        }
        self.explain_others(content);
        true
    }

    fn apply_lifted(&mut self, content: ContentDigest, crashes: &BTreeSet<CrashNote>) {
        self.add_cleared(content, crashes);
        let cleared = self.cleared.entry(content).or_default();
        let counts = |record: &CrashRecord| !record.notes.is_subset(cleared);
        if !self.records.get(&content).is_some_and(counts) {
            self.records.remove(&content);
        }
    }
}
