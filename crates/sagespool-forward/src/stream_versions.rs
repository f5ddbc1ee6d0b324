//! Software versions at which streams may be resumed.
//!
//! What two versions of an upstream's software write doesn't fit together, so a stream may be resumed
//! only at the version that began it. [`StreamOrigins`] remembers that version for each resumable
//! stream; [`VersionHistory`] tells whether there was only one it can have been.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagespool_types::{ClockTime, ServiceName, SoftwareVersion};

/// Time for which versions that are no longer listed are kept, and streams' origins.
const RETENTION: Duration = Duration::from_secs(60);
/// With an older view, or without an observation for this long, versions may have come and gone
/// unseen.
const MAX_VIEW_AGE: Duration = Duration::from_secs(3);
const SHARD_COUNT: usize = 16;
/// Streams that a shard remembers, about 200 bytes each; the oldest are dropped first.
const MAX_SHARD_ORIGINS: usize = 512;

/// When a version was listed.
#[derive(Debug, Clone, Copy)]
struct ListedSpan {
    first: ClockTime,
    last: ClockTime,
}

/// The software versions of services that were listed lately.
///
/// An instance notes each resumable stream at others, unless its history proves that there is only one
/// version, and notes its streams when another version is listed. So a stream that nobody has noted
/// began at the only version of its time.
#[derive(Debug, Default)]
pub struct VersionHistory {
    listed: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, ListedSpan>>,
    /// Since when no version can have been listed unseen; `None` if the list isn't up to date.
    complete_since: Option<ClockTime>,
    observed_at: Option<ClockTime>,
}

impl VersionHistory {
    /// Records the versions that are listed now. `view_age` is the age of the list; `None` if it is
    /// unknown. Returns the services with a version that wasn't listed before.
    pub fn observe<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
        view_age: Option<Duration>,
        now: ClockTime,
    ) -> BTreeSet<ServiceName> {
        let is_current = self.check_view(view_age, now);
        self.observed_at = Some(now);
        if is_current {
            self.complete_since.get_or_insert(now);
        }
        let mut changed = BTreeSet::new();
        for (service, version) in listed {
            if self.note_listed(service, version, now) {
                changed.insert(service.clone());
            }
        }
        self.listed.retain(|_, versions| {
            versions.retain(|_, span| now.since(span.last) < RETENTION);
            !versions.is_empty()
        });
        changed
    }

    /// Discards the history if the list is too old by now, or wasn't observed for too long. True if the
    /// list is up to date. To be called before each decision by the history.
    ///
    /// Guards against an instance that stood still or was cut off since it last observed its list: others
    /// begin streams at versions that it doesn't know. The age counts the time in which a machine is
    /// suspended, which the process's clock doesn't.
    pub fn check_view(&mut self, view_age: Option<Duration>, now: ClockTime) -> bool {
        let is_current = view_age.is_some_and(|age| age <= MAX_VIEW_AGE);
        let is_gapless = self.observed_at.is_some_and(|at| now.since(at) <= MAX_VIEW_AGE);
        if !is_current || !is_gapless {
            self.complete_since = None;
        }
        is_current
    }

    /// Records that a version is listed now. True if it wasn't before.
    pub fn note_listed(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now: ClockTime,
    ) -> bool {
        let versions = match self.listed.get_mut(service) {
            Some(versions) => versions,
            None => self.listed.entry(service.clone()).or_default(),
        };
        if let Some(listed) = versions.get_mut(version)
            && now.since(listed.last) <= MAX_VIEW_AGE
        {
            listed.last = now;
            return false;
        }
        versions.insert(version.clone(), ListedSpan { first: now, last: now });
        true
    }

    /// Whether the history covers the last `span`, as of now.
    fn covers(&self, span: Duration, now: ClockTime) -> bool {
        self.observed_at.is_some_and(|at| now.since(at) <= MAX_VIEW_AGE)
            && self.complete_since.is_some_and(|since| now.since(since) >= span)
    }

    /// The versions of a service that were listed within `span`, or a view's age before it.
    fn versions_within(
        &self,
        service: &ServiceName,
        span: Duration,
        now: ClockTime,
    ) -> impl Iterator<Item = (&SoftwareVersion, &ListedSpan)> {
        let versions = self.listed.get(service).into_iter().flatten();
        versions.filter(move |(_, listed)| now.since(listed.last) <= span + MAX_VIEW_AGE)
    }

    /// Whether a version has been listed for so long that every instance with an up-to-date list knows
    /// it.
    ///
    /// Guards against a stream that a gateway begins at a new version and can't note at others, which
    /// would take it for one of the only version that they know.
    pub fn is_settled(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now: ClockTime,
    ) -> bool {
        let listed = self.listed.get(service).and_then(|versions| versions.get(version));
        listed.is_some_and(|listed| now.since(listed.first) >= MAX_VIEW_AGE)
    }

    /// The only version that can have begun a stream of a service within `span`; `None` if there may
    /// have been several.
    pub fn only_version(
        &self,
        service: &ServiceName,
        span: Duration,
        now: ClockTime,
    ) -> Option<&SoftwareVersion> {
        if !self.covers(span, now) {
            return None;
        }
        let mut versions = self.versions_within(service, span, now).map(|(version, _)| version);
        versions.next().filter(|_| versions.next().is_none())
    }

    /// The versions that can have begun a stream of a service within `span` which no instance has
    /// noted; `None` if the history doesn't tell.
    pub fn unnoted_versions(
        &self,
        service: &ServiceName,
        span: Duration,
        now: ClockTime,
    ) -> Option<Vec<SoftwareVersion>> {
        if !self.covers(span, now) {
            return None;
        }
        let versions = self.versions_within(service, span, now);
        Some(versions.map(|(version, _)| version.clone()).collect())
    }
}

