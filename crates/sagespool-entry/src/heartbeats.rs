//! Heartbeats with other members, and the instance list that seeds the membership.

use std::collections::HashSet;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_membership::ListedMember;
use sagespool_messages::{MemberInfo, MemberRole, PeerReply, PeerRequest};
use sagespool_platform::ListedState;
use sagespool_types::{ClockTime, IncarnationId, UpstreamName};

use crate::run::refresh_limits;
use crate::state::EntryState;

const TICK: Duration = Duration::from_millis(100);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
const LIST_POLL_WAIT: Duration = Duration::from_secs(20);
const LIST_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Sends heartbeats as they become due, and updates the routing table from the members' newest
/// reports.
pub(crate) async fn run_heartbeats(state: Arc<EntryState>) {
    let mut was_settled = false;
    loop {
        let now = ClockTime::now();
        was_settled = note_settled(&state, was_settled, now);
        for (address, beat) in state.members.due_heartbeats(now) {
            let state = Arc::clone(&state);
            smol::spawn(async move {
                let request = PeerRequest::Heartbeat(beat);
                match state.link().request(address, &request, HEARTBEAT_TIMEOUT).await {
                    Ok(PeerReply::Heartbeat(reply)) => {
                        state.members.handle_reply(address, &reply, ClockTime::now());
                        state.follower.observe_member(&reply.from);
                        refresh_upstreams(&state);
                    }
                    _ => state.members.record_call_failure(address, ClockTime::now()),
                }
            })
            .detach();
        }
        refresh_upstreams(&state);
        refresh_limits(&state);
        smol::Timer::after(TICK).await;
    }
}

/// Logs when the view of the fleet becomes complete or incomplete. Until it is first complete,
/// callers are refused as `not-ready`.
fn note_settled(state: &EntryState, was_settled: bool, now: ClockTime) -> bool {
    let is_settled = state.members.is_settled();
    if is_settled != was_settled {
        let members = state.members.members().len();
        let running_ms = now.since(state.started).as_millis();
        log_event!(
            info,
            "members-settled",
            settled = is_settled,
            members = members,
            running_ms = running_ms
        );
    }
    is_settled
}

/// Updates the routing table from the members' reports on their upstreams.
pub(crate) fn refresh_upstreams(state: &EntryState) {
    let now = ClockTime::now();
    state.seal_targets.observe(&state.members.members());
    let live = state.members.live(MemberRole::Sidecar, now);
    for member in &live {
        state.upstreams.observe(member, now);
    }
    update_availability(state, &live);
    let entries = state.members.live(MemberRole::Entry, now).len();
    state.upstreams.set_entries(entries as u32);
    state.limits.set_entries(entries as u32);
}

/// Whether an upstream accepts requests, by its sidecar's last report.
#[derive(Debug)]
pub(crate) struct UpstreamAvailability {
    upstream: UpstreamName,
    /// Healthy, not drained and not leaving.
    accepts_work: bool,
}

/// Removes sidecars that are gone from the routing table, and logs each change of an upstream's
/// availability.
fn update_availability(state: &EntryState, live: &[MemberInfo]) {
    let present: HashSet<IncarnationId> = live.iter().map(|member| member.incarnation).collect();
    let mut known = state.known_sidecars.lock().unwrap_or_else(PoisonError::into_inner);
    known.retain(|sidecar, last| {
        let is_present = present.contains(sidecar);
        if !is_present {
            state.upstreams.remove(*sidecar);
            log_availability(*sidecar, &last.upstream, "gone");
        }
        is_present
    });
    for member in live {
        let Some(served) = &member.serves else { continue };
        let accepts_work = served.healthy && !member.leaving;
        let last = known.get(&member.incarnation);
        if last.is_some_and(|last| last.accepts_work == accepts_work) {
            continue;
        }
        let change = if accepts_work { "takes-work" } else { "takes-none" };
        log_availability(member.incarnation, &served.upstream, change);
        let newest = UpstreamAvailability { upstream: served.upstream.clone(), accepts_work };
        known.insert(member.incarnation, newest);
    }
}

fn log_availability(sidecar: IncarnationId, upstream: &UpstreamName, change: &str) {
    log_event!(info, "upstream-changed", upstream = upstream, sidecar = sidecar, change = change);
}

/// Follows the platform's instance list.
pub(crate) async fn run_instance_watch(state: Arc<EntryState>) {
    let mut after = None;
    loop {
        let wait =
            if state.members.is_listed_leaving() { LIST_RETRY_PAUSE } else { LIST_POLL_WAIT };
        let Ok(listing) = state.instances.list(after, wait).await else {
            smol::Timer::after(LIST_RETRY_PAUSE).await;
            continue;
        };
        after = Some(listing.revision);
        let listed: Vec<ListedMember> = listing
            .instances
            .into_iter()
            .map(|item| ListedMember {
                instance: item.instance,
                role: item.role,
                address: item.address,
                leaving: item.state == ListedState::Leaving,
            })
            .collect();
        let sidecars = listed.iter().filter(|listed| listed.role == MemberRole::Sidecar);
        state.seal_targets.set_listed(sidecars.map(|listed| listed.instance.clone()));
        // The platform may list this instance as leaving before the process receives a signal.
        if state.members.apply_instance_list(&listed, ClockTime::now()) {
            state.leave();
        }
    }
}
