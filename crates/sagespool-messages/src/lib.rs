//! Messages between the processes of the fleet.
//!
//! Each [`PeerRequest`] opens a stream. The receiver sends one [`PeerReply`] or,
//! for a dispatch or an attach, a sequence of [`DispatchEvent`]s that ends with
//! [`DispatchEvent::End`]. Messages are encoded by position with `postcard`, so a
//! field may only be added together with a new message version of the link.

mod charges;
mod claims;
mod configuration;
mod dispatch;
mod gateways;
mod members;
mod operations;
mod reserve;
mod wire;

pub use charges::{ChargeRecord, ChargeReport, ChargesDurable, SealReply, SealRequest, SealScope};
pub use claims::{
    ClaimReply, ClaimRequest, ContentCrashes, CrashReport, KeyReply, KeyRequest, KeyState,
};
pub use configuration::{
    CONFIGURATION_PREFIX, ConfigNotice, ConfigObject, ConfigQuery, ConfigReply, ConfigScope,
    FLEET_OBJECT_KEY, LastStoreContact,
};
pub use dispatch::{
    AttachRequest, CallTarget, CancelRequest, DispatchEnd, DispatchEvent, DispatchRequest,
    FinishReason, HeaderPair, PrefixCacheEvent, PrefixCacheUpdate, PrefixDigest, ResumePoint,
};
pub use gateways::{
    ChangedObject, CoverDenial, CoverRelease, CoverReply, CoverRequest, FeedKind, FeedQuery,
    FeedReply, LendReply, LendRequest, PlanQuery, PlanReply, RateLimitQuery, RateLimitReply,
    StoreCall, StoreCallReply, StoreMethod, StreamNote, StreamQuery, StreamReply, UnspentBudget,
    UpstreamRateLimit,
};
pub use members::{
    Heartbeat, LoadReport, MemberInfo, MemberRole, ServedUpstream, SuspectedMember, UpstreamKind,
};
pub use operations::{
    EngineOrder, GrantUse, LeaveRequest, MemberStatus, OrderReply, OrderRequest, RunningRequest,
    SpendStatus, StatusQuery, StatusReply,
};
pub use reserve::{
    AbandonNotice, FinishReport, FinishState, RecallReply, RecallRequest, RefusalNotice,
    ReserveReply, ReserveRequest, ReservedCharge,
};
pub use wire::{PeerReply, PeerRequest};
