//! Asking the sidecars what they know of a key.

use std::collections::BTreeSet;

use sagespool_messages::{KeyReply, KeyState};
use sagespool_types::IncarnationId;

/// What the sidecars' answers amount to.
#[derive(Debug, Clone, PartialEq)]
pub enum LookupOutcome {
    /// Some have not answered yet.
    Open,
    /// One knows the key.
    Found(KeyState),
    /// All were asked, none ever saw it, and all refuse the fenced request.
    NeverSeen,
    /// None of those who answered saw it; these can't say.
    Incomplete(Vec<IncarnationId>),
}

/// One question to all sidecars that may have run a key.
///
/// A sidecar that went away since the key may have been used can't be asked:
/// it is given as lost, and the verdict is never [`LookupOutcome::NeverSeen`].
#[derive(Debug)]
pub struct KeyLookup {
    open: BTreeSet<IncarnationId>,
    lost: BTreeSet<IncarnationId>,
    found: Option<KeyState>,
}

impl KeyLookup {
    /// A question to the sidecars `asked`; `lost` went away lately.
    pub fn new(
        asked: impl IntoIterator<Item = IncarnationId>,
        lost: impl IntoIterator<Item = IncarnationId>,
    ) -> Self {
        Self { open: asked.into_iter().collect(), lost: lost.into_iter().collect(), found: None }
    }

    /// A process answered at the address of the sidecar `asked`. If it is
    /// another incarnation, its predecessor's memory is gone.
    pub fn record_reply(&mut self, asked: IncarnationId, reply: &KeyReply) {
        if reply.sidecar != asked {
            self.record_failure(asked);
        }
        self.open.remove(&asked);
        if let Some(state) = &reply.known
            && self.found.as_ref().is_none_or(tells_less)
        {
            self.found = Some(state.clone());
        }
    }

    /// A sidecar did not answer.
    pub fn record_failure(&mut self, asked: IncarnationId) {
        if self.open.remove(&asked) {
            self.lost.insert(asked);
        }
    }

    /// What the answers so far amount to. A sidecar that has the answer, or
    /// runs the request, ends the lookup at once.
    pub fn verdict(&self) -> LookupOutcome {
        match &self.found {
            Some(state) if !tells_less(state) => LookupOutcome::Found(state.clone()),
            _ if !self.open.is_empty() => LookupOutcome::Open,
            Some(state) => LookupOutcome::Found(state.clone()),
            None if self.lost.is_empty() => LookupOutcome::NeverSeen,
            None => LookupOutcome::Incomplete(self.lost.iter().copied().collect()),
        }
    }
}

/// True if another sidecar may know better.
fn tells_less(state: &KeyState) -> bool {
    matches!(state, KeyState::Unknown { .. } | KeyState::Pending)
}
