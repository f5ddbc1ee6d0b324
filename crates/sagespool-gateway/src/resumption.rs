//! The software version at which a stream may be resumed.
//!
//! The gateway that forwards a stream's first event notes the version that sent it at the stream's
//! homes, a gateway and a relay chosen by the request's id, unless it knows that there is one version, and notes
//! its recent streams when another one is listed. Before a gateway resumes a stream it asks these, and
//! refuses what nobody can vouch for: pieces of two versions don't fit together.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::vec::IntoIter;

use async_channel::bounded;
use event_listener::Event;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use sagespool_forward::{
    AllowedVersion, StreamOrigin, StreamOrigins, UpstreamRecord, agreed_version,
};
use sagespool_link::within;
use sagespool_log::log_event;
use sagespool_messages::{
    MemberInfo, MemberRole, PeerReply, PeerRequest, StreamNote, StreamQuery, StreamReply,
};
use sagespool_types::{ClockTime, IncarnationId, ServiceName, SoftwareVersion};

use crate::context::RequestContext;
use crate::state::GatewayState;

/// Processes at which a stream is noted: a gateway and a relay, or two gateways without relays.
const NOTED_HOMES: usize = 2;
/// Gateways that are asked for a stream. More than note it: those who note it and those who ask may
/// know other members.
const ASKED_HOMES: usize = 4;
/// Relays that are asked for a stream.
const ASKED_RELAYS: usize = 3;
/// How long the first event waits until one home has the note, so that the stream can go on when this
/// gateway is killed.
const NOTE_WAIT: Duration = Duration::from_millis(60);
const NOTE_TIMEOUT: Duration = Duration::from_millis(500);
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit on the wait if the own history already tells the version.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);
/// Time beyond a route's time limit in which a caller's further attempt may arrive.
const RESUME_MARGIN: Duration = Duration::from_millis(500);

/// Times that a note is sent to further homes in place of those that don't acknowledge it, with the
/// first.
const NOTE_ROUNDS: usize = 3;

/// Notes sent to a home at once when a version is listed.
const MAX_SENT_NOTES: usize = 256;

/// The services with a software version that has just been listed.
#[derive(Debug, Default)]
pub(crate) struct NewVersions {
    services: Mutex<BTreeSet<ServiceName>>,
    added: Event,
}

impl NewVersions {
    pub(crate) fn add(&self, services: impl IntoIterator<Item = ServiceName>) {
        self.services().extend(services);
        self.added.notify(usize::MAX);
    }

    fn services(&self) -> MutexGuard<'_, BTreeSet<ServiceName>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for services, and takes them.
    async fn take(&self) -> BTreeSet<ServiceName> {
        loop {
            let added = self.added.listen();
            let services = std::mem::take(&mut *self.services());
            if !services.is_empty() {
                return services;
            }
            added.await;
        }
    }
}

/// Notes the streams that began before a further version was listed, until cancelled.
pub(crate) async fn note_recent_streams(state: Arc<GatewayState>) {
    loop {
        for service in state.new_versions.take().await {
            let now = ClockTime::now();
            let longest = state.stream_limits().longest(now) + RESUME_MARGIN;
            let recent = state.origins.recent(&service, longest, now);
            log_event!(info, "version-listed", service = service, streams = recent.len());
            send_recent(&state, recent, now).await;
        }
    }
}

async fn send_recent(state: &GatewayState, recent: Vec<(String, StreamOrigin)>, now: ClockTime) {
    let pending = recent.into_iter().map(|(stream, origin)| {
        PendingNote::new(note_of(&stream, origin, now), note_homes(state, &stream, now))
    });
    send_notes(state, pending.collect(), || ()).await;
}

/// A note that isn't at enough homes yet.
struct PendingNote {
    note: StreamNote,
    /// The homes that weren't tried, in order.
    homes: IntoIter<MemberInfo>,
    /// The number of homes that lack it.
    missing: usize,
}

