//! At-most-once as pure decisions: claims, known keys, quarantine.
//!
//! A request that may never run twice is dispatched only after a claim on its
//! key is in the platform's store. [`ClaimsRecord`] is the store's object, and
//! [`ClaimBatch`] gathers many claims into one write of it. [`KeyBoard`] is a
//! home's memory of keys, which spares the store most questions, and
//! [`KeyInquiry`] judges what sidecars say of a key that a home doesn't know.
//! [`CrashBoard`] and [`QuarantineRecord`] stop a request that takes down the
//! upstreams that run it.
//!
//! Nothing here opens a socket or reads a clock.

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
pub use batch::{BatchPolicy, ClaimAnswer, ClaimBatch, ClaimVerdict};
pub use crash::{CrashBoard, CrashPolicy, CrashVerdict, SuspectContent};
pub use entry::{ClaimEntry, ClaimWish, FencedClaim};
pub use inquiry::{InquiryVerdict, KeyInquiry};
pub use key_record::KeyPolicy;
pub use keys::{KeyBoard, KeyDecision, KeyOutcome};
pub use quarantine::{CrashNote, QUARANTINE_KEY, QuarantineEntry, QuarantineRecord, StopOutcome};
pub use record::{
    CLAIM_SHARDS, ClaimOutcome, ClaimsRecord, DETAILS_KEPT, MOST_RECORD_BYTES, claim_key,
    claim_shard,
};
pub use refusal::{EarlierRun, earlier_run, refuse_claim, state_of};
