//! A validated request.

use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use sagespool_messages::{CallTarget, ReserveRequest};
use sagespool_types::{
    BranchName, ClassName, ClockTime, ContentDigest, IncarnationId, KeyDigest, RequestId,
    ServiceName, TokenCount,
};

/// A caller's validated request, ready to run.
#[derive(Debug, Clone, Builder)]
pub struct RequestSpec {
    /// The request's id.
    pub request: RequestId,
    /// The branch that is charged.
    pub branch: BranchName,
    /// The service that runs it.
    pub service: ServiceName,
    /// The class.
    pub class: ClassName,
    /// The class's priority; lower goes first.
    pub priority: u8,
    /// The caller's idempotency key.
    pub key: Option<KeyDigest>,
    /// Digest of the requested content.
    pub content: ContentDigest,
    /// True if it must not run twice.
    pub non_idempotent: bool,
    /// The maximum cost.
    pub amount: TokenCount,
    /// When it arrived.
    pub arrived: ClockTime,
    /// When it must be answered.
    pub deadline: ClockTime,
    /// The completion or service call to make.
    pub target: CallTarget,
    /// The request body.
    pub body: Arc<Vec<u8>>,
    /// The key of engines' prompt caches.
    pub prefix: Option<u128>,
}

impl RequestSpec {
    /// Time left until the deadline; zero once it has passed.
    pub fn time_left(&self, now: ClockTime) -> Duration {
        self.deadline.since(now)
    }

    /// The reserve request for the branch's home.
    pub fn reserve_request(&self, entry: IncarnationId, now: ClockTime) -> ReserveRequest {
        ReserveRequest {
            request: self.request,
            entry,
            branch: self.branch.clone(),
            service: self.service.clone(),
            class: self.class.clone(),
            key: self.key,
            content: self.content,
            non_idempotent: self.non_idempotent,
            amount: self.amount,
            time_left: self.time_left(now),
        }
    }
}
