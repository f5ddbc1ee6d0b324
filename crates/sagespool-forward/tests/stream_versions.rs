//! Software versions at which streams may be resumed.

use std::time::Duration;

use sagespool_forward::{
    StreamLimits, StreamOrigin, StreamOrigins, VersionHistory, agreed_version,
};
use sagespool_types::{ClockTime, ServiceName, SoftwareVersion};

/// The longest time since the first event of a resumed stream.
const SPAN: Duration = Duration::from_secs(4);
const SEEDS: u64 = 400;
const FRESH: Option<Duration> = Some(Duration::ZERO);

fn service() -> ServiceName {
    "engines".parse().expect("a valid name")
}

fn version(name: &str) -> SoftwareVersion {
    name.to_owned().into()
}

fn at(millis: u64) -> ClockTime {
    ClockTime(millis * 1000)
}

/// A history that observed the listed versions of each half second, from the first one on.
fn history(listed: impl Fn(u64) -> Vec<&'static str>, until_ms: u64) -> VersionHistory {
    let (mut history, service) = (VersionHistory::default(), service());
    for millis in (0..=until_ms).step_by(500) {
        let versions: Vec<SoftwareVersion> = listed(millis).into_iter().map(version).collect();
        history.observe(versions.iter().map(|version| (&service, version)), FRESH, at(millis));
    }
    history
}

/// Guards against a version that is taken for the only one by an instance that has just started.
#[test]
fn short_history() {
    let started = history(|_| vec!["v1"], 3500);
    assert_eq!(started.only_version(&service(), SPAN, at(3500)), None);
    let known = history(|_| vec!["v1"], 4000);
    assert_eq!(known.only_version(&service(), SPAN, at(4000)), Some(&version("v1")));
}

/// Guards against a stream that goes on at the new version, since the one that began it is no longer
/// listed.
#[test]
fn version_replaced() {
    let listed = |millis| if millis < 10_000 { vec!["v1"] } else { vec!["v2"] };
    for (now, only) in [(9_500, Some("v1")), (10_000, None), (16_500, None), (18_000, Some("v2"))] {
        let history = history(listed, now);
        let only = only.map(version);
        assert_eq!(history.only_version(&service(), SPAN, at(now)), only.as_ref(), "{now}");
    }
}

/// Guards against a guess where two versions are listed: a stream that began at the earlier one has been
/// noted when the other one was listed.
#[test]
fn version_added() {
    let listed = |millis| if millis < 10_000 { vec!["v1"] } else { vec!["v1", "v2"] };
    for (now, possible) in [(9_500, vec!["v1"]), (10_000, vec!["v1", "v2"])] {
        let history = history(listed, now);
        let possible: Vec<SoftwareVersion> = possible.into_iter().map(version).collect();
        assert_eq!(history.unnoted_versions(&service(), SPAN, at(now)), Some(possible), "{now}");
        assert_eq!(history.only_version(&service(), SPAN, at(now)).is_some(), now < 10_000);
    }
    let mut history = history(listed, 12_500);
    assert!(!history.is_settled(&service(), &version("v2"), at(12_500)));
    assert!(history.is_settled(&service(), &version("v2"), at(13_000)));
    assert!(!history.note_listed(&service(), &version("v2"), at(13_000)));
    assert!(history.note_listed(&service(), &version("v3"), at(13_000)));
}

/// Guards against a proof by an old list: others may know a version that isn't in it.
#[test]
fn stale_list() {
    let (service, v1) = (service(), version("v1"));
    let mut history = history(|_| vec!["v1"], 10_000);
    let old = Some(Duration::from_millis(3500));
    history.observe([(&service, &v1)].into_iter(), old, at(10_500));
    assert_eq!(history.only_version(&service, SPAN, at(10_500)), None);
    assert_eq!(history.unnoted_versions(&service, SPAN, at(10_500)), None);
    history.observe([(&service, &v1)].into_iter(), FRESH, at(11_000));
    assert_eq!(history.only_version(&service, SPAN, at(11_000)), None);
}

/// Guards against a proof by a process that was paused.
#[test]
fn paused_process() {
    let (service, v1) = (service(), version("v1"));
    let mut history = history(|_| vec!["v1"], 10_000);
    assert_eq!(history.only_version(&service, SPAN, at(13_500)), None);
    history.observe([(&service, &v1)].into_iter(), FRESH, at(14_000));
    assert_eq!(history.only_version(&service, SPAN, at(14_000)), None);
}

