//! Charges as sidecars record them, and the sealing of grants.

use sagespool_types::{
    AttemptNumber, BranchName, ChargeId, GrantId, IncarnationId, KeyDigest, RequestId,
    SequenceNumber, TokenCount, derives,
};

derives! { record;
    /// One attempt under a charge, as its sidecar recorded it.
    pub struct ChargeRecord {
        /// The charge.
        pub charge: ChargeId,
        /// The branch that pays.
        pub branch: BranchName,
        /// The request.
        pub request: RequestId,
        /// The caller's idempotency key, if any.
        pub key: Option<KeyDigest>,
        /// The attempt; of several under a charge the highest is billed.
        pub attempt: AttemptNumber,
        /// Tokens used so far, at most the reserved amount.
        pub used: TokenCount,
        /// False while the attempt runs.
        pub ended: bool,
        /// True if the response was complete, so that no later attempt follows.
        pub whole: bool,
    }
}

derives! { record;
    /// Charges that a sidecar reports to a grant's holder until they are durable.
    pub struct ChargeReport {
        /// The sidecar's incarnation.
        pub sidecar: IncarnationId,
        /// Ended charges that the holder has not confirmed as durable.
        pub charges: Vec<ChargeRecord>,
    }
}

derives! { record;
    /// The holder's reply: these charges need no further report and may be dropped.
    pub struct ChargesDurable {
        /// The charges that are settled in the store.
        pub charges: Vec<ChargeId>,
    }
}

derives! { record;
    /// Which charges of a grant to seal.
    pub enum SealScope {
        /// All, seen or not: nothing new may start under the grant.
        WholeGrant,
        /// Only these: their entry is gone, and the holder needs to know what ran.
        Charges(Vec<SequenceNumber>),
    }
}

derives! { record;
    /// A home's request to a sidecar to start nothing new under a grant and to list its charges.
    pub struct SealRequest {
        /// The grant.
        pub grant: GrantId,
        /// The charges to seal.
        pub scope: SealScope,
        /// The requesting home, which receives the charge reports from now on.
        pub reporter: IncarnationId,
    }
}

derives! { record;
    /// A sidecar's reply to a [`SealRequest`].
    pub struct SealReply {
        /// The sidecar's incarnation.
        pub sidecar: IncarnationId,
        /// The store's revision when this incarnation started. For grants made before, its
        /// list may be incomplete, since its predecessor may have run requests under them.
        pub started_at: Option<sagespool_types::StoreRevision>,
        /// Every recorded charge in scope, ended or running.
        pub charges: Vec<ChargeRecord>,
    }
}
