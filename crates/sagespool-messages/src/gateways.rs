//! Requests and replies between gateways.

use std::time::Duration;

use sagespool_types::{
    BranchName, ConfigVersion, IncarnationId, LoadPressure, ServiceName, SoftwareVersion,
    StoreRevision, TokenCount, UpstreamName, derives,
};

derives! { record;
    /// A request for a loan of budget that the receiver may spend.
    pub struct LendRequest {
        /// The client account.
        pub branch: BranchName,
        /// The amount that the borrower can use.
        pub wanted: TokenCount,
        /// The borrower's configuration. A home with an older one may have missed a raise of the
        /// budget, and does not report the total as spent.
        pub version: ConfigVersion,
        /// The borrower's incarnation.
        pub borrower: IncarnationId,
        /// The part of `wanted` that is for future requests; the loan may leave it out.
        pub ahead: TokenCount,
        /// True if the receiver is addressed as the account's home, and may query the store
        /// before it replies.
        pub as_home: bool,
    }
}

derives! { value;
    /// The reply to a [`LendRequest`]. The loan counts as spent at the lender, even if the reply
    /// is lost.
    pub struct LendReply {
        /// The amount that the borrower may spend.
        pub lent: TokenCount,
        /// The amount beyond `lent` that the account's home and its stored record can cover. Set
        /// if they don't cover all that was wanted.
        pub room: Option<TokenCount>,
    }
}

derives! { record;
    /// The unspent amount of an account that a stopping instance returns. It counts as spent at the
    /// sender, even if the message is lost.
    pub struct UnspentBudget {
        /// The client account.
        pub branch: BranchName,
        /// The amount that the receiver may spend.
        pub amount: TokenCount,
    }
}

derives! { value;
    /// A query for the configuration that the receiver has in force.
    pub struct PlanQuery {
        /// The requester's version.
        pub have: ConfigVersion,
    }
}

derives! { record;
    /// The reply to a [`PlanQuery`].
    pub struct PlanReply {
        /// The configuration as stored; `None` if it is not newer.
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
    /// A call of the store that the receiver makes for a sender that can't reach the store.
    pub struct StoreCall {
        /// The method.
        pub method: StoreMethod,
        /// Path and query.
        pub path: String,
        /// The body.
        pub body: Option<Vec<u8>>,
        /// Longest time for which the store may hold the call before it responds.
        pub wait: Duration,
    }
}

derives! { record;
    /// The result of a [`StoreCall`].
    pub enum StoreCallReply {
        /// The store responded.
        Answered {
            /// The HTTP status.
            status: u16,
            /// The body; `None` if it was incomplete.
            body: Option<Vec<u8>>,
        },
        /// The call did not reach the store.
        NotSent,
        /// The call may have reached the store; no response arrived.
        Lost,
    }
}

derives! { value;
    /// The kinds of stored objects that gateways watch for changes.
    pub enum FeedKind {
        /// The configuration.
        Configuration,
        /// The objects of the list of upstreams.
        Upstreams,
        /// Data centres whose upstreams receive no new requests.
        Evacuations,
        /// Contents that no upstream may run.
        Quarantine,
    }
}

impl FeedKind {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
            Self::Evacuations => "evacuations",
            Self::Quarantine => "quarantine",
        }
    }
}

derives! { value;
    /// A query for changes of the store, to a gateway that watches it.
    pub struct FeedQuery {
        /// The kind of objects.
        pub kind: FeedKind,
        /// The requester has all changes up to this revision.
        pub after: StoreRevision,
        /// Longest time for which the receiver may wait for a change before it replies.
        pub wait: Duration,
    }
}

derives! { record;
    /// An object of the store that was changed or removed.
    pub struct ChangedObject {
        /// The object's key in the store.
        pub key: String,
        /// The revision of its last relevant change.
        pub revision: StoreRevision,
        /// The value as stored; `None` if the object was removed.
        pub value: Option<String>,
    }
}

