//! At-most-once execution as pure decisions: claims, key state, quarantine.
//!
//! A non-idempotent request is dispatched only after a claim on its key is in the
//! platform's store. [`ClaimsRecord`] is the stored record, and [`ClaimBatch`]
//! collects several claims into one write of it. [`KeyRegistry`] is a home's in-memory
//! index of keys, which saves most store reads. [`KeyLookup`] combines the sidecars'
//! replies on a key that a home has no record of. [`CrashTracker`] and
//! [`QuarantineRecord`] stop a request that crashes the upstreams that run it.
//!
//! This crate does no I/O. Times are arguments; no function reads a clock.
//!
//! Two homes claim the same key. The store's conditional write accepts one record, and the
//! other home finds the claim that was stored:
//!
//! ```
//! use std::time::Duration;
//!
//! use sagespool_claims::{ClaimOutcome, ClaimIntent, ClaimsRecord};
//! use sagespool_types::{
//!     AttemptNumber, ContentDigest, IncarnationId, KeyDigest, RequestId, WallTime,
//! };
//!
//! let claim_of = |request: u128, sidecar: u64| ClaimIntent {
//!     key: KeyDigest(7),
//!     request: RequestId(request),
//!     content: ContentDigest::of("POST /letters", b"the clarification"),
//!     sidecar: IncarnationId(sidecar),
//!     attempt: AttemptNumber(1),
//!     home: IncarnationId(1),
//!     replaces: None,
//!     time_left: Duration::from_secs(2),
//! };
//! let (now, retention) = (WallTime::now(), Duration::from_secs(24 * 3600));
//! let mut record = ClaimsRecord::default();
//! assert_eq!(record.claim(&claim_of(1, 10), now, retention), ClaimOutcome::Claimed);
//! assert_eq!(record.claim(&claim_of(1, 10), now, retention), ClaimOutcome::AlreadyMine);
//! let ClaimOutcome::Taken(entry) = record.claim(&claim_of(2, 11), now, retention) else {
//!     panic!("a second request must not run under the key");
//! };
//! assert_eq!(entry.sidecar, IncarnationId(10));
//! ```

mod aged;
mod batch;
mod break_rate;
mod crash;
mod entry;
mod key_lookup;
mod key_record;
mod keys;
mod quarantine;
mod record;
mod refusal;
mod successes;

pub use aged::{AgedClaims, FingerprintSet};
pub use batch::{BatchPolicy, ClaimBatch, ClaimResult, ClaimVerdict};
pub use break_rate::BreakRate;
pub use crash::{CrashPolicy, CrashTracker, CrashVerdict, SuspectContent, part_weight};
pub use entry::{ClaimEntry, ClaimIntent, FencedClaim};
pub use key_lookup::{KeyLookup, LookupOutcome};
pub use key_record::KeyPolicy;
pub use keys::{KeyDecision, KeyOutcome, KeyRegistry};
pub use quarantine::{CrashNote, QUARANTINE_KEY, QuarantineEntry, QuarantineRecord, StopOutcome};
pub use record::{
    CLAIM_SHARDS, ClaimOutcome, ClaimsRecord, DETAIL_RETENTION, MAX_RECORD_BYTES, claim_key,
    claim_shard,
};
pub use refusal::{EarlierRun, claim_refusal, claimed_key_state, earlier_run};
pub use successes::SuccessLog;
