//! At-most-once as pure decisions: claims, known keys, quarantine.
//!
//! A request that may never run twice is dispatched only after a claim on its
//! key is in the platform's store. [`ClaimsRecord`] is the store's object, and
//! [`ClaimBatch`] gathers many claims into one write of it. [`KeyRegistry`] is a
//! home's memory of keys, which spares the store most questions, and
//! [`KeyLookup`] judges what sidecars say of a key that a home doesn't know.
//! [`CrashTracker`] and [`QuarantineRecord`] stop a request that takes down the
//! upstreams that run it.
//!
//! Nothing here opens a socket or reads a clock.
//!
//! Two homes intent for the same key; the store's conditional write lets one record win, and the
//! other is told whose claim stands:
//!
//! ```
//! use std::time::Duration;
//!
//! use sagespool_claims::{ClaimOutcome, ClaimIntent, ClaimsRecord};
//! use sagespool_types::{
//!     AttemptNumber, ContentDigest, IncarnationId, KeyDigest, RequestId, WallTime,
//! };
//!
//! let wish_of = |request: u128, sidecar: u64| ClaimIntent {
//!     key: KeyDigest(7),
//!     request: RequestId(request),
//!     content: ContentDigest::of("POST /letters", b"the clarification"),
//!     sidecar: IncarnationId(sidecar),
//!     attempt: AttemptNumber(1),
//!     home: IncarnationId(1),
//!     overturns: None,
//!     time_left: Duration::from_secs(2),
//! };
//! let (now, retention) = (WallTime::now(), Duration::from_secs(24 * 3600));
//! let mut record = ClaimsRecord::default();
//! assert_eq!(record.claim(&wish_of(1, 10), now, retention), ClaimOutcome::Claimed);
//! assert_eq!(record.claim(&wish_of(1, 10), now, retention), ClaimOutcome::AlreadyMine);
//! let ClaimOutcome::Taken(entry) = record.claim(&wish_of(2, 11), now, retention) else {
//!     panic!("a second request must not run under the key");
//! };
//! assert_eq!(entry.sidecar, IncarnationId(10));
//! ```

mod aged;
mod batch;
mod crash;
mod entry;
mod inquiry;
mod key_record;
mod keys;
mod quarantine;
mod record;
mod refusal;

pub use aged::{AgedClaims, PrintSet};
pub use batch::{BatchPolicy, ClaimBatch, ClaimResult, ClaimVerdict};
pub use crash::{CrashPolicy, CrashTracker, CrashVerdict, SuspectContent};
pub use entry::{ClaimEntry, ClaimIntent, FencedClaim};
pub use inquiry::{KeyLookup, LookupOutcome};
pub use key_record::KeyPolicy;
pub use keys::{KeyDecision, KeyOutcome, KeyRegistry};
pub use quarantine::{CrashNote, QUARANTINE_KEY, QuarantineEntry, QuarantineRecord, StopOutcome};
pub use record::{
    CLAIM_SHARDS, ClaimOutcome, ClaimsRecord, DETAILS_KEPT, MOST_RECORD_BYTES, claim_key,
    claim_shard,
};
pub use refusal::{EarlierRun, claim_refusal, claimed_key_state, earlier_run};