impl PendingNote {
    fn new(note: StreamNote, homes: Vec<MemberInfo>) -> Self {
        Self { note, missing: NOTED_HOMES.min(homes.len()), homes: homes.into_iter() }
    }
}

/// Sends notes to their homes, and those that a home doesn't acknowledge to the next ones. Calls
/// `noted` for each message that was acknowledged.
async fn send_notes(state: &GatewayState, mut pending: Vec<PendingNote>, noted: impl Fn()) {
    for _ in 0..NOTE_ROUNDS {
        let mut notes: BTreeMap<IncarnationId, (MemberInfo, Vec<usize>)> = BTreeMap::new();
        for (index, note) in pending.iter_mut().enumerate() {
            let homes: Vec<MemberInfo> = note.homes.by_ref().take(note.missing).collect();
            note.missing -= homes.len();
            for home in homes {
                let (_, of_home) = notes.entry(home.incarnation).or_insert((home, Vec::new()));
                of_home.push(index);
            }
        }
        let chunks = notes.values().flat_map(|(home, indexes)| {
            indexes.chunks(MAX_SENT_NOTES).map(move |indexes| (home, indexes))
        });
        let sent = chunks.map(async |(home, indexes)| {
            let notes = indexes.iter().map(|index| pending[*index].note.clone()).collect();
            let is_noted = send_to_home(state, home, &PeerRequest::NoteStreams(notes)).await;
            if is_noted {
                noted();
            }
            (!is_noted).then(|| indexes.to_vec())
        });
        let failed: Vec<usize> = join_all(sent).await.into_iter().flatten().flatten().collect();
        failed.into_iter().for_each(|index| pending[index].missing += 1);
        pending.retain(|note| note.missing > 0);
        if pending.is_empty() {
            return;
        }
    }
    log_event!(warn, "streams-unnoted", streams = pending.len());
}

/// Sends notes to a home. True if it has them.
async fn send_to_home(state: &GatewayState, home: &MemberInfo, request: &PeerRequest) -> bool {
    let reply = state.fleet.call(home.address, request, NOTE_TIMEOUT).await;
    if matches!(reply, Ok(PeerReply::Done)) {
        return true;
    }
    let error = reply.err().map(|error| error.to_string()).unwrap_or_default();
    log_event!(warn, "stream-note-failed", to = home.instance, error = error);
    false
}

/// How the version of a resumed stream became known, or that it didn't.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OriginSource {
    /// This gateway began or resumed the stream.
    Own,
    /// A home had the note.
    Home,
    /// There was one version.
    History,
    /// Nobody could tell.
    Nobody,
}

impl OriginSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Home => "home",
            Self::History => "history",
            Self::Nobody => "nobody",
        }
    }
}

/// The homes' replies to a query.
#[derive(Debug, Default)]
struct HomeReplies {
    found: Option<StreamNote>,
    unnoted: Vec<Vec<SoftwareVersion>>,
    /// Whether every gateway replied.
    all: bool,
}

impl RequestContext {
    /// The longest time since the first event of a stream that is resumed on this request's route. A
    /// caller's attempts share one deadline.
    fn resume_span(&self, now: ClockTime) -> Duration {
        let limits = self.state.stream_limits();
        limits.longest_of(self.request.route.time_limit, now) + RESUME_MARGIN
    }

    /// The caller's id of the attempt that brought the stream's first event.
    fn stream_id(&self) -> &str {
        self.request.attributes.resumes.as_ref().unwrap_or(&self.request.attributes.request)
    }

    /// Whether its caller resumes a stream.
    fn is_resumption(&self) -> bool {
        self.request.route.resumable && self.request.attributes.resume_after.is_some()
    }

