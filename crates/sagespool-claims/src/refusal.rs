//! Refusals of requests whose claim can't be made durable.

use std::time::Duration;

use sagespool_messages::{KeyState, RefusalNotice};
use sagespool_types::{ClockTime, ContentDigest, RefusalReason, RunState};

use crate::batch::ClaimVerdict;
use crate::entry::ClaimEntry;

/// Whether an earlier request with the same key can have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlierRun {
    /// No earlier request can have run.
    Excluded,
    /// An earlier request may have run.
    Possible,
}

/// Decides, while the store is unreachable, whether a request with a key that this
/// home has no record of can have run before.
///
/// `absent_at` is the time at which this home last read the key's shard and the key
/// was not in it: nothing ran under the key before that. Since `exclusive_since`, in
/// this home's view, no other process can have accepted requests of the branch: no
/// process of another region, and no entry was lost, suspected or unreachable. If
/// `exclusive_since` is not later than `absent_at`, any run went through this home
/// and would be recorded here.
pub fn earlier_run(absent_at: Option<ClockTime>, exclusive_since: Option<ClockTime>) -> EarlierRun {
    match (absent_at, exclusive_since) {
        (Some(absent_at), Some(exclusive_since)) if exclusive_since <= absent_at => {
            EarlierRun::Excluded
        }
        _ => EarlierRun::Possible,
    }
}

/// The refusal of a request whose claim isn't durable; `None` for a claim that is
/// durable or taken. The request itself was not dispatched, but a caller may send
/// it again under a new key after `not-run`. So that state is returned only if no
/// earlier request with the key can have run.
pub fn claim_refusal(
    verdict: &ClaimVerdict,
    earlier: EarlierRun,
    retry_after: Duration,
) -> Option<RefusalNotice> {
    let (reason, run_state, message) = match verdict {
        ClaimVerdict::Durable | ClaimVerdict::Taken(_) => return None,
        ClaimVerdict::Aged => {
            let message =
                "this key was used before, and the outcome of its request is no longer stored";
            (RefusalReason::OutcomeUnknown, RunState::Unknown, message)
        }
        ClaimVerdict::Full => {
            let message =
                "too many keys of non-idempotent requests are stored; this request was not run";
            (RefusalReason::ClaimUnreachable, RunState::NotRun, message)
        }
        ClaimVerdict::Expired => unconfirmed_claim(earlier),
    };
    let retry_after = (reason == RefusalReason::ClaimUnreachable).then_some(retry_after);
    Some(RefusalNotice { reason, run_state, message: message.to_owned(), retry_after })
}

fn unconfirmed_claim(earlier: EarlierRun) -> (RefusalReason, RunState, &'static str) {
    let reason = RefusalReason::ClaimUnreachable;
    match earlier {
        EarlierRun::Excluded => {
            let message = "the store is unreachable, so the key could not be claimed; this request was not run";
            (reason, RunState::NotRun, message)
        }
        EarlierRun::Possible => {
            let message = "the store is unreachable; this request was not run, but an earlier one \
                           with the same key may have run: send it again later with the same key";
            (reason, RunState::Unknown, message)
        }
    }
}

/// The key state for a request whose key is claimed by another one.
/// `sidecar_state` is the reply of the claim's sidecar; `None` if the sidecar is
/// unreachable or another incarnation.
pub fn claimed_key_state(
    entry: &ClaimEntry,
    content: ContentDigest,
    sidecar_state: Option<KeyState>,
) -> KeyState {
    if entry.content != content {
        return KeyState::OtherContent;
    }
    sidecar_state.unwrap_or(KeyState::Unknown { request: entry.request })
}
