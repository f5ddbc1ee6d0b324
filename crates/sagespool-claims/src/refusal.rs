//! Refusing a request whose claim can't be made, without saying too much.

use std::time::Duration;

use sagespool_messages::{KeyState, RefusalNotice};
use sagespool_types::{ClockTime, ContentDigest, RefusalReason, RunState};

use crate::batch::ClaimVerdict;
use crate::entry::ClaimEntry;

/// Whether an earlier request under the same key can have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlierRun {
    /// None can: this is the first request with the key.
    Excluded,
    /// One can, as far as this home knows.
    Possible,
}

/// Judges while the store is out of reach whether a key that this home doesn't
/// know can have run before.
///
/// `absent_at` is when this home last saw the key's shard, without the key in
/// it: nothing can have run under it before. `exclusive_since` is since when, by the
/// view of this home, no other process can have taken the branch's requests:
/// none of another region, and no entry lost, suspected or out of reach since.
/// If that reaches back to the copy, a run would have gone through this home,
/// and it would know.
pub fn earlier_run(absent_at: Option<ClockTime>, exclusive_since: Option<ClockTime>) -> EarlierRun {
    match (absent_at, exclusive_since) {
        (Some(absent_at), Some(exclusive_since)) if exclusive_since <= absent_at => {
            EarlierRun::Excluded
        }
        _ => EarlierRun::Possible,
    }
}

/// The refusal of a request whose claim isn't durable. Its own dispatch never
/// happened; but a caller that is told `not-run` would send the letter under
/// another key, so that is said only if no earlier request of the key ran.
pub fn claim_refusal(
    verdict: &ClaimVerdict,
    earlier: EarlierRun,
    retry_after: Duration,
) -> Option<RefusalNotice> {
    let (reason, run_state, message) = match verdict {
        ClaimVerdict::Durable | ClaimVerdict::Taken(_) => return None,
        ClaimVerdict::Aged => {
            let message = "this key was used before, and the outcome is not kept any more";
            (RefusalReason::OutcomeUnknown, RunState::Unknown, message)
        }
        ClaimVerdict::Full => {
            let message = "too many keys of non-idempotent requests are remembered already";
            (RefusalReason::ClaimUnreachable, RunState::NotRun, message)
        }
        ClaimVerdict::Expired => unconfirmed(earlier),
    };
    let retry_after = (reason == RefusalReason::ClaimUnreachable).then_some(retry_after);
    Some(RefusalNotice { reason, run_state, message: message.to_owned(), retry_after })
}

fn unconfirmed(earlier: EarlierRun) -> (RefusalReason, RunState, &'static str) {
    let reason = RefusalReason::ClaimUnreachable;
    match earlier {
        EarlierRun::Excluded => {
            let message =
                "the store is out of reach, so the key could not be claimed; it was not run";
            (reason, RunState::NotRun, message)
        }
        EarlierRun::Possible => {
            let message = "the store is out of reach; this request was not run, but whether an \
                           earlier one with the same key ran can't be told: send it again later \
                           with the same key";
            (reason, RunState::Unknown, message)
        }
    }
}

/// What to tell a request whose key is claimed by another one, once the
/// claim's sidecar was asked. `sidecar_knows` is what that sidecar, still the
/// same incarnation, said of the key: nothing if it is out of reach or gone.
pub fn claimed_key_state(
    entry: &ClaimEntry,
    content: ContentDigest,
    sidecar_knows: Option<KeyState>,
) -> KeyState {
    if entry.content != content {
        return KeyState::OtherContent;
    }
    sidecar_knows.unwrap_or(KeyState::Unknown { request: entry.request })
}
