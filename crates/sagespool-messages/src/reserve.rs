//! Reservations: an entry reserves a request's cost at the branch's home.

use std::time::Duration;

use sagespool_types::{
    BranchName, ChargeId, ClassName, ContentDigest, IncarnationId, KeyDigest, RefusalReason,
    RequestId, RunState, ServiceName, StoreRevision, TokenCount, derives,
};

use crate::{ChargeRecord, KeyState};

derives! { record;
    /// An entry's request to a branch's home to reserve a request's maximum cost.
    pub struct ReserveRequest {
        /// The request.
        pub request: RequestId,
        /// The entry's incarnation, which reports the end of the request.
        pub entry: IncarnationId,
        /// The branch that pays.
        pub branch: BranchName,
        /// The service that runs it; for a completion the model's service.
        pub service: ServiceName,
        /// The request's class.
        pub class: ClassName,
        /// The caller's idempotency key, if any.
        pub key: Option<KeyDigest>,
        /// Digest of the request's target and body.
        pub content: ContentDigest,
        /// True if the request must not run twice.
        pub non_idempotent: bool,
        /// The maximum cost.
        pub amount: TokenCount,
        /// Time left until the request's deadline.
        pub time_left: Duration,
    }
}

derives! { record;
    /// A charge with its reserved amount.
    pub struct ReservedCharge {
        /// The charge's id.
        pub charge: ChargeId,
        /// The store's revision at which its grant was made.
        pub grant_revision: StoreRevision,
        /// The reserved amount.
        pub amount: TokenCount,
    }
}

derives! { record;
    /// The home's reply to a [`ReserveRequest`].
    pub enum ReserveReply {
        /// The cost is reserved and the request may be dispatched.
        Reserved(ReservedCharge),
        /// The key is in use: attach to its request, do not run.
        Known(KeyState),
        /// Refused.
        Refused(RefusalNotice),
        /// The receiver doesn't accept reservations for the branch at present; try another home.
        NotHome,
    }
}

derives! { record;
    /// A refusal, as it is returned to the caller.
    pub struct RefusalNotice {
        /// The reason, for programs.
        pub reason: RefusalReason,
        /// Whether the request ran.
        pub run_state: RunState,
        /// The reason as text, for people.
        pub message: String,
        /// Time after which a retry may succeed; `None` if a retry is of no use.
        pub retry_after: Option<Duration>,
    }
}

derives! { record;
    /// How a reserved request ended, as observed by the entry.
    pub enum FinishState {
        /// It ran, and this charge is billed.
        Ran(ChargeRecord),
        /// It never ran; the whole reservation is released.
        NotRun,
        /// It never ran, because a sidecar refused the grant (sealed, or older than the
        /// sidecar). Nothing new may be reserved from this grant.
        GrantUnusable,
        /// The entry has no information on what ran; the sidecars report it.
        Unknown,
    }
}

derives! { record;
    /// An entry's report to the home of how a reserved request ended.
    pub struct FinishReport {
        /// The request.
        pub request: RequestId,
        /// The branch.
        pub branch: BranchName,
        /// The charge it was reserved under.
        pub charge: ChargeId,
        /// How it ended.
        pub state: FinishState,
        /// The caller's idempotency key, if any.
        pub key: Option<KeyDigest>,
        /// Tokens that upstreams spent on lost attempts. The operator bears this cost.
        pub rerun_tokens: TokenCount,
    }
}

derives! { record;
    /// Releases a reservation whose reply the entry never received. The entry has used another
    /// home, and has dispatched nothing under this reservation.
    pub struct AbandonNotice {
        /// The request.
        pub request: RequestId,
        /// The branch.
        pub branch: BranchName,
        /// The caller's idempotency key, if any.
        pub key: Option<KeyDigest>,
    }
}

derives! { record;
    /// A home's request to another holder for unspent grants of a branch.
    pub struct RecallRequest {
        /// The branch.
        pub branch: BranchName,
        /// The amount that the home needs.
        pub wanted: TokenCount,
    }
}

derives! { record;
    /// A holder's reply to a [`RecallRequest`]; the return is durable before the reply is sent.
    pub struct RecallReply {
        /// The amount that this recall returned to the stored book.
        pub returned: TokenCount,
        /// The amount that it still has reserved for running requests.
        pub running: TokenCount,
    }
}
