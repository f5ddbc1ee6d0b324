//! What is to be run, as checked at the door.

use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use sagespool_messages::{CallTarget, ReserveRequest};
use sagespool_types::{
    BranchName, ClassName, ClockTime, ContentDigest, IncarnationId, KeyDigest, RequestId,
    ServiceName, TokenCount,
};

/// A caller's request, checked and ready to run.
#[derive(Debug, Clone, Builder)]
pub struct RequestOrder {
    /// The request.
    pub request: RequestId,
    /// The branch that pays.
    pub branch: BranchName,
    /// The service that runs it.
    pub service: ServiceName,
    /// The class.
    pub class: ClassName,
    /// The class's priority; lower goes first.
    pub priority: u8,
    /// The caller's idempotency key.
    pub key: Option<KeyDigest>,
    /// What it asks for.
    pub content: ContentDigest,
    /// True if it may never run twice.
    pub non_idempotent: bool,
    /// The greatest possible cost.
    pub amount: TokenCount,
    /// When it was taken in.
    pub arrived: ClockTime,
    /// When it must be answered.
    pub deadline: ClockTime,
    /// What to call.
    pub target: CallTarget,
    /// The body.
    pub body: Arc<Vec<u8>>,
    /// The key of engines' prompt caches.
    pub prefix: Option<u128>,
}

impl RequestOrder {
    /// Time left until the deadline; zero once it has passed.
    pub fn time_left(&self, now: ClockTime) -> Duration {
        self.deadline.since(now)
    }

    /// The question to the branch's home.
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
