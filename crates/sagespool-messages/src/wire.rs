//! The request and reply envelopes of the link.

use std::time::Duration;

use sagespool_types::{ContentDigest, derives};

use crate::*;

derives! { record;
    /// A request between processes; each opens a stream.
    pub enum PeerRequest {
        /// Membership gossip; answered by [`PeerReply::Heartbeat`].
        Heartbeat(Heartbeat),
        /// Entry to home; answered by [`PeerReply::Reserve`].
        Reserve(ReserveRequest),
        /// Entry to home; answered by [`PeerReply::Claim`].
        Claim(ClaimRequest),
        /// Entry to home; answered by [`PeerReply::Done`].
        Finish(FinishReport),
        /// Entry to sidecar; answered by a stream of [`DispatchEvent`].
        Dispatch(DispatchRequest),
        /// Entry to sidecar; answered by a stream of [`DispatchEvent`].
        Attach(AttachRequest),
        /// Entry to sidecar; answered by [`PeerReply::Done`].
        Cancel(CancelRequest),
        /// Sidecar to the grant's holder, or to the home that sealed the grant;
        /// answered by [`PeerReply::ChargesDurable`].
        ReportCharges(ChargeReport),
        /// Home to sidecar; answered by [`PeerReply::Seal`].
        Seal(SealRequest),
        /// Home to sidecar; answered by [`PeerReply::Key`].
        FindKey(KeyRequest),
        /// Home to another holder; answered by [`PeerReply::Recall`].
        Recall(RecallRequest),
        /// Entry to every entry; answered by [`PeerReply::Done`].
        ReportCrash(CrashReport),
        /// Entry to sidecar, for an operator; answered by [`PeerReply::Order`].
        Order(OrderRequest),
        /// Any process to any other; answered by [`PeerReply::Status`].
        Status(StatusQuery),
        /// Entry to a home that didn't reply; answered by [`PeerReply::Done`].
        Abandon(AbandonNotice),
        /// Entry to any process, for an operator; answered by [`PeerReply::Done`] once the process has
        /// begun to leave, by [`PeerReply::Unsupported`] if it is another incarnation.
        Leave(LeaveRequest),
        /// Any process to any other; answered by [`PeerReply::Configuration`], or by
        /// [`PeerReply::Unsupported`] if the receiver doesn't have all objects of the scope.
        AskConfiguration(ConfigQuery),
        /// Any process to any other; answered by [`PeerReply::Done`].
        NoticeConfiguration(ConfigNotice),
        /// Gateway to gateway; answered by [`PeerReply::Lend`].
        Lend(LendRequest),
        /// Stopping gateway to another one; answered by [`PeerReply::Done`].
        ReturnRest(UnspentBudget),
        /// Gateway to gateway; answered by [`PeerReply::Plan`].
        AskPlan(PlanQuery),
        /// Gateway to gateway or relay; answered by [`PeerReply::StoreCall`].
        CallStore(StoreCall),
        /// Gateway to gateway; answered by [`PeerReply::Follow`].
        Follow(FeedQuery),
        /// Gateway to gateway; answered by [`PeerReply::Limits`].
        AskLimits(RateLimitQuery),
        /// Gateway to every gateway; answered by [`PeerReply::Done`].
        Quarantine(ContentCrashes),
        /// Gateway to a content's collectors, with all crashes that it knows; answered by
        /// [`PeerReply::Crashes`].
        ReportCrashes(ContentCrashes),
        /// Gateway to a content's collectors after a run that succeeded: these crashes no longer
        /// count; answered by [`PeerReply::Done`].
        WithdrawCrashes(ContentCrashes),
        /// Gateway to the homes of resumable streams that have begun; answered by
        /// [`PeerReply::Done`].
        NoteStreams(Vec<StreamNote>),
        /// Gateway to a stream's homes before it is resumed; answered by [`PeerReply::Stream`].
        FindStream(StreamQuery),
        /// Gateway to some others before it quarantines a part of prompts; answered by
        /// [`PeerReply::Success`].
        FindSuccess(ContentDigest),
        /// Gateway to a gateway of its data centre; answered by [`PeerReply::Cover`].
        AskCover(CoverRequest),
        /// Gateway to one that promised cover; answered by [`PeerReply::Done`].
        ReleaseCover(CoverRelease),
    }
}

derives! { record;
    /// The reply to a [`PeerRequest`] that isn't answered by a stream of events.
    pub enum PeerReply {
        /// The receiver's own heartbeat.
        Heartbeat(Heartbeat),
        /// The result of a reservation.
        Reserve(ReserveReply),
        /// The result of a claim.
        Claim(ClaimReply),
        /// Accepted, without further data.
        Done,
        /// Charges that need no further report.
        ChargesDurable(ChargesDurable),
        /// The charges of a sealed grant.
        Seal(SealReply),
        /// The state of a key at the receiver.
        Key(KeyReply),
        /// The amount that a holder returned.
        Recall(RecallReply),
        /// The result of an order to an engine.
        Order(OrderReply),
        /// The receiver's state.
        Status(StatusReply),
        /// The receiver doesn't support the request; the text is the reason.
        Unsupported(String),
        /// Objects that are newer than the requester's.
        Configuration(ConfigReply),
        /// The amount that a gateway lends.
        Lend(LendReply),
        /// A gateway's configuration.
        Plan(PlanReply),
        /// The result of a call of the store.
        StoreCall(StoreCallReply),
        /// Changes in the store.
        Follow(FeedReply),
        /// Rate limits that upstreams have named to the receiver.
        Limits(RateLimitReply),
        /// All crashes of a content that the receiver knows.
        Crashes(ContentCrashes),
        /// The software version that began a stream.
        Stream(StreamReply),
        /// How long ago a run of the content last succeeded at the receiver; `None` if it isn't known.
        Success(Option<Duration>),
        /// Promises to stay in rotation.
        Cover(CoverReply),
    }
}
