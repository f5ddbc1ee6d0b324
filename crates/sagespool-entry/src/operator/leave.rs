//! `stop`: telling a process to stop gracefully, and being told.

use std::sync::Arc;
use std::time::Duration;

use sagespool_link::LinkError;
use sagespool_log::log_event;
use sagespool_messages::{LeaveRequest, MemberInfo, PeerReply, PeerRequest};
use sagespool_operations::{ItemOutcome, OutcomeState, nearest_of};
use sagespool_types::{ClockTime, CommandId, InstanceName};

use super::ask::known_members;
use crate::state::EntryState;

const ASK_LIMIT: Duration = Duration::from_secs(1);
/// For all tries together.
const TRY_LIMIT: Duration = Duration::from_secs(5);
const TRY_PAUSE: Duration = Duration::from_millis(200);

/// An operator stops this process. The daemon waits for it and begins the graceful stop; what this
/// process is asked from now on shows it as leaving.
pub(crate) fn leave(state: &EntryState, request: &LeaveRequest) -> PeerReply {
    if request.incarnation != state.incarnation {
        return PeerReply::Unsupported("another run of this process is meant".to_owned());
    }
    log_event!(info, "stop-ordered", command = request.command);
    state.leave();
    PeerReply::Done
}

/// Tells an instance's process to stop. The message names the run of the process that is meant, so that
/// it can be sent again and again without stopping its successor.
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
        return told(&member);
    }
    ask_to_leave(state, &member, request).await
}

async fn ask_to_leave(
    state: &EntryState,
    member: &MemberInfo,
    request: LeaveRequest,
) -> ItemOutcome {
    let deadline = ClockTime::now().after(TRY_LIMIT);
    let request = PeerRequest::Leave(request);
    let mut may_have_got_it = false;
    loop {
        let error = match state.link().ask(member.address, &request, ASK_LIMIT).await {
            Ok(PeerReply::Done) => return told(member),
            Ok(_) => {
                let message = "another run of the process answers; it was not told to stop";
                return ItemOutcome::new(OutcomeState::Failed, message);
            }
            Err(error) => error,
        };
        may_have_got_it |= !error.surely_not_sent();
        if ClockTime::now() >= deadline {
            return not_told(&error, may_have_got_it);
        }
        smol::Timer::after(TRY_PAUSE).await;
    }
}

fn told(member: &MemberInfo) -> ItemOutcome {
    let message = format!(
        "{} {} takes nothing new and ends when what it runs has ended; `members` shows its requests in \
         flight",
        member.role, member.instance
    );
    ItemOutcome::new(OutcomeState::Done, message)
}

fn not_told(error: &LinkError, may_have_got_it: bool) -> ItemOutcome {
    if may_have_got_it {
        let message =
            format!("it may have been told to stop: {error}; `members` shows whether it leaves");
        return ItemOutcome::new(OutcomeState::Unknown, message);
    }
    ItemOutcome::new(OutcomeState::Failed, format!("it was not told to stop: {error}"))
}

/// The newest run of an instance's process.
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
    let message = format!("this entry knows no instance `{instance}`");
    let outcome = ItemOutcome::builder()
        .state(OutcomeState::Refused)
        .message(message)
        .maybe_nearest(nearest_of(instance.as_str(), &names));
    Err(Box::new(outcome.build()))
}
