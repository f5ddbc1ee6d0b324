//! Heartbeats with other processes, and the instance list as their seed.

use std::sync::Arc;
use std::time::Duration;

use sagespool_membership::ListedMember;
use sagespool_messages::{PeerReply, PeerRequest};
use sagespool_platform::{ListedInstance, ListedState};
use sagespool_types::ClockTime;
use smol::Timer;

use super::state::SidecarState;

/// How often heartbeats are looked for that are due.
const ROUND: Duration = Duration::from_millis(100);

/// A peer that takes longer to answer a heartbeat has missed it.
const BEAT_LIMIT: Duration = Duration::from_millis(900);

/// Between two readings of the instance list, on average. Gossip is faster;
/// the list is for who knows nobody, and each reading counts at the platform.
const LIST_PERIOD: Duration = Duration::from_secs(20);

/// Between two tries while the list can't be read, or shows this instance as leaving.
const LIST_PAUSE: Duration = Duration::from_secs(1);

/// Sends heartbeats as they fall due.
pub(super) async fn send_heartbeats(state: Arc<SidecarState>) {
    loop {
        for (address, beat) in state.members.due_heartbeats(ClockTime::now()) {
            let state = Arc::clone(&state);
            let request = PeerRequest::Heartbeat(beat);
            smol::spawn(async move {
                match state.link().ask(address, &request, BEAT_LIMIT).await {
                    Ok(PeerReply::Heartbeat(reply)) => {
                        state.members.handle_reply(address, &reply, ClockTime::now());
                        state.follower.observe_member(&reply.from);
                    }
                    _ => state.members.record_call_failure(address, ClockTime::now()),
                }
            })
            .detach();
        }
        Timer::after(ROUND).await;
    }
}

/// Reads the platform's instance list now and then. An instance that is being
/// taken away takes no new work from then on.
pub(super) async fn read_instances(state: Arc<SidecarState>) {
    loop {
        let pause = match state.instances.list(None, Duration::ZERO).await {
            Ok(listing) => {
                let listed: Vec<_> = listing.instances.into_iter().map(listed_member).collect();
                if state.members.apply_instance_list(&listed, ClockTime::now()) {
                    state.leave();
                }
                let is_held = state.members.is_listed_leaving();
                state.dispatcher.hold(is_held);
                let pause = if is_held { LIST_PAUSE } else { LIST_PERIOD };
                pause.mul_f64(0.5 + fastrand::f64())
            }
            Err(_) => LIST_PAUSE.mul_f64(0.5 + fastrand::f64()),
        };
        Timer::after(pause).await;
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
