//! The two envelopes of the link.

use sagespool_types::derives;

use crate::*;

derives! { record;
    /// What one process asks of another; opens a stream.
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
        /// Sidecar to the grant's holder, or to whoever sealed the grant;
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
        /// Operator's entry to sidecar; answered by [`PeerReply::Order`].
        Order(OrderRequest),
        /// Anyone to anyone; answered by [`PeerReply::Status`].
        Status(StatusQuery),
        /// Entry to a home that didn't answer; answered by [`PeerReply::Done`].
        Abandon(AbandonNotice),
        /// Operator's entry to any process; answered by [`PeerReply::Done`] once it has begun to leave,
        /// by [`PeerReply::Unsupported`] if it is another run of the process.
        Leave(LeaveRequest),
        /// Anyone to anyone; answered by [`PeerReply::Configuration`], or by
        /// [`PeerReply::Unsupported`] if the receiver doesn't have all that is asked for.
        AskConfiguration(ConfigQuery),
        /// Anyone to anyone; answered by [`PeerReply::Done`].
        NoticeConfiguration(ConfigNotice),
        /// Gateway to gateway; answered by [`PeerReply::Lend`].
        Lend(LendRequest),
        /// Gateway that stops to another one; answered by [`PeerReply::Done`].
        ReturnRest(UnspentBudget),
        /// Gateway to gateway; answered by [`PeerReply::Plan`].
        AskPlan(PlanQuery),
        /// Gateway to gateway or relay; answered by [`PeerReply::StoreCall`].
        CallStore(StoreCall),
        /// Gateway to gateway; answered by [`PeerReply::Follow`].
        Follow(FeedQuery),
        /// Gateway to gateway; answered by [`PeerReply::Limits`].
        AskLimits(RateLimitQuery),
    }
}

derives! { record;
    /// The answer to a [`PeerRequest`] that isn't answered by a stream of events.
    pub enum PeerReply {
        /// The receiver's own heartbeat.
        Heartbeat(Heartbeat),
        /// Whether the request is paid for.
        Reserve(ReserveReply),
        /// Whether the claim is durable.
        Claim(ClaimReply),
        /// Taken in; nothing to say.
        Done,
        /// Which charges need not be reported again.
        ChargesDurable(ChargesDurable),
        /// What ran under a sealed grant.
        Seal(SealReply),
        /// What is known of a key.
        Key(KeyReply),
        /// What a holder gave back.
        Recall(RecallReply),
        /// How an order to an engine went.
        Order(OrderReply),
        /// The receiver's state, as it knows it.
        Status(StatusReply),
        /// The receiver doesn't do this, with the reason in words.
        Unsupported(String),
        /// Objects that are newer than the asker's.
        Configuration(ConfigReply),
        /// What a gateway lends.
        Lend(LendReply),
        /// A gateway's configuration.
        Plan(PlanReply),
        /// What became of a call of the store.
        StoreCall(StoreCallReply),
        /// What has changed in the store.
        Follow(FeedReply),
        /// What a gateway knows of upstreams' limits.
        Limits(RateLimitReply),
    }
}
