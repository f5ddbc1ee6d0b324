//! Charges: what ran, as sidecars witness it, and the sealing of grants.

use sagespool_types::{
    AttemptNumber, BranchName, ChargeId, GrantId, IncarnationId, KeyDigest, RequestId,
    SequenceNumber, TokenCount, derives,
};

derives! { record;
    /// One attempt under a charge, as its sidecar witnessed it.
    pub struct ChargeRecord {
        /// The charge.
        pub charge: ChargeId,
        /// The branch that pays.
        pub branch: BranchName,
        /// The request.
        pub request: RequestId,
        /// The caller's key, if it gave one.
        pub key: Option<KeyDigest>,
        /// Which attempt this was; of several under a charge the highest is billed.
        pub attempt: AttemptNumber,
        /// What it used so far, never more than was reserved.
        pub used: TokenCount,
        /// False while the attempt still runs.
        pub ended: bool,
        /// True if the answer came whole, so that no later attempt follows.
        pub whole: bool,
    }
}

derives! { record;
    /// A sidecar reports charges to a grant's holder until they are durable.
    pub struct ChargeReport {
        /// The sidecar's incarnation.
        pub sidecar: IncarnationId,
        /// Ended charges not known to be durable.
        pub charges: Vec<ChargeRecord>,
    }
}

derives! { record;
    /// The holder's answer: these need no further report and may be forgotten.
    pub struct ChargesDurable {
        /// The charges that are settled in the store.
        pub charges: Vec<ChargeId>,
    }
}

derives! { record;
    /// Which charges of a grant to seal.
    pub enum SealScope {
        /// All, whether seen or not: the grant starts nothing new anywhere.
        WholeGrant,
        /// These only: their entry is gone, and the holder wants to know what ran.
        Charges(Vec<SequenceNumber>),
    }
}

derives! { record;
    /// A home asks a sidecar to start nothing new and to list what ran.
    pub struct SealRequest {
        /// The grant.
        pub grant: GrantId,
        /// Which of its charges.
        pub scope: SealScope,
        /// Who asks, and is reported to from now on.
        pub reporter: IncarnationId,
    }
}

derives! { record;
    /// A sidecar's answer to a [`SealRequest`].
    pub struct SealReply {
        /// The sidecar's incarnation.
        pub sidecar: IncarnationId,
        /// The store's revision when this incarnation started: it can't witness for grants
        /// made before, since its predecessor may have run some.
        pub started_at: Option<sagespool_types::StoreRevision>,
        /// Every charge in scope that it knows, ended or running.
        pub charges: Vec<ChargeRecord>,
    }
}
