//! Collects the sidecars' replies on the state of a key.

use std::collections::BTreeSet;

use sagespool_messages::{KeyReply, KeyState};
use sagespool_types::IncarnationId;

/// The combined result of the sidecars' replies.
#[derive(Debug, Clone, PartialEq)]
pub enum LookupOutcome {
    /// Replies are outstanding.
    Open,
    /// A sidecar has seen the key.
    Found(KeyState),
    /// All sidecars replied, none has seen the key, and all refuse the fenced request.
    NeverSeen,
    /// No sidecar that replied has seen the key; these did not reply.
    Incomplete(Vec<IncarnationId>),
}

/// One query to all sidecars that may have run the request of a key.
///
/// A sidecar that ended since the key may have been used can't be queried. It is
/// passed as unreachable, and the result is never [`LookupOutcome::NeverSeen`].
#[derive(Debug)]
pub struct KeyLookup {
    pending: BTreeSet<IncarnationId>,
    unreachable: BTreeSet<IncarnationId>,
    found: Option<KeyState>,
}

impl KeyLookup {
    /// A query to the sidecars `asked`; those in `unreachable` ended recently.
    pub fn new(
        asked: impl IntoIterator<Item = IncarnationId>,
        unreachable: impl IntoIterator<Item = IncarnationId>,
    ) -> Self {
        Self {
            pending: asked.into_iter().collect(),
            unreachable: unreachable.into_iter().collect(),
            found: None,
        }
    }

    /// Records a reply from the address of the sidecar `asked`. A reply of another
    /// incarnation counts as a failure, as the predecessor's state is lost.
    pub fn record_reply(&mut self, asked: IncarnationId, reply: &KeyReply) {
        if reply.sidecar != asked {
            self.record_failure(asked);
        }
        self.pending.remove(&asked);
        if let Some(state) = &reply.known
            && self.found.as_ref().is_none_or(is_inconclusive)
        {
            self.found = Some(state.clone());
        }
    }

    /// Records that a sidecar did not reply.
    pub fn record_failure(&mut self, asked: IncarnationId) {
        if self.pending.remove(&asked) {
            self.unreachable.insert(asked);
        }
    }

    /// The result of the replies so far. The reply of a sidecar that runs the request
    /// or has its response is final without the others.
    pub fn verdict(&self) -> LookupOutcome {
        match &self.found {
            Some(state) if !is_inconclusive(state) => LookupOutcome::Found(state.clone()),
            _ if !self.pending.is_empty() => LookupOutcome::Open,
            Some(state) => LookupOutcome::Found(state.clone()),
            None if self.unreachable.is_empty() => LookupOutcome::NeverSeen,
            None => LookupOutcome::Incomplete(self.unreachable.iter().copied().collect()),
        }
    }
}

/// True if another sidecar's reply may replace this state.
fn is_inconclusive(state: &KeyState) -> bool {
    matches!(state, KeyState::Unknown { .. } | KeyState::Pending)
}
