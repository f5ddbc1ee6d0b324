//! Exchanges heartbeats with other processes, and reads the instance list for seeds.

use std::sync::Arc;
use std::time::Duration;

use sagespool_membership::ListedMember;
use sagespool_messages::{PeerReply, PeerRequest};
use sagespool_platform::{ListedInstance, ListedState};
use sagespool_types::ClockTime;
use smol::Timer;

use super::state::SidecarState;

/// How often due heartbeats are sent.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A peer that takes longer to answer counts as having missed the heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Average time between two reads of the instance list. Gossip is faster; the
/// list is for processes without members, and each read loads the platform.
const INSTANCE_LIST_INTERVAL: Duration = Duration::from_secs(20);

/// The same while the list cannot be read, or shows this instance as leaving.
const INSTANCE_LIST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Sends heartbeats as they become due.
pub(super) async fn send_heartbeats(state: Arc<SidecarState>) {
    loop {
        for (address, heartbeat) in state.members.due_heartbeats(ClockTime::now()) {
            let state = Arc::clone(&state);
            let request = PeerRequest::Heartbeat(heartbeat);
            smol::spawn(async move {
                match state.link().request(address, &request, HEARTBEAT_TIMEOUT).await {
                    Ok(PeerReply::Heartbeat(reply)) => {
                        state.members.handle_reply(address, &reply, ClockTime::now());
                        state.follower.observe_member(&reply.from);
                    }
                    _ => state.members.record_call_failure(address, ClockTime::now()),
                }
            })
            .detach();
        }
        Timer::after(HEARTBEAT_CHECK_INTERVAL).await;
    }
}

/// Reads the platform's instance list at intervals. An instance that is listed as
/// leaving refuses new requests.
pub(super) async fn read_instances(state: Arc<SidecarState>) {
    loop {
        let delay = match state.instances.list(None, Duration::ZERO).await {
            Ok(listing) => {
                let listed: Vec<_> = listing.instances.into_iter().map(listed_member).collect();
                if state.members.apply_instance_list(&listed, ClockTime::now()) {
                    state.leave();
                }
                let is_leaving = state.members.is_listed_leaving();
                state.dispatcher.set_listed_leaving(is_leaving);
                let delay =
                    if is_leaving { INSTANCE_LIST_RETRY_DELAY } else { INSTANCE_LIST_INTERVAL };
                delay.mul_f64(0.5 + fastrand::f64())
            }
            Err(_) => INSTANCE_LIST_RETRY_DELAY.mul_f64(0.5 + fastrand::f64()),
        };
        Timer::after(delay).await;
    }
}

fn listed_member(listed: ListedInstance) -> ListedMember {
    ListedMember {
        instance: listed.instance,
        role: listed.role,
        address: listed.address,
        leaving: listed.state == ListedState::Leaving,
    }
}