derives! { record;
    /// The reply to a [`FeedQuery`].
    pub struct FeedReply {
        /// The reply covers all changes up to this revision.
        pub revision: StoreRevision,
        /// Time since the sender's state was last confirmed by the store; `None` if it has no state.
        pub age: Option<Duration>,
        /// True while the store doesn't respond to the sender.
        pub store_lost: bool,
        /// True if `objects` has all existing objects, false if only changes.
        pub whole: bool,
        /// The objects that the requester doesn't have yet.
        pub objects: Vec<ChangedObject>,
    }
}

derives! { record;
    /// A query for rate limits that upstreams have named.
    pub struct RateLimitQuery {
        /// The upstreams to report on.
        pub upstreams: Vec<UpstreamName>,
    }
}

derives! { record;
    /// An upstream's rate limit, from a response to this gateway or to another one.
    pub struct UpstreamRateLimit {
        /// The upstream.
        pub upstream: UpstreamName,
        /// The limit in requests per second; `None` if the upstream no longer names one.
        pub per_second: Option<f64>,
        /// Time since the response with this limit.
        pub age: Duration,
    }
}

derives! { record;
    /// The reply to a [`RateLimitQuery`], without upstreams whose limits are unknown.
    pub struct RateLimitReply {
        /// One entry per upstream.
        pub words: Vec<UpstreamRateLimit>,
    }
}

derives! { record;
    /// The software version that began a resumable stream.
    pub struct StreamNote {
        /// The caller's id of the attempt that brought the first event.
        pub request: String,
        /// The service.
        pub service: ServiceName,
        /// The software version of the upstream that sent the first event.
        pub version: SoftwareVersion,
        /// Time since the first event.
        pub age: Duration,
    }
}

derives! { record;
    /// A query for the software version that began a stream.
    pub struct StreamQuery {
        /// The caller's id of the attempt that brought the first event.
        pub request: String,
        /// The service that the resumption is for.
        pub service: ServiceName,
        /// The longest time since the first event.
        pub span: Duration,
    }
}

derives! { record;
    /// The reply to a [`StreamQuery`].
    pub struct StreamReply {
        /// `None` if the receiver doesn't know the stream.
        pub origin: Option<StreamNote>,
        /// The versions that can have begun a stream which nobody has noted, by the receiver's history;
        /// `None` if it can't tell.
        pub unnoted: Option<Vec<SoftwareVersion>>,
    }
}

derives! { value;
    /// A question for promises to stay in the load balancer's rotation while the sender is out of it.
    pub struct CoverRequest {
        /// The run of the sender.
        pub leaver: IncarnationId,
        /// Increases with each question of the sender.
        pub number: u64,
        /// The slots that it asks for.
        pub slots: u32,
        /// Its pressure.
        pub pressure: LoadPressure,
        /// The share of the recent time that it was out of rotation, in thousandths.
        pub out_share: u32,
    }
}

derives! { value;
    /// The reply to a [`CoverRequest`].
    pub enum CoverReply {
        /// The receiver stays in rotation for the lease, from the moment of the reply on.
        Promised {
            /// The promised slots.
            slots: u32,
            /// How long the promise stands.
            lease: Duration,
        },
        /// None, for this reason.
        Denied(CoverDenial),
    }
}

derives! { value;
    /// Why a gateway promises no cover.
    pub enum CoverDenial {
        /// Its run has just begun, so it may have forgotten promises.
        Starting,
        /// It is out of rotation, about to leave it, or not ready.
        NotTaking,
        /// It is under pressure itself.
        Pressed,
        /// Its slots are promised to others.
        NoSlot,
        /// Another gateway waits that was out for less time.
        OthersTurn,
        /// It has no settings for rotation.
        Off,
    }
}

impl CoverDenial {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NotTaking => "not-taking",
            Self::Pressed => "pressed",
            Self::NoSlot => "no-slot",
            Self::OthersTurn => "others-turn",
            Self::Off => "off",
        }
    }
}

derives! { value;
    /// The end of a sender's need for the promises of one receiver.
    pub struct CoverRelease {
        /// The run of the sender.
        pub leaver: IncarnationId,
        /// The number of its newest question to the receiver.
        pub number: u64,
    }
}
