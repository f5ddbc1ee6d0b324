//! `stop`: requesting a graceful stop of a process, and handling such a request.

use std::sync::Arc;
use std::time::Duration;

use sagespool_link::LinkError;
use sagespool_log::log_event;
use sagespool_messages::{LeaveRequest, MemberInfo, PeerReply, PeerRequest};
use sagespool_operations::{ItemOutcome, OutcomeState, nearest_of};
use sagespool_types::{ClockTime, CommandId, InstanceName};

use super::status_query::known_members;
use crate::state::EntryState;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Total time for all tries.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Handles an operator's stop request for this process. The daemon waits for it and begins the
/// graceful stop; from now on replies show this process as leaving.
pub(crate) fn leave(state: &EntryState, request: &LeaveRequest) -> PeerReply {
    if request.incarnation != state.incarnation {
        return PeerReply::Unsupported(
            "the request is for another incarnation of this process".to_owned(),
        );
    }
    log_event!(info, "stop-ordered", command = request.command);
    state.leave();
    PeerReply::Done
}

/// Requests a graceful stop of an instance's process. The request names the incarnation, so that
/// repeating it can't stop the next one.
pub(super) async fn stop(
    state: &Arc<EntryState>,
    command: CommandId,
    instance: &InstanceName,
) -> ItemOutcome {
    let member = match find_instance(state, instance) {
        Ok(member) => member,
        Err(outcome) => return *outcome,
    };
    if member.leaving {
        let message = format!("{} {instance} is leaving already", member.role);
        return ItemOutcome::new(OutcomeState::Already, message);
    }
    let request = LeaveRequest { command, incarnation: member.incarnation };
    if member.incarnation == state.incarnation {
        leave(state, &request);
        return stop_accepted(&member);
    }
    request_leave(state, &member, request).await
}

async fn request_leave(
    state: &EntryState,
    member: &MemberInfo,
    request: LeaveRequest,
) -> ItemOutcome {
    let deadline = ClockTime::now().after(STOP_TIMEOUT);
    let request = PeerRequest::Leave(request);
    let mut may_have_arrived = false;
    loop {
        let error = match state.link().request(member.address, &request, CALL_TIMEOUT).await {
            Ok(PeerReply::Done) => return stop_accepted(member),
            Ok(_) => {
                let message = "another incarnation of the process replied; it was not stopped";
                return ItemOutcome::new(OutcomeState::Failed, message);
            }
            Err(error) => error,
        };
        may_have_arrived |= !error.definitely_not_handled();
        if ClockTime::now() >= deadline {
            return stop_failure(&error, may_have_arrived);
        }
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

fn stop_accepted(member: &MemberInfo) -> ItemOutcome {
    let message = format!(
        "{} {} accepts nothing new and ends when its running requests have ended; `members` shows its requests \
         in flight",
        member.role, member.instance
    );
    ItemOutcome::new(OutcomeState::Done, message)
}

fn stop_failure(error: &LinkError, may_have_arrived: bool) -> ItemOutcome {
    if may_have_arrived {
        let message = format!(
            "the stop request may have arrived: {error}; `members` shows whether it is leaving"
        );
        return ItemOutcome::new(OutcomeState::Unknown, message);
    }
    ItemOutcome::new(OutcomeState::Failed, format!("the stop request was not delivered: {error}"))
}

/// The newest incarnation of an instance.
fn find_instance(
    state: &EntryState,
    instance: &InstanceName,
) -> Result<MemberInfo, Box<ItemOutcome>> {
    let members = known_members(state, None);
    let runs = members.iter().filter(|member| member.instance == *instance);
    if let Some(member) = runs.max_by_key(|member| member.number) {
        return Ok(member.clone());
    }
    let names: Vec<&str> = members.iter().map(|member| member.instance.as_str()).collect();
    let message = format!("there is no instance `{instance}` in this entry's view of the fleet");
    let outcome = ItemOutcome::builder()
        .state(OutcomeState::Refused)
        .message(message)
        .maybe_nearest(nearest_of(instance.as_str(), &names));
    Err(Box::new(outcome.build()))
}
