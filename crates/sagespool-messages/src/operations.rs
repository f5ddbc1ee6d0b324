//! Operators' questions and orders, between processes.

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
        /// Take no new work, or take it again.
        Drain(bool),
    }
}

derives! { record;
    /// An order with its fencing number.
    pub struct OrderRequest {
        /// The command it belongs to.
        pub command: CommandId,
        /// From the platform's object; a lower one than seen before is refused.
        pub fence: FenceNumber,
        /// What to do.
        pub order: EngineOrder,
    }
}

derives! { record;
    /// How an order went.
    pub enum OrderReply {
        /// Done.
        Done,
        /// A newer order was seen.
        Stale {
            /// The newest number seen.
            newest: FenceNumber,
        },
        /// Failed, in words.
        Failed(String),
        /// Nothing was done: the sidecar has started anew and hasn't read the newest order's number yet.
        NotReady,
    }
}

derives! { record;
    /// An operator tells a process to stop gracefully.
    pub struct LeaveRequest {
        /// The command it belongs to.
        pub command: CommandId,
        /// The run of the process that is meant: a message that is late must not stop its successor.
        pub incarnation: IncarnationId,
    }
}

derives! { record;
    /// A question about a process's state.
    pub struct StatusQuery {
        /// Only this branch, or all.
        pub branch: Option<BranchName>,
        /// Also list running requests, at most so many.
        pub running: u32,
    }
}

derives! { record;
    /// What a home holds of a branch's budget.
    pub struct SpendStatus {
        /// The branch.
        pub branch: BranchName,
        /// Granted to this process and not yet settled, in all.
        pub granted: TokenCount,
        /// Of that: held for running requests.
        pub reserved: TokenCount,
        /// Of that: charged and not yet settled in the store.
        pub charged: TokenCount,
        /// The grants that it holds. What one has used only ever grows, so that a word taken before a
        /// read of the book bounds the spend at that read from below, and one taken after it from above.
        pub grants: Vec<GrantUse>,
    }
}

derives! { record;
    /// What a holder has used of one grant, whether it is settled in the store or not.
    pub struct GrantUse {
        /// The grant.
        pub grant: GrantId,
        /// Used by requests that have ended.
        pub used: TokenCount,
        /// Held for requests that run.
        pub reserved: TokenCount,
    }
}

derives! { record;
    /// A request that runs.
    pub struct RunningRequest {
        /// The request.
        pub request: RequestId,
        /// The attempt.
        pub attempt: AttemptNumber,
        /// The branch.
        pub branch: BranchName,
        /// The class.
        pub class: ClassName,
        /// Since when.
        pub running_for: Duration,
        /// Tokens so far.
        pub used: TokenCount,
    }
}

derives! { record;
    /// A process as operators see it.
    pub struct MemberStatus {
        /// The process.
        pub info: MemberInfo,
        /// Since when it runs.
        pub up_for: Duration,
        /// Requests in flight.
        pub in_flight: u32,
    }
}

derives! { record;
    /// A process's answer to a [`StatusQuery`].
    pub struct StatusReply {
        /// When it was made, by its own wall clock.
        pub at: WallTime,
        /// Who answers.
        pub from: IncarnationId,
        /// The newest revision of the store it has seen.
        pub revision: StoreRevision,
        /// Itself.
        pub member: MemberStatus,
        /// What it holds of branches' budgets.
        pub spend: Vec<SpendStatus>,
        /// What runs here.
        pub running: Vec<RunningRequest>,
        /// True if `running` was cut.
        pub running_cut: bool,
        /// Members it knows.
        pub members: Vec<MemberInfo>,
    }
}