/// Guards against an instance out of step that takes the version in its list for the only one, while
/// others, which have listed another one for so long that all up-to-date instances know it, begin streams
/// there: it was cut off, then stood still, with or without its clock.
#[test]
fn instance_out_of_step() {
    let (service, v1) = (service(), version("v1"));
    // The last time at which the list was confirmed.
    let confirmed = 20_000;
    for (cut_ms, still_ms, is_suspended) in out_of_step_cases() {
        let mut history = history(|_| vec!["v1"], confirmed);
        for age in (500..=cut_ms).step_by(500) {
            let age_now = Some(Duration::from_millis(age));
            history.observe([(&service, &v1)].into_iter(), age_now, at(confirmed + age));
        }
        let age = cut_ms + still_ms;
        let now = at(confirmed + if is_suspended { cut_ms } else { age });
        history.check_view(Some(Duration::from_millis(age)), now);
        let case = format!("cut off for {cut_ms} ms, still for {still_ms}, {is_suspended}");
        // Another version that was listed just afterwards is settled elsewhere from there on.
        let is_settled_elsewhere = age > 3000;
        let takes_only = history.only_version(&service, SPAN, now).is_some();
        assert_eq!(takes_only, !is_settled_elsewhere, "{case}");
        let tells_others = history.unnoted_versions(&service, SPAN, now).is_some();
        assert_eq!(tells_others, !is_settled_elsewhere, "{case}");
    }
}

/// Times for which an instance is cut off and then stands still, and whether its clock stands still too.
fn out_of_step_cases() -> impl Iterator<Item = (u64, u64, bool)> {
    let times = (0..=3000).step_by(500);
    let stills =
        times.clone().flat_map(|cut| (0..=6000).step_by(250).map(move |still| (cut, still)));
    stills.flat_map(|(cut, still)| [false, true].map(|suspended| (cut, still, suspended)))
}

/// Guards against memory that grows with the streams, and against old origins.
#[test]
fn bounded_origins() {
    let origins = StreamOrigins::default();
    let origin = |now| StreamOrigin { service: service(), version: version("v1"), began_at: now };
    for number in 0..50_000 {
        origins.record(&format!("r-{number}"), origin(at(number)), at(number));
    }
    let kept =
        (0..50_000).filter(|number| origins.find(&format!("r-{number}"), at(50_000)).is_some());
    assert!((1000..10_000).contains(&kept.count()));
    assert!(origins.find("r-49999", at(50_000)).is_some());
    assert!(origins.find("r-49999", at(150_000)).is_none());
}

/// Guards against a resumption that replaces the version of the beginning.
#[test]
fn first_record_holds() {
    let origins = StreamOrigins::default();
    for name in ["v1", "v2"] {
        let origin = StreamOrigin { service: service(), version: version(name), began_at: at(1) };
        origins.record("r-1", origin, at(1));
    }
    assert_eq!(origins.find("r-1", at(2)).map(|origin| origin.version), Some(version("v1")));
}

/// One instance of the model, with the list as it knows it.
struct ModelInstance {
    history: VersionHistory,
    /// The age of its list: grows while it is cut off.
    cut_since: Option<u64>,
    listed: Vec<ModelUpstream>,
    /// The streams that it began.
    origins: StreamOrigins,
}

/// An upstream of a version. One that is added later is another one.
type ModelUpstream = (SoftwareVersion, u64);

/// A fleet whose instances learn of versions at different times, and are cut off for a while.
struct ModelFleet {
    random: fastrand::Rng,
    instances: Vec<ModelInstance>,
    /// The upstreams that are listed in truth.
    truth: Vec<ModelUpstream>,
    /// Notes that others can find, unless both homes have lost them.
    origins: StreamOrigins,
}

const MODEL_VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v4"];

impl ModelFleet {
    fn new(seed: u64) -> Self {
        let start = |_| ModelInstance {
            history: VersionHistory::default(),
            cut_since: None,
            listed: Vec::new(),
            origins: StreamOrigins::default(),
        };
        Self {
            random: fastrand::Rng::with_seed(seed),
            instances: (0..4).map(start).collect(),
            truth: vec![(version("v1"), 0)],
            origins: StreamOrigins::default(),
        }
    }

    /// Half a second: versions come and go, instances are cut off, join again and restart, and observe.
    fn step(&mut self, now: u64) {
        if self.random.u8(0..40) == 0 {
            let changed = version(MODEL_VERSIONS[self.random.usize(0..MODEL_VERSIONS.len())]);
            match self.truth.iter().position(|(version, _)| *version == changed) {
                Some(number) if self.truth.len() > 1 => drop(self.truth.remove(number)),
                Some(_) => {}
                None => self.truth.push((changed, now)),
            }
        }
        for instance in &mut self.instances {
            match instance.cut_since {
                None if self.random.u8(0..60) == 0 => instance.cut_since = Some(now),
                Some(_) if self.random.u8(0..20) == 0 => instance.cut_since = None,
                _ => {}
            }
            if self.random.u8(0..100) == 0 {
                instance.history = VersionHistory::default();
                instance.origins = StreamOrigins::default();
            }
            if instance.cut_since.is_none() {
                instance.listed.clone_from(&self.truth);
            }
            let age = Duration::from_millis(instance.cut_since.map_or(0, |since| now - since));
            let service = service();
            let listed = instance.listed.iter().map(|(version, _)| (&service, version));
            let changed = instance.history.observe(listed, Some(age), at(now));
            for (request, origin) in changed
                .iter()
                .filter(|_| instance.cut_since.is_none())
                .flat_map(|service| instance.origins.recent(service, SPAN, at(now)))
            {
                self.origins.record(&request, origin, at(now));
            }
        }
    }

