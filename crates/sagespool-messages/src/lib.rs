//! The messages that processes of the fleet send each other.
//!
//! A [`PeerRequest`] opens a stream of its own; the receiver answers with one
//! [`PeerReply`], or, for a dispatch or an attach, with [`DispatchEvent`]s up
//! to a final one. All are encoded by `postcard`, so a field may only be
//! added together with a new message version of the link.

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
pub use claims::{ClaimReply, ClaimRequest, CrashReport, KeyReply, KeyRequest, KeyState};
pub use configuration::{
    CONFIGURATION_PREFIX, ConfigAsk, ConfigNotice, ConfigObject, ConfigReply, ConfigScope,
    FLEET_OBJECT_KEY, StoreWord,
};
pub use dispatch::{
    AttachRequest, CacheNews, CacheNote, CallTarget, CancelRequest, DispatchEnd, DispatchEvent,
    DispatchRequest, HeaderPair, PrefixDigest, ResumePoint, StopCause,
};
pub use gateways::{
    BudgetRest, FollowAsk, FollowReply, FollowedKind, FollowedObject, LendReply, LendRequest,
    LimitAsk, LimitReply, LimitWord, PlanAsk, PlanReply, StoreCall, StoreCallReply, StoreMethod,
};
pub use members::{
    Heartbeat, LoadReport, MemberInfo, MemberRole, ServedUpstream, SuspectNote, UpstreamKind,
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
