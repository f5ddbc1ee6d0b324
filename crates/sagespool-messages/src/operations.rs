//! Operators' queries and orders, between processes.

use std::time::Duration;

use sagespool_types::{
    AttemptNumber, BranchName, ClassName, CommandId, FenceNumber, GrantId, IncarnationId,
    ModelName, RequestId, StoreRevision, TokenCount, WallTime, derives,
};

use crate::MemberInfo;

derives! { record;
    /// An order to an engine.
    pub enum EngineOrder {
        /// Load a model.
        LoadModel(ModelName),
        /// Unload a model.
        UnloadModel(ModelName),
        /// Load an adapter onto a model.
        LoadAdapter {
            /// The model.
            model: ModelName,
            /// The adapter.
            adapter: String,
        },
        /// Accept no new requests (true), or accept them again (false).
        Drain(bool),
    }
}

derives! { record;
    /// An engine order with its fencing number.
    pub struct OrderRequest {
        /// The command it belongs to.
        pub command: CommandId,
        /// The fencing number from the platform's object. An order with a lower number than one
        /// seen before is refused.
        pub fence: FenceNumber,
        /// The order to carry out.
        pub order: EngineOrder,
    }
}

derives! { record;
    /// The result of an order.
    pub enum OrderReply {
        /// The order was carried out.
        Done,
        /// Refused, because a newer order was seen.
        Stale {
            /// The highest fencing number seen.
            newest: FenceNumber,
        },
        /// The order failed; the text is the reason.
        Failed(String),
        /// Nothing was done: the sidecar has restarted and hasn't read the newest fencing number yet.
        NotReady,
    }
}

derives! { record;
    /// An operator's request to a process to stop gracefully.
    pub struct LeaveRequest {
        /// The command it belongs to.
        pub command: CommandId,
        /// The addressed run of the process; a delayed message must not stop its successor.
        pub incarnation: IncarnationId,
    }
}

derives! { record;
    /// A query for a process's state.
    pub struct StatusQuery {
        /// Only this branch; `None` for all.
        pub branch: Option<BranchName>,
        /// Maximum number of running requests to list.
        pub running: u32,
    }
}

derives! { record;
    /// A process's part of a branch's budget.
    pub struct SpendStatus {
        /// The branch.
        pub branch: BranchName,
        /// Granted to this process and not yet settled.
        pub granted: TokenCount,
        /// The part of `granted` that is reserved for running requests.
        pub reserved: TokenCount,
        /// The part of `granted` that is charged and not yet settled in the store.
        pub charged: TokenCount,
        /// The grants that it holds. A grant's use never decreases, so a status taken before a read
        /// of the book is a lower bound of the spend at that read, and one taken after it an upper
        /// bound.
        pub grants: Vec<GrantUse>,
    }
}

derives! { record;
    /// A holder's use of one grant, whether settled in the store or not.
    pub struct GrantUse {
        /// The grant.
        pub grant: GrantId,
        /// Used by requests that have ended.
        pub used: TokenCount,
        /// Reserved for running requests.
        pub reserved: TokenCount,
    }
}

derives! { record;
    /// A running request.
    pub struct RunningRequest {
        /// The request.
        pub request: RequestId,
        /// The attempt.
        pub attempt: AttemptNumber,
        /// The branch.
        pub branch: BranchName,
        /// The class.
        pub class: ClassName,
        /// Time since its start.
        pub running_for: Duration,
        /// Tokens used so far.
        pub used: TokenCount,
    }
}

derives! { record;
    /// A process's state, for operators.
    pub struct MemberStatus {
        /// The process's description of itself.
        pub info: MemberInfo,
        /// Time since its start.
        pub up_for: Duration,
        /// Requests in flight.
        pub in_flight: u32,
    }
}

derives! { record;
    /// A process's reply to a [`StatusQuery`].
    pub struct StatusReply {
        /// Time of the reply, by the process's wall clock.
        pub at: WallTime,
        /// The replying process.
        pub from: IncarnationId,
        /// The newest revision of the store that it has seen.
        pub revision: StoreRevision,
        /// The replying process's own state.
        pub member: MemberStatus,
        /// Its parts of branches' budgets.
        pub spend: Vec<SpendStatus>,
        /// Requests that run here, up to the queried number.
        pub running: Vec<RunningRequest>,
        /// True if more requests run than `running` lists.
        pub running_cut: bool,
        /// The members in its member list.
        pub members: Vec<MemberInfo>,
    }
}
