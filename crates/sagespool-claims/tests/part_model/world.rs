//! Gateways, their upstreams and the store, without a network: time is a number, and messages arrive
//! at once or are lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fastrand::Rng;
use sagespool_claims::{
    CrashNote, CrashPolicy, CrashTracker, CrashVerdict, SuccessLog, part_weight,
};
use sagespool_messages::{ContentCrashes, CrashReport};
use sagespool_types::{AttemptNumber, ClockTime, ContentDigest, CrashWeight, RequestId};

/// Time until all gateways know a change of the store.
const PROPAGATION: Duration = Duration::from_millis(300);
/// Time until a run's first event.
const FIRST_EVENT: Duration = Duration::from_millis(150);
const ASKED_GATEWAYS: usize = 8;
/// Time after the fifth crash from which runs of a bad part count as late.
const LATE_AFTER: Duration = Duration::from_secs(3);
/// Crashes of a part after which its runs may be late.
const COUNTED_CRASHES: usize = 5;

/// What is asked of crashes beside the bad part's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashRule {
    /// A part is refused by itself.
    Alone,
    /// A part is refused in the company that all its crashes had in common.
    InCompany,
}

/// A request: its parts but the last, and its own digest.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    pub parts: BTreeSet<ContentDigest>,
    pub is_bad: bool,
}

struct Run {
    gateway: usize,
    request: ModelRequest,
    content: ContentDigest,
    started_at: ClockTime,
    ends_at: ClockTime,
}

#[derive(Default)]
struct ModelUpstream {
    /// Its name is new after each crash.
    starts: usize,
    runs: Vec<Run>,
}

struct ModelGateway {
    tracker: CrashTracker,
    successes: SuccessLog,
}

/// A change of the store, on its way to all gateways.
struct StoredChange {
    at: ClockTime,
    content: ContentDigest,
    /// The crashes that quarantine it; `None` if it is lifted.
    crashes: Option<BTreeSet<CrashNote>>,
}

/// What came of the requests.
#[derive(Debug, Default, Clone, Copy)]
pub struct ModelFigures {
    pub crashes: usize,
    pub late_runs: usize,
    pub sound: usize,
    pub sound_refused: usize,
    /// Of the requests after the fifth crash and a time that everything may take.
    pub late_sound: usize,
    pub late_sound_refused: usize,
}

pub struct ModelWorld {
    rule: CrashRule,
    rng: Rng,
    now: ClockTime,
    gateways: Vec<ModelGateway>,
    upstreams: Vec<ModelUpstream>,
    stored: BTreeMap<ContentDigest, BTreeSet<CrashNote>>,
    changes: VecDeque<StoredChange>,
    /// Share of the messages between gateways that are lost.
    lost_share: f64,
    /// When each bad part had crashed its fifth upstream.
    bad_crashes: BTreeMap<ContentDigest, (usize, Option<ClockTime>)>,
    next_id: u128,
    pub figures: ModelFigures,
}

impl ModelWorld {
    pub fn start(rule: CrashRule, gateways: usize, upstreams: usize, lost: f64, seed: u64) -> Self {
        let policy = CrashPolicy::builder().stop_at(3).blames_stopped(true).build();
        let gateway = |_| ModelGateway {
            tracker: CrashTracker::with_policy(policy.clone()),
            successes: SuccessLog::default(),
        };
        Self {
            rule,
            rng: Rng::with_seed(seed),
            now: ClockTime::from_millis(1_000),
            gateways: (0..gateways).map(gateway).collect(),
            upstreams: (0..upstreams).map(|_| ModelUpstream::default()).collect(),
            stored: BTreeMap::new(),
            changes: VecDeque::new(),
            lost_share: lost,
            bad_crashes: BTreeMap::new(),
            next_id: 1,
            figures: ModelFigures::default(),
        }
    }

    fn fresh_id(&mut self) -> u128 {
        self.next_id += 1;
        self.next_id
    }

