//! What gateways ask each other.

use std::time::Duration;

use sagespool_types::{BranchName, ConfigVersion, IncarnationId, TokenCount, derives};

derives! { record;
    /// A question for a part of what the receiver may spend.
    pub struct LendRequest {
        /// The client account.
        pub branch: BranchName,
        /// How much the asker could use.
        pub wanted: TokenCount,
        /// The configuration that the asker goes by. A home with an older one may not know of a
        /// raise, and doesn't say that the total is spent.
        pub version: ConfigVersion,
        /// The run that asks.
        pub borrower: IncarnationId,
        /// True if the receiver is asked as the account's home, and may ask the store first.
        pub as_home: bool,
    }
}

derives! { value;
    /// The answer to a [`LendRequest`]. What is lent counts as spent at the lender from then on,
    /// also if the answer gets lost.
    pub struct LendReply {
        /// What the asker may spend.
        pub lent: TokenCount,
        /// What the account's home and its book could cover beside, where that is too little.
        pub room: Option<TokenCount>,
    }
}

derives! { value;
    /// A question for the configuration that the receiver has in force.
    pub struct PlanAsk {
        /// The version that the asker has.
        pub have: ConfigVersion,
    }
}

derives! { record;
    /// The answer to a [`PlanAsk`].
    pub struct PlanReply {
        /// The configuration as the store has it; nothing if it is no newer.
        pub document: Option<String>,
    }
}

derives! { value;
    /// The method of a call of the store.
    pub enum StoreMethod {
        /// Reads, lists or watches.
        Get,
        /// Creates.
        Post,
        /// Replaces.
        Put,
        /// Deletes.
        Delete,
    }
}

derives! { record;
    /// A call of the store that the receiver is asked to make, as the sender can't.
    pub struct StoreCall {
        /// The method.
        pub method: StoreMethod,
        /// Path and query.
        pub path: String,
        /// The body.
        pub body: Option<Vec<u8>>,
        /// How long the store may hold the call.
        pub wait: Duration,
    }
}

derives! { record;
    /// What became of a [`StoreCall`].
    pub enum StoreCallReply {
        /// The store answered.
        Answered {
            /// The status.
            status: u16,
            /// The body; nothing if it broke off.
            body: Option<Vec<u8>>,
        },
        /// The call surely didn't reach the store.
        NotSent,
        /// It may have.
        Lost,
    }
}
