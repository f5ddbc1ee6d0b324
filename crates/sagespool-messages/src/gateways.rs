//! What gateways ask each other.

use sagespool_types::{BranchName, ConfigVersion, IncarnationId, TokenCount, derives};

derives! { record;
    /// A question for a part of what the receiver may spend.
    pub struct LendRequest {
        /// The client account.
        pub branch: BranchName,
        /// How much the asker could use.
        pub wanted: TokenCount,
        /// The run that asks.
        pub borrower: IncarnationId,
    }
}

derives! { value;
    /// The answer to a [`LendRequest`]. What is lent counts as spent at the lender from then on,
    /// also if the answer gets lost.
    pub struct LendReply {
        /// What the asker may spend.
        pub lent: TokenCount,
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