    /// Lets time pass: runs end, and gateways learn changes of the store.
    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now.after(duration);
        while self.changes.front().is_some_and(|change| change.at <= self.now) {
            let Some(change) = self.changes.pop_front() else { break };
            self.apply_change(&change);
        }
        for upstream in 0..self.upstreams.len() {
            let now = self.now;
            let (ended, running): (Vec<Run>, Vec<Run>) =
                self.upstreams[upstream].runs.drain(..).partition(|run| run.ends_at <= now);
            self.upstreams[upstream].runs = running;
            ended.into_iter().for_each(|run| self.succeed(&run));
        }
    }

    /// Sends a request to a gateway.
    pub fn send(&mut self, gateway: usize, request: ModelRequest, duration: Duration) {
        let content = ContentDigest(self.fresh_id());
        let digests: BTreeSet<_> = request.parts.iter().copied().chain([content]).collect();
        let is_late_sound = !request.is_bad && self.is_after_crashes(Duration::from_secs(6));
        let refused = !self.gateways[gateway].tracker.find_stopped(&digests).is_empty();
        if !request.is_bad {
            self.figures.sound += 1;
            self.figures.sound_refused += usize::from(refused);
            self.figures.late_sound += usize::from(is_late_sound);
            self.figures.late_sound_refused += usize::from(is_late_sound && refused);
        }
        if refused {
            return;
        }
        let upstream = self.rng.usize(0..self.upstreams.len());
        let is_bad = request.is_bad;
        let ends_at = self.now.after(duration);
        let started_at = self.now;
        let run = Run { gateway, request: request.clone(), content, started_at, ends_at };
        self.upstreams[upstream].runs.push(run);
        if is_bad {
            self.count_bad_run(&request);
            self.crash(upstream);
        }
    }

    fn count_bad_run(&mut self, request: &ModelRequest) {
        let now = self.now;
        let mut is_late = false;
        for part in request.parts.iter().filter(|part| is_bad_part(**part)) {
            let (crashes, fifth) = self.bad_crashes.entry(*part).or_default();
            is_late |= fifth.is_some_and(|fifth| now.since(fifth) > LATE_AFTER);
            *crashes += 1;
            if *crashes == COUNTED_CRASHES {
                *fifth = Some(now);
            }
        }
        self.figures.late_runs += usize::from(is_late);
    }

    /// True from a time after the fifth crash of a part, or after its last one if there are fewer.
    fn is_after_crashes(&self, duration: Duration) -> bool {
        let mut fifths = self.bad_crashes.values();
        fifths.any(|(_, fifth)| fifth.is_none_or(|fifth| self.now.since(fifth) > duration))
    }

    /// Ends an upstream and its runs.
    pub fn crash(&mut self, upstream: usize) {
        self.figures.crashes += 1;
        let state = &mut self.upstreams[upstream];
        let name = format!("core-{upstream}-{}", state.starts);
        state.starts += 1;
        let runs: Vec<Run> = state.runs.drain(..).collect();
        for run in runs {
            self.report(&run, &name);
        }
    }

    fn report(&mut self, run: &Run, upstream: &str) {
        let upstream = upstream.parse().expect("a valid name");
        let crash = RequestId(self.fresh_id());
        let now = self.now;
        let successes = &mut self.gateways[run.gateway].successes;
        let parts = run.request.parts.iter().copied();
        let suspects: BTreeSet<ContentDigest> =
            parts.filter(|part| !successes.outweigh_break(*part, &upstream, now)).collect();
        let digests: BTreeSet<_> = suspects.iter().copied().chain([run.content]).collect();
        for content in digests.iter().copied() {
            let company = match self.rule {
                CrashRule::Alone => BTreeSet::new(),
                CrashRule::InCompany => {
                    digests.iter().copied().filter(|other| *other != content).collect()
                }
            };
            let upstream = upstream.clone();
            let has_events = now.since(run.started_at) > FIRST_EVENT;
            let (attempt, weight) = (AttemptNumber(1), part_weight(CrashWeight::FULL, has_events));
            let report = CrashReport {
                content,
                crash,
                upstream,
                attempt,
                weight,
                company,
                age: Duration::ZERO,
            };
            self.record(run.gateway, &report);
            for collector in self.collectors(content) {
                self.exchange(run.gateway, collector, content);
            }
        }
    }

    fn collectors(&self, content: ContentDigest) -> [usize; 2] {
        let count = self.gateways.len();
        let first = (content.0 as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) as usize % count;
        [first, (first + 1) % count]
    }

    fn record(&mut self, gateway: usize, report: &CrashReport) {
        let tracker = &self.gateways[gateway].tracker;
        let verdict = tracker.record(report, self.now);
        let explained = tracker.take_explained();
        if matches!(verdict, CrashVerdict::Stopped | CrashVerdict::Widened) {
            self.store(gateway, report.content);
        }
        explained.into_iter().for_each(|content| self.lift(content));
    }

    /// Sends all reports of a content that one gateway knows to another one and back.
    fn exchange(&mut self, from: usize, to: usize, content: ContentDigest) {
        if from == to || self.rng.f64() < self.lost_share {
            return;
        }
        for (sender, receiver) in [(from, to), (to, from)] {
            let known = self.gateways[sender].tracker.crashes_of(content, self.now);
            let before = self.gateways[receiver].tracker.notes_of(content);
            let is_new = |report: &&CrashReport| !before.contains(&CrashNote::of(report));
            for report in known.reports.iter().filter(is_new) {
                self.record(receiver, report);
            }
        }
    }

    fn store(&mut self, gateway: usize, content: ContentDigest) {
        let known = self.gateways[gateway].tracker.crashes_of(content, self.now);
        if content.part_id().is_some() && self.has_succeeded(gateway, content) {
            self.gateways[gateway].tracker.record_success(content);
            for collector in self.collectors(content) {
                self.gateways[collector].tracker.withdraw(&known);
            }
            return;
        }
        self.gateways[gateway].tracker.confirm(content);
        let notes = known.reports.iter().map(CrashNote::of);
        let stored = self.stored.entry(content).or_default();
        stored.extend(notes);
        let crashes = Some(stored.clone());
        self.changes.push_back(StoredChange { at: self.now.after(PROPAGATION), content, crashes });
    }

    /// Whether one of some other gateways has had a success since the first crash.
    fn has_succeeded(&mut self, gateway: usize, content: ContentDigest) -> bool {
        let first = self.gateways[gateway].tracker.first_crash_age(content, self.now);
        let count = self.gateways.len();
        let asked: Vec<usize> = (0..ASKED_GATEWAYS).map(|_| self.rng.usize(0..count)).collect();
        let ages = asked.into_iter().filter(|other| *other != gateway);
        let mut ages =
            ages.filter_map(|other| self.gateways[other].successes.age(content, self.now));
        ages.any(|age| first.is_some_and(|first| age < first))
    }

    fn lift(&mut self, content: ContentDigest) {
        if self.stored.remove(&content).is_some() {
            let at = self.now.after(PROPAGATION);
            self.changes.push_back(StoredChange { at, content, crashes: None });
        }
    }

    fn apply_change(&mut self, change: &StoredChange) {
        let content = change.content;
        let mut disputed = BTreeSet::new();
        for gateway in &self.gateways {
            let Some(crashes) = &change.crashes else {
                gateway.tracker.lift(content);
                continue;
            };
            let reports =
                crashes.iter().map(|note| note.to_report(content, Duration::ZERO)).collect();
            let stopped = ContentCrashes { content, reports };
            let succeeded = gateway.successes.is_recent(content, self.now);
            if succeeded || !gateway.tracker.stop(&stopped, self.now) {
                disputed.insert(content);
            }
            disputed.extend(gateway.tracker.take_explained());
        }
        disputed.into_iter().for_each(|content| self.lift(content));
    }

    fn succeed(&mut self, run: &Run) {
        for part in run.request.parts.clone() {
            let gateway = &mut self.gateways[run.gateway];
            gateway.successes.record(part, self.now);
            let known = gateway.tracker.crashes_of(part, self.now);
            if known.reports.is_empty() {
                continue;
            }
            let mut lifted = gateway.tracker.record_success(part);
            for collector in self.collectors(part) {
                lifted |= self.gateways[collector].tracker.withdraw(&known);
            }
            if lifted {
                self.lift(part);
            }
        }
    }
}

/// The bad parts are those with a small id.
pub fn is_bad_part(part: ContentDigest) -> bool {
    part.part_id().is_some_and(|id| id < 10)
}
