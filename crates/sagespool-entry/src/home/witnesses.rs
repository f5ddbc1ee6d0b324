//! The sidecars that can say what ran: every one heard of, gone or not.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagespool_ledger::GrantRecovery;
use sagespool_messages::{MemberInfo, MemberRole, PeerReply, PeerRequest, SealRequest};
use sagespool_types::{ClockTime, IncarnationId, InstanceName};
use twox_hash::XxHash3_64;

use crate::state::EntryState;

const SEAL_LIMIT: Duration = Duration::from_secs(2);

/// What is remembered of sidecars.
#[derive(Default)]
struct WitnessState {
    /// The newest run of each sidecar's instance. An older run isn't asked: the newer one says that
    /// it started later, and so that it can't speak for what came before.
    known: HashMap<InstanceName, MemberInfo>,
    /// Sidecar instances that the platform lists.
    listed: HashSet<InstanceName>,
}

/// The sidecars that could have run something. One that is believed gone may be cut off only, with
/// requests running, so it is missed until it answers, or until the platform has no such instance
/// any more. Forgetting one would free what it spent.
#[derive(Default)]
pub(crate) struct WitnessBoard {
    state: Mutex<WitnessState>,
}

impl WitnessBoard {
    fn state(&self) -> MutexGuard<'_, WitnessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in who is in the fleet now.
    pub(crate) fn observe(&self, members: &[MemberInfo]) {
        let mut state = self.state();
        for member in members.iter().filter(|member| member.role == MemberRole::Sidecar) {
            let known = state.known.get(&member.instance);
            if known.is_none_or(|known| known.number <= member.number) {
                state.known.insert(member.instance.clone(), member.clone());
            }
        }
    }

    /// Takes in the sidecar instances that the platform lists.
    pub(crate) fn list(&self, instances: impl Iterator<Item = InstanceName>) {
        self.state().listed = instances.collect();
    }

    fn all(&self) -> Vec<MemberInfo> {
        self.state().known.values().cloned().collect()
    }

    fn is_listed(&self, instance: &InstanceName) -> bool {
        self.state().listed.contains(instance)
    }

    /// Listed sidecars that nobody here has heard of, as ids that never answer.
    fn unheard(&self) -> Vec<IncarnationId> {
        let state = self.state();
        let unheard = state.listed.iter().filter(|instance| !state.known.contains_key(*instance));
        unheard
            .map(|instance| IncarnationId(XxHash3_64::oneshot(instance.as_str().as_bytes())))
            .collect()
    }

    /// All that a case has to hear.
    pub(super) fn ids(&self) -> Vec<IncarnationId> {
        let known = self.all().into_iter().map(|member| member.incarnation);
        known.chain(self.unheard()).collect()
    }
}

/// Asks every witness of a case to seal, and takes in what they list.
pub(super) async fn ask_witnesses(
    state: &Arc<EntryState>,
    case: &mut GrantRecovery,
    request: &SealRequest,
) {
    let mut asked = Vec::new();
    for member in state.witnesses.all() {
        let (state, request) = (Arc::clone(state), PeerRequest::Seal(request.clone()));
        let task = smol::spawn(async move {
            let reply = state.link().ask(member.address, &request, SEAL_LIMIT).await;
            (member, reply)
        });
        asked.push(task);
    }
    for task in asked {
        match task.await {
            (member, Ok(PeerReply::Seal(reply))) => {
                // Another run answers at the address: the one that was meant won't any more.
                if reply.sidecar != member.incarnation {
                    case.mark_gone(member.incarnation);
                }
                case.take_reply(&reply);
            }
            (member, _) => {
                let gone = state.members.is_gone(member.incarnation, ClockTime::now());
                if gone && !state.witnesses.is_listed(&member.instance) {
                    case.mark_gone(member.incarnation);
                }
            }
        }
    }
}