/// The longest time limit of resumable streams, in the configuration and in those that it replaced.
///
/// Guards against streams that began under a longer limit: when their version has left for longer than
/// the present limit, the versions within it tell nothing about them.
#[derive(Debug, Default)]
pub struct StreamLimits {
    current: Duration,
    /// Longer limits, and when they were replaced.
    replaced: Vec<(Duration, ClockTime)>,
}

impl StreamLimits {
    /// Records the longest limit of a configuration that comes into force.
    pub fn set(&mut self, limit: Duration, now: ClockTime) {
        self.replaced.retain(|(former, at)| now.since(*at) < *former);
        if limit < self.current {
            self.replaced.push((self.current, now));
        }
        self.current = limit;
    }

    /// The longest limit under which a stream that is still awaited may have begun.
    pub fn longest(&self, now: ClockTime) -> Duration {
        let replaced = self.replaced.iter().filter(|(limit, at)| now.since(*at) < *limit);
        replaced.map(|(limit, _)| *limit).fold(self.current, Duration::max)
    }

    /// The longest limit under which a stream of a route may have begun.
    pub fn longest_of(&self, route_limit: Duration, now: ClockTime) -> Duration {
        match self.longest(now) {
            longest if longest > self.current => longest,
            _ => route_limit,
        }
    }
}

/// The version that began a stream which no instance has noted, by what several histories tell; `None`
/// if it can have been more than one.
pub fn agreed_version(
    told: impl IntoIterator<Item = Vec<SoftwareVersion>>,
) -> Option<SoftwareVersion> {
    let mut possible = told.into_iter().flatten();
    let first = possible.next()?;
    possible.all(|other| other == first).then_some(first)
}

/// The upstreams' software that sent a stream's first event.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The software version of the upstream.
    pub version: SoftwareVersion,
    /// When the stream began.
    pub began_at: ClockTime,
}

/// The origins of resumable streams, by the caller's id of the attempt that brought the first event.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    shards: [Mutex<OriginShard>; SHARD_COUNT],
}

#[derive(Debug, Default)]
struct OriginShard {
    origins: HashMap<String, StreamOrigin>,
    /// The ids, the earliest recorded first.
    order: VecDeque<String>,
}

impl OriginShard {
    fn drop_old(&mut self, now: ClockTime) {
        while let Some(oldest) = self.order.front() {
            let origin = self.origins.get(oldest);
            let is_old = origin.is_none_or(|origin| now.since(origin.began_at) >= RETENTION);
            if !is_old && self.order.len() <= MAX_SHARD_ORIGINS {
                return;
            }
            if let Some(oldest) = self.order.pop_front() {
                self.origins.remove(&oldest);
            }
        }
    }
}

impl StreamOrigins {
    fn shard(&self, request: &str) -> MutexGuard<'_, OriginShard> {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(request);
        lock(&self.shards[hash as usize % SHARD_COUNT])
    }

    /// Records the origin of a stream. The first record of a stream holds: a resumption isn't a
    /// beginning.
    pub fn record(&self, request: &str, origin: StreamOrigin, now: ClockTime) {
        let mut shard = self.shard(request);
        if shard.origins.contains_key(request) {
            return;
        }
        shard.origins.insert(request.to_owned(), origin);
        shard.order.push_back(request.to_owned());
        shard.drop_old(now);
    }

    /// The streams of a service that began within `span`.
    pub fn recent(
        &self,
        service: &ServiceName,
        span: Duration,
        now: ClockTime,
    ) -> Vec<(String, StreamOrigin)> {
        let mut recent = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let found = shard.origins.iter().filter(|(_, origin)| {
                origin.service == *service && now.since(origin.began_at) <= span
            });
            recent.extend(found.map(|(request, origin)| (request.clone(), origin.clone())));
        }
        recent
    }

    /// The number of streams whose origin is known.
    pub fn count(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).origins.len()).sum()
    }

    /// The origin of a stream, if it is known.
    pub fn find(&self, request: &str, now: ClockTime) -> Option<StreamOrigin> {
        let origin = self.shard(request).origins.get(request).cloned();
        origin.filter(|origin| now.since(origin.began_at) < RETENTION)
    }
}

fn lock(shard: &Mutex<OriginShard>) -> MutexGuard<'_, OriginShard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The versions at which a stream may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedVersion {
    /// Any: it has no event yet.
    Any,
    /// Only the version that began it.
    Only(SoftwareVersion),
    /// Nobody knows the version that began it.
    Unknown,
}

impl AllowedVersion {
    /// Whether the stream may go on at an upstream with this version.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Unknown => false,
        }
    }
}
