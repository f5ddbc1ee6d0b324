//! The sidecars whose seal replies are needed to account for a grant, whether they are live or
//! gone.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagespool_ledger::GrantRecovery;
use sagespool_messages::{MemberInfo, MemberRole, PeerReply, PeerRequest, SealRequest};
use sagespool_types::{ClockTime, IncarnationId, InstanceName};
use twox_hash::XxHash3_64;

use crate::state::EntryState;

const SEAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sidecars and instances seen so far.
#[derive(Default)]
struct SealTargetState {
    /// The newest incarnation of each sidecar's instance. Older ones are not queried: the newer one
    /// replies with its later start time, which shows that it has no data from before.
    known: HashMap<InstanceName, MemberInfo>,
    /// Sidecar instances in the platform's instance list.
    listed: HashSet<InstanceName>,
}

/// The sidecars that may have run requests. One that is taken for gone may only be cut off by a
/// partition, with requests running. It counts as missing until it replies, or until the platform
/// no longer lists its instance. Dropping it earlier would release budget that it has spent.
#[derive(Default)]
pub(crate) struct SealTargetRegistry {
    state: Mutex<SealTargetState>,
}

impl SealTargetRegistry {
    fn state(&self) -> MutexGuard<'_, SealTargetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the registry from the current members.
    pub(crate) fn observe(&self, members: &[MemberInfo]) {
        let mut state = self.state();
        for member in members.iter().filter(|member| member.role == MemberRole::Sidecar) {
            let known = state.known.get(&member.instance);
            if known.is_none_or(|known| known.number <= member.number) {
                state.known.insert(member.instance.clone(), member.clone());
            }
        }
    }

    /// Replaces the list of sidecar instances in the platform's instance list.
    pub(crate) fn set_listed(&self, instances: impl Iterator<Item = InstanceName>) {
        self.state().listed = instances.collect();
    }

    fn all(&self) -> Vec<MemberInfo> {
        self.state().known.values().cloned().collect()
    }

    fn is_listed(&self, instance: &InstanceName) -> bool {
        self.state().listed.contains(instance)
    }

    /// Placeholder ids, which never reply, for listed sidecars that this entry has not seen.
    fn unseen(&self) -> Vec<IncarnationId> {
        let state = self.state();
        let unseen = state.listed.iter().filter(|instance| !state.known.contains_key(*instance));
        unseen
            .map(|instance| IncarnationId(XxHash3_64::oneshot(instance.as_str().as_bytes())))
            .collect()
    }

    /// Ids of all sidecars whose replies a recovery needs.
    pub(super) fn ids(&self) -> Vec<IncarnationId> {
        let known = self.all().into_iter().map(|member| member.incarnation);
        known.chain(self.unseen()).collect()
    }
}

/// Sends a seal request to every known sidecar and adds the replies to the recovery.
pub(super) async fn request_seals(
    state: &Arc<EntryState>,
    recovery: &mut GrantRecovery,
    request: &SealRequest,
) {
    let mut tasks = Vec::new();
    for member in state.seal_targets.all() {
        let (state, request) = (Arc::clone(state), PeerRequest::Seal(request.clone()));
        let task = smol::spawn(async move {
            let reply = state.link().request(member.address, &request, SEAL_TIMEOUT).await;
            (member, reply)
        });
        tasks.push(task);
    }
    for task in tasks {
        match task.await {
            (member, Ok(PeerReply::Seal(reply))) => {
                // Another incarnation replies at this address, so the previous one is gone.
                if reply.sidecar != member.incarnation {
                    recovery.mark_gone(member.incarnation);
                }
                recovery.take_reply(&reply);
            }
            (member, _) => {
                let gone = state.members.is_gone(member.incarnation, ClockTime::now());
                if gone && !state.seal_targets.is_listed(&member.instance) {
                    recovery.mark_gone(member.incarnation);
                }
            }
        }
    }
}
