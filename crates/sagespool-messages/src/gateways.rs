//! What gateways ask each other.

use std::time::Duration;

use sagespool_types::{
    BranchName, ConfigVersion, IncarnationId, StoreRevision, TokenCount, UpstreamName, derives,
};

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
        /// The part of `wanted` that is for the time ahead, and may be less.
        pub ahead: TokenCount,
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

derives! { record;
    /// What is left of an account at an instance that stops. It counts as spent there from then on, also
    /// if the message gets lost.
    pub struct UnspentBudget {
        /// The account.
        pub branch: BranchName,
        /// What the receiver may spend.
        pub amount: TokenCount,
    }
}

derives! { value;
    /// A question for the configuration that the receiver has in force.
    pub struct PlanQuery {
        /// The version that the asker has.
        pub have: ConfigVersion,
    }
}

derives! { record;
    /// The answer to a [`PlanQuery`].
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

derives! { value;
    /// What gateways follow in the store.
    pub enum FeedKind {
        /// The configuration.
        Configuration,
        /// The list of upstreams.
        Upstreams,
        /// Data centres whose upstreams get no new work.
        Evacuations,
    }
}

impl FeedKind {
    /// The word that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
            Self::Evacuations => "evacuations",
        }
    }
}

derives! { value;
    /// A question for what has changed in the store, to a gateway that follows it.
    pub struct FeedQuery {
        /// What is asked for.
        pub kind: FeedKind,
        /// The asker knows everything up to this revision.
        pub after: StoreRevision,
        /// How long the receiver may wait for a change.
        pub wait: Duration,
    }
}

derives! { record;
    /// An object of the store, or its removal.
    pub struct ChangedObject {
        /// Its key.
        pub key: String,
        /// The revision of its last change that matters.
        pub revision: StoreRevision,
        /// Its value as the store has it; nothing if it was removed.
        pub value: Option<String>,
    }
}

derives! { record;
    /// The answer to a [`FeedQuery`].
    pub struct FeedReply {
        /// Everything up to this revision is in it.
        pub revision: StoreRevision,
        /// How long ago the receiver's word was the store's; nothing if it has none.
        pub age: Option<Duration>,
        /// True while the store doesn't answer the receiver.
        pub store_lost: bool,
        /// True if these are all objects there are.
        pub whole: bool,
        /// What the asker doesn't know.
        pub objects: Vec<ChangedObject>,
    }
}

derives! { record;
    /// A question for what is known of the limits that upstreams name.
    pub struct RateLimitQuery {
        /// The upstreams.
        pub upstreams: Vec<UpstreamName>,
    }
}

derives! { record;
    /// What a gateway knows of an upstream's limit, from an answer to itself or to another one.
    pub struct UpstreamRateLimit {
        /// The upstream.
        pub upstream: UpstreamName,
        /// Requests a second that it names; nothing if it names no limit any more.
        pub per_second: Option<f64>,
        /// How long ago that was so.
        pub age: Duration,
    }
}

derives! { record;
    /// The answer to a [`RateLimitQuery`], without upstreams of whose limits nothing is known.
    pub struct RateLimitReply {
        /// One word an upstream.
        pub words: Vec<UpstreamRateLimit>,
    }
}