    /// Finds the version that a resumption has to go on at. False if nobody knows it.
    pub(crate) async fn find_version(&mut self) -> bool {
        if !self.is_resumption() {
            return true;
        }
        let (version, source) = find_origin(self).await;
        log_event!(
            info,
            "stream-resumed",
            request = self.request.attributes.request,
            resumes = self.stream_id(),
            after = self.request.attributes.resume_after.unwrap_or(0),
            version = version.as_ref().map_or_else(|| "-".to_owned(), SoftwareVersion::to_string),
            source = source.as_str(),
        );
        self.state.metrics.count_resumption(source.as_str());
        if let (Some(version), OriginSource::History) = (&version, source) {
            self.share_origin(version.clone()).await;
        }
        self.allowed = version.map_or(AllowedVersion::Unknown, AllowedVersion::Only);
        self.allowed != AllowedVersion::Unknown
    }

    /// Notes the version that sends a stream's first event, before it is forwarded.
    pub(crate) async fn note_origin(&mut self, upstream: &UpstreamRecord) {
        if !self.request.route.resumable || self.allowed != AllowedVersion::Any {
            return;
        }
        // An upstream that has restarted meanwhile may have had another version already.
        if !self.state.upstreams().has_version(upstream) {
            self.allowed = AllowedVersion::Unknown;
            return;
        }
        self.allowed = AllowedVersion::Only(upstream.version.clone());
        self.share_origin(upstream.version.clone()).await;
    }

    /// Records the version of this stream, also at its homes unless there is only one version.
    async fn share_origin(&self, version: SoftwareVersion) {
        let now = ClockTime::now();
        let service = self.request.service.clone();
        let origin = StreamOrigin { service, version, began_at: now };
        self.state.origins.record(self.stream_id(), origin.clone(), now);
        let span = self.resume_span(now);
        if self.state.checked_versions(now).only_version(&origin.service, span, now).is_some() {
            return;
        }
        let homes = note_homes(&self.state, self.stream_id(), now);
        let note = note_of(self.stream_id(), origin, now);
        send_note(&self.state, homes, note).await;
    }
}

fn note_of(request: &str, origin: StreamOrigin, now: ClockTime) -> StreamNote {
    let StreamOrigin { service, version, began_at } = origin;
    StreamNote { request: request.to_owned(), service, version, age: now.since(began_at) }
}

/// The homes of a stream without this gateway, in the order of their rank.
fn homes_of(state: &GatewayState, stream: &str, now: ClockTime) -> Vec<MemberInfo> {
    let mut homes = state.fleet.members.homes_of_subject(stream, ASKED_HOMES, now);
    homes.retain(|home| home.incarnation != state.fleet.run);
    homes
}

/// The homes at which a stream may be noted, in order: the first relay, the first gateway in another data
/// centre, and then those that are asked too.
///
/// Guards against streams that nobody knows after all gateways were killed at once.
fn note_homes(state: &GatewayState, stream: &str, now: ClockTime) -> Vec<MemberInfo> {
    let mut relays = state.fleet.members.sidecars_of_subject(stream, ASKED_RELAYS, now).into_iter();
    let mut homes: Vec<MemberInfo> = relays.next().into_iter().collect();
    homes.extend(homes_of(state, stream, now));
    if let Some(first) = homes.first().map(|home| home.centre.clone()) {
        homes[1..].sort_by_key(|home| home.centre == first);
    }
    homes.extend(relays);
    homes
}

/// Sends a note to homes; returns once one of them has it, or after [`NOTE_WAIT`].
async fn send_note(state: &Arc<GatewayState>, homes: Vec<MemberInfo>, note: StreamNote) {
    if homes.is_empty() {
        return;
    }
    let (noted, wait) = bounded::<()>(homes.len());
    let state = state.clone();
    smol::spawn(async move {
        let pending = vec![PendingNote::new(note, homes)];
        let tell_noted = || {
            // Fails once nobody waits any more.
            let _ = noted.try_send(());
        };
        send_notes(&state, pending, tell_noted).await;
    })
    .detach();
    let _ = within(NOTE_WAIT, wait.recv()).await;
}

