//! Paying for a request: the entry asks the branch's home.

use std::time::Duration;

use sagespool_types::{
    BranchName, ChargeId, ClassName, ContentDigest, IncarnationId, KeyDigest, RefusalReason,
    RequestId, RunState, ServiceName, StoreRevision, TokenCount, derives,
};

use crate::{ChargeRecord, KeyState};

derives! { record;
    /// An entry asks a branch's home to reserve a request's greatest possible cost.
    pub struct ReserveRequest {
        /// The request.
        pub request: RequestId,
        /// The entry's incarnation, which will report the end.
        pub entry: IncarnationId,
        /// The branch that pays.
        pub branch: BranchName,
        /// The service or model's service that will run it.
        pub service: ServiceName,
        /// The request's class.
        pub class: ClassName,
        /// The caller's idempotency key, if it gave one.
        pub key: Option<KeyDigest>,
        /// What the request asks for.
        pub content: ContentDigest,
        /// True if it may never run twice.
        pub non_idempotent: bool,
        /// The greatest possible cost.
        pub amount: TokenCount,
        /// Time left until the request's deadline.
        pub time_left: Duration,
    }
}

derives! { record;
    /// A charge with its amount held for it.
    pub struct ReservedCharge {
        /// The charge's id.
        pub charge: ChargeId,
        /// The store's revision at which its grant was made.
        pub grant_revision: StoreRevision,
        /// The amount held.
        pub amount: TokenCount,
    }
}

derives! { record;
    /// The home's answer to a [`ReserveRequest`].
    pub enum ReserveReply {
        /// The request is paid for and may be dispatched.
        Reserved(ReservedCharge),
        /// The same key is known already: attach, do not run.
        Known(KeyState),
        /// Refused.
        Refused(RefusalNotice),
        /// The receiver doesn't take requests for the branch now; ask another.
        NotHome,
    }
}

derives! { record;
    /// A refusal, as the caller will be told.
    pub struct RefusalNotice {
        /// Why.
        pub reason: RefusalReason,
        /// Whether the request ran.
        pub run_state: RunState,
        /// For a person.
        pub message: String,
        /// When to come back, if that makes sense.
        pub retry_after: Option<Duration>,
    }
}

derives! { record;
    /// How a reserved request ended, as the entry saw it.
    pub enum FinishState {
        /// It ran; the charge says what is billed.
        Ran(ChargeRecord),
        /// Surely never ran: the reservation is given back whole.
        NotRun,
        /// Surely never ran, because a sidecar refused the grant (sealed, or older than the
        /// sidecar): nothing new is to be reserved from it.
        GrantUnusable,
        /// The entry can't tell what ran; the sidecars will.
        Unknown,
    }
}

derives! { record;
    /// An entry tells the home how a reserved request ended.
    pub struct FinishReport {
        /// The request.
        pub request: RequestId,
        /// The branch.
        pub branch: BranchName,
        /// The charge it was reserved under.
        pub charge: ChargeId,
        /// How it ended.
        pub state: FinishState,
        /// The caller's key, if it gave one.
        pub key: Option<KeyDigest>,
        /// Tokens that upstreams spent on attempts that were lost; the operator's cost.
        pub rerun_tokens: TokenCount,
    }
}

derives! { record;
    /// An entry gives a reservation up whose answer it never got: it went to another home, and
    /// nothing was dispatched under it.
    pub struct AbandonNotice {
        /// The request.
        pub request: RequestId,
        /// The branch.
        pub branch: BranchName,
        /// The caller's key, if it gave one.
        pub key: Option<KeyDigest>,
    }
}

derives! { record;
    /// A home asks another holder for unspent grants of a branch.
    pub struct RecallRequest {
        /// The branch.
        pub branch: BranchName,
        /// How much would help.
        pub wanted: TokenCount,
    }
}

derives! { record;
    /// What a holder gave back to the book, durable before it says so.
    pub struct RecallReply {
        /// How much is free in the book because of this recall.
        pub returned: TokenCount,
        /// What it still holds reserved for running requests.
        pub running: TokenCount,
    }
}