    /// Begins a stream at an instance; returns its version, `None` if the upstream is gone.
    fn begin(&mut self, instance: usize, request: &str, now: u64) -> Option<SoftwareVersion> {
        let known = &self.instances[instance];
        let is_settled =
            |upstream: &&ModelUpstream| known.history.is_settled(&service(), &upstream.0, at(now));
        let settled: Vec<&ModelUpstream> = known.listed.iter().filter(is_settled).collect();
        let usable = if settled.is_empty() { known.listed.iter().collect() } else { settled };
        let upstream = *usable.get(self.random.usize(0..usable.len().max(1)))?;
        let began = self.truth.contains(upstream).then(|| upstream.0.clone())?;
        let proven = known.history.only_version(&service(), SPAN, at(now)).is_some();
        let origin = StreamOrigin { service: service(), version: began.clone(), began_at: at(now) };
        known.origins.record(request, origin.clone(), at(now));
        if !proven && known.cut_since.is_none() {
            self.origins.record(request, origin, at(now));
        }
        Some(began)
    }

    /// The version at which an instance that isn't cut off resumes a stream; `None` if it refuses, or
    /// lists no upstream of that version.
    fn resume(&self, instance: usize, request: &str, now: u64) -> Option<SoftwareVersion> {
        let version = self.find_version(instance, request, now)?;
        let listed = &self.instances[instance].listed;
        listed.iter().any(|(other, _)| *other == version).then_some(version)
    }

    fn find_version(&self, instance: usize, request: &str, now: u64) -> Option<SoftwareVersion> {
        if let Some(origin) = self.origins.find(request, at(now)) {
            return Some(origin.version);
        }
        let reachable = self.instances.iter().enumerate();
        let reachable =
            reachable.filter(|(number, other)| *number == instance || other.cut_since.is_none());
        agreed_version(
            reachable
                .filter_map(|(_, other)| other.history.unnoted_versions(&service(), SPAN, at(now))),
        )
    }
}

/// Guards against resumptions at another version, in a fleet whose versions come and go while instances
/// are cut off and restart, and against resumptions that are mostly refused.
#[test]
fn changing_versions() {
    let (mut resumed, mut refused, mut mixed) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut fleet = ModelFleet::new(seed);
        let mut streams: Vec<(String, SoftwareVersion, u64)> = Vec::new();
        for now in (0..120_000).step_by(500) {
            fleet.step(now);
            let instance = fleet.random.usize(0..4);
            let request = format!("r-{now}");
            if let Some(began) = fleet.begin(instance, &request, now) {
                streams.push((request, began, now));
            }
            streams.retain(|(_, _, began_at)| now - began_at <= 4000);
            let instance = fleet.random.usize(0..4);
            if fleet.instances[instance].cut_since.is_some() || streams.is_empty() {
                continue;
            }
            let (request, began, _) = &streams[fleet.random.usize(0..streams.len())];
            match fleet.resume(instance, request, now) {
                Some(version) if version == *began => resumed += 1,
                Some(version) => {
                    mixed += 1;
                    eprintln!("seed {seed}, {now}: {request} began at {began}, {version}");
                }
                None => refused += 1,
            }
        }
    }
    assert_eq!(mixed, 0, "{resumed} resumed, {refused} refused");
    assert!(resumed >= refused, "{resumed} resumed, {refused} refused");
}

/// Guards against a stream that began under a longer limit than the present one, and goes on at another
/// version because its own left before the present limit.
#[test]
fn limit_lowered() {
    let (long, short) = (Duration::from_secs(8), Duration::from_secs(1));
    let mut limits = StreamLimits::default();
    limits.set(long, at(0));
    limits.set(short, at(10_000));
    let history = history(|millis| if millis < 10_000 { vec!["v1"] } else { vec!["v2"] }, 15_000);
    let now = at(15_000);
    assert_eq!(history.only_version(&service(), short, now), Some(&version("v2")));
    assert_eq!(history.only_version(&service(), limits.longest_of(short, now), now), None);
    // All streams that began under the longer limit have ended.
    assert_eq!(limits.longest_of(short, at(18_000)), short);
}