async fn find_origin(context: &RequestContext) -> (Option<SoftwareVersion>, OriginSource) {
    let (state, now) = (&context.state, ClockTime::now());
    let (stream, span) = (context.stream_id(), context.resume_span(now));
    let service = &context.request.service;
    // Another service's version says nothing.
    let version_of = |note: StreamNote| (note.service == *service).then_some(note.version);
    if let Some(origin) = state.origins.find(stream, now) {
        return (version_of(note_of(stream, origin, now)), OriginSource::Own);
    }
    let (only, unnoted) = {
        let versions = state.checked_versions(now);
        let only = versions.only_version(service, span, now).cloned();
        (only, versions.unnoted_versions(service, span, now))
    };
    let timeout = if only.is_some() { CONFIRM_TIMEOUT } else { QUERY_TIMEOUT };
    let query = StreamQuery { request: stream.to_owned(), service: service.clone(), span };
    let homes = homes_of(state, stream, now);
    let relays = state.fleet.members.sidecars_of_subject(stream, ASKED_RELAYS, now);
    let replies = ask_homes(state, homes, relays, query, timeout).await;
    if let Some(note) = replies.found {
        record_notes(&state.origins, vec![note.clone()], ClockTime::now());
        return (version_of(note), OriginSource::Home);
    }
    // Another version may have been listed, or the list may have become too old, while they were asked.
    let now = ClockTime::now();
    let still_only = state.checked_versions(now).only_version(service, span, now).cloned();
    let version = match replies.all {
        true => agreed_version(unnoted.into_iter().chain(replies.unnoted)),
        false => only.filter(|only| still_only.as_ref() == Some(only)),
    };
    let source = if version.is_some() { OriginSource::History } else { OriginSource::Nobody };
    (version, source)
}

/// Asks the gateways and relays at which a stream may be noted at the same time, until one of them knows
/// it.
async fn ask_homes(
    state: &GatewayState,
    homes: Vec<MemberInfo>,
    relays: Vec<MemberInfo>,
    query: StreamQuery,
    timeout: Duration,
) -> HomeReplies {
    let mut replies = HomeReplies::default();
    let asked = homes.len();
    let request = PeerRequest::FindStream(query);
    let call = |home: MemberInfo| {
        let request = &request;
        async move { (home.role, state.fleet.call(home.address, request, timeout).await) }
    };
    let mut calls: FuturesUnordered<_> = homes.into_iter().chain(relays).map(call).collect();
    let mut replied = 0;
    while let Some((role, reply)) = calls.next().await {
        let Ok(PeerReply::Stream(StreamReply { origin, unnoted })) = reply else {
            continue;
        };
        replied += usize::from(role == MemberRole::Entry);
        replies.unnoted.extend(unnoted);
        if origin.is_some() {
            replies.found = origin;
            return replies;
        }
    }
    // Without a home this gateway may be cut off.
    replies.all = asked > 0 && replied == asked;
    replies
}

/// Records other gateways' notes.
pub(crate) fn record_notes(origins: &StreamOrigins, notes: Vec<StreamNote>, now: ClockTime) {
    for StreamNote { request, service, version, age } in notes {
        let origin = StreamOrigin { service, version, began_at: now.before(age) };
        origins.record(&request, origin, now);
    }
}

/// The note of a stream, if it is known.
pub(crate) fn find_note(
    origins: &StreamOrigins,
    stream: &str,
    now: ClockTime,
) -> Option<StreamNote> {
    origins.find(stream, now).map(|origin| note_of(stream, origin, now))
}

/// Replies to a gateway that resumes a stream.
pub(crate) fn stream_reply(
    state: &GatewayState,
    query: &StreamQuery,
    now: ClockTime,
) -> StreamReply {
    StreamReply {
        origin: find_note(&state.origins, &query.request, now),
        unnoted: state.checked_versions(now).unnoted_versions(&query.service, query.span, now),
    }
}
