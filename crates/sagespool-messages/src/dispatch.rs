//! Dispatch of a request to a sidecar, and the events that it streams back.

use std::time::Duration;

use sagespool_types::{
    AttemptNumber, BranchName, ClassName, ContentDigest, IncarnationId, KeyDigest, ModelName,
    RequestId, derives,
};

use crate::{ChargeRecord, RefusalNotice, ReservedCharge};

derives! { record;
    /// One HTTP header.
    pub struct HeaderPair {
        /// The name, in lower case.
        pub name: String,
        /// The value as text.
        pub value: String,
    }
}

derives! { record;
    /// The call to make on the upstream.
    pub enum CallTarget {
        /// A chat completion of an engine. The sidecar always streams from the engine.
        Completion {
            /// The model.
            model: ModelName,
            /// Maximum number of tokens in the response.
            max_tokens: u32,
            /// The prompt's cost in tokens, set by the entry and charged once the request starts.
            prompt_tokens: u32,
            /// Where to resume after a broken stream.
            resume: Option<ResumePoint>,
        },
        /// A call of a plain service.
        Service {
            /// The HTTP method.
            method: String,
            /// Path and query, from `/`.
            path: String,
            /// Headers to pass on.
            headers: Vec<HeaderPair>,
            /// The call's fixed price in tokens, charged in full once it runs.
            price: u32,
        },
    }
}

derives! { record;
    /// The position at which a broken stream is resumed.
    pub struct ResumePoint {
        /// Number of tokens that the caller has received.
        pub tokens: u32,
        /// The text of these tokens.
        pub text: String,
    }
}

derives! { record;
    /// An entry's request to a sidecar to run a request.
    pub struct DispatchRequest {
        /// The request.
        pub request: RequestId,
        /// The attempt at the request.
        pub attempt: AttemptNumber,
        /// The addressed sidecar; another incarnation refuses.
        pub sidecar: IncarnationId,
        /// The branch that pays.
        pub branch: BranchName,
        /// The reserved amount; the sidecar ends the stream when it is used up.
        pub reserved: ReservedCharge,
        /// The caller's idempotency key, if any.
        pub key: Option<KeyDigest>,
        /// Digest of the request's target and body.
        pub content: ContentDigest,
        /// True if the request must not run twice.
        pub non_idempotent: bool,
        /// The class.
        pub class: ClassName,
        /// The class's priority for the engine; lower values run first.
        pub priority: u8,
        /// Time left until the deadline.
        pub time_left: Duration,
        /// The call to make.
        pub target: CallTarget,
        /// The body for the upstream.
        pub body: Vec<u8>,
    }
}

derives! { record;
    /// An entry's request to a sidecar for the response to a key that runs or is kept there.
    pub struct AttachRequest {
        /// The attaching request, for logs only.
        pub request: RequestId,
        /// The key.
        pub key: KeyDigest,
        /// Digest that the key's request must have.
        pub content: ContentDigest,
        /// Time left until the deadline.
        pub time_left: Duration,
    }
}

derives! { record;
    /// Cancels an attempt: the sidecar frees the upstream and charges what ran.
    pub struct CancelRequest {
        /// The request.
        pub request: RequestId,
        /// The attempt.
        pub attempt: AttemptNumber,
    }
}

derives! { value;
    /// Why a response ended.
    #[serde(rename_all = "kebab-case")]
    pub enum FinishReason {
        /// The upstream ended the response.
        Stop,
        /// The requested or reserved number of tokens was reached.
        Length,
    }
}

derives! { record;
    /// An event of a dispatched request, in order; the last one is [`DispatchEvent::End`].
    pub enum DispatchEvent {
        /// The sidecar accepted the request and called the upstream.
        Started,
        /// A plain service's status and headers.
        Head {
            /// HTTP status.
            status: u16,
            /// Headers.
            headers: Vec<HeaderPair>,
        },
        /// A part of the response.
        Piece {
            /// Offset of the first token in the whole response, from 0; in bytes for a service.
            at: u32,
            /// Number of tokens; 0 for a service.
            tokens: u32,
            /// Text of a completion or bytes of a body.
            data: Vec<u8>,
        },
        /// The end of the attempt.
        End(DispatchEnd),
        /// Changes of the engine's prompt cache that this entry has not received yet; sent at
        /// any point before the end.
        CacheNews(PrefixCacheUpdate),
        /// Number of other requests of all entries that the sidecar has at its upstream; sent
        /// at the start and before the end.
        Beside(u32),
    }
}

derives! { value;
    /// The digest by which engines cache a prompt's prefix, defined in `docs/PLATFORM.md`.
    ///
    /// Encoded as 16 bytes; a random `u128` takes 19 bytes in variable-length encoding.
    pub struct PrefixDigest([u8; 16]);
}

impl From<u128> for PrefixDigest {
    fn from(digest: u128) -> Self {
        Self(digest.to_le_bytes())
    }
}

impl From<PrefixDigest> for u128 {
    fn from(digest: PrefixDigest) -> u128 {
        u128::from_le_bytes(digest.0)
    }
}

derives! { value;
    /// A change of one prefix in an engine's prompt cache.
    pub struct PrefixCacheEvent {
        /// The prefix.
        pub prefix: PrefixDigest,
        /// True if the prefix was cached, false if it was evicted.
        pub is_stored: bool,
    }
}

derives! { record;
    /// Recent changes of an engine's prompt cache. They may be delayed and have gaps.
    pub struct PrefixCacheUpdate {
        /// The sidecar's sequence number of the last entry of `notes`; the entries before it
        /// have the preceding numbers.
        pub newest: u64,
        /// The changes, oldest first.
        pub notes: Vec<PrefixCacheEvent>,
    }
}

impl PrefixCacheUpdate {
    /// The changes with their sequence numbers.
    pub fn numbered(&self) -> impl Iterator<Item = (u64, PrefixCacheEvent)> {
        let first = (self.newest + 1).saturating_sub(self.notes.len() as u64);
        (first..).zip(self.notes.iter().copied())
    }
}

derives! { record;
    /// How an attempt ended.
    pub enum DispatchEnd {
        /// The response is complete.
        Whole {
            /// The charge to bill.
            charge: ChargeRecord,
            /// Why the response ended.
            stop: FinishReason,
        },
        /// Refused before anything ran.
        Refused(RefusalNotice),
        /// Refused before anything ran, because the grant can't be used here (sealed, or older
        /// than the sidecar). The entry must reserve again before a retry.
        GrantUnusable(String),
        /// The upstream failed.
        Broken {
            /// The charge, if the attempt may have started; `None` if it did not start.
            ran: Option<ChargeRecord>,
            /// True if the upstream crashed, false if only this request failed.
            crashed: bool,
            /// Description of the failure, for people.
            detail: String,
        },
        /// The attempt was cancelled, or its deadline passed.
        Cancelled {
            /// The charge to bill; `None` if the attempt did not start.
            ran: Option<ChargeRecord>,
        },
    }
}
