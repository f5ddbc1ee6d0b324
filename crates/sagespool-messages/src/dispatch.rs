//! Running a request: the entry dispatches to a sidecar, which streams back.

use std::time::Duration;

use sagespool_types::{
    AttemptNumber, BranchName, ClassName, ContentDigest, IncarnationId, KeyDigest, ModelName,
    RequestId, derives,
};

use crate::{ChargeRecord, RefusalNotice, ReservedCharge};

derives! { record;
    /// One HTTP header.
    pub struct HeaderPair {
        /// Its name, in lower case.
        pub name: String,
        /// Its value.
        pub value: String,
    }
}

derives! { record;
    /// What to call on the upstream.
    pub enum CallTarget {
        /// A chat completion of an engine. The sidecar always streams from the engine.
        Completion {
            /// The model.
            model: ModelName,
            /// The most tokens the answer may have.
            max_tokens: u32,
            /// The prompt's cost, fixed by the entry and paid once the request starts.
            prompt_tokens: u32,
            /// Where to go on, after a stream broke.
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
            /// The call's settled price, paid whole once it runs.
            price: u32,
        },
    }
}

derives! { record;
    /// Where a broken stream goes on.
    pub struct ResumePoint {
        /// Tokens that the caller has.
        pub tokens: u32,
        /// Their text.
        pub text: String,
    }
}

derives! { record;
    /// An entry asks a sidecar to run a request.
    pub struct DispatchRequest {
        /// The request.
        pub request: RequestId,
        /// Which attempt at it.
        pub attempt: AttemptNumber,
        /// The sidecar that is meant: another incarnation refuses.
        pub sidecar: IncarnationId,
        /// The branch that pays.
        pub branch: BranchName,
        /// The amount held for it; the sidecar cuts the stream there.
        pub reserved: ReservedCharge,
        /// The caller's key, if it gave one.
        pub key: Option<KeyDigest>,
        /// What the request asks for.
        pub content: ContentDigest,
        /// True if it may never run twice.
        pub non_idempotent: bool,
        /// The class.
        pub class: ClassName,
        /// The class's priority for the engine; lower goes first.
        pub priority: u8,
        /// Time left until the deadline.
        pub time_left: Duration,
        /// What to call.
        pub target: CallTarget,
        /// The body to send.
        pub body: Vec<u8>,
    }
}

derives! { record;
    /// An entry asks a sidecar for the answer to a key that runs or is kept there.
    pub struct AttachRequest {
        /// The request that attaches, for the logs.
        pub request: RequestId,
        /// The key.
        pub key: KeyDigest,
        /// What it must have asked for.
        pub content: ContentDigest,
        /// Time left until the deadline.
        pub time_left: Duration,
    }
}

derives! { record;
    /// An entry gives a request up: free the upstream, bill what ran.
    pub struct CancelRequest {
        /// The request.
        pub request: RequestId,
        /// The attempt.
        pub attempt: AttemptNumber,
    }
}

derives! { value;
    /// Why an answer ended.
    #[serde(rename_all = "kebab-case")]
    pub enum FinishReason {
        /// The upstream finished by itself.
        Stop,
        /// The most tokens asked for, or reserved, were reached.
        Length,
    }
}

derives! { record;
    /// What a sidecar sends back, in order; the last is an [`DispatchEvent::End`].
    pub enum DispatchEvent {
        /// The sidecar took the request and called the upstream.
        Started,
        /// A plain service's status and headers.
        Head {
            /// HTTP status.
            status: u16,
            /// Headers.
            headers: Vec<HeaderPair>,
        },
        /// A piece of an answer.
        Piece {
            /// The first token's place in the whole answer, from 0; bytes for a service.
            at: u32,
            /// How many tokens; 0 for a service.
            tokens: u32,
            /// Text of a completion or bytes of a body.
            data: Vec<u8>,
        },
        /// The end.
        End(DispatchEnd),
        /// What the asker has not been told yet of the engine's prompt cache; may come anywhere
        /// before the end.
        CacheNews(PrefixCacheUpdate),
        /// How many other requests the sidecar has at its upstream at this moment, from all
        /// entries; at the start and before the end.
        Beside(u32),
    }
}

derives! { value;
    /// The digest by which engines cache a prompt's prefix, as `docs/PLATFORM.md` has it.
    ///
    /// Sixteen bytes on the wire, where a random number of variable length takes nineteen.
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
    /// A prefix, and whether its engine has it cached.
    pub struct PrefixCacheEvent {
        /// The prefix.
        pub prefix: PrefixDigest,
        /// False if it was evicted.
        pub is_stored: bool,
    }
}

derives! { record;
    /// What happened lately in an engine's prompt cache, late and with gaps.
    pub struct PrefixCacheUpdate {
        /// The number of the last note, counted by the sidecar; those before it count back
        /// from there.
        pub newest: u64,
        /// The oldest first.
        pub notes: Vec<PrefixCacheEvent>,
    }
}

impl PrefixCacheUpdate {
    /// Each note with its number.
    pub fn numbered(&self) -> impl Iterator<Item = (u64, PrefixCacheEvent)> {
        let first = (self.newest + 1).saturating_sub(self.notes.len() as u64);
        (first..).zip(self.notes.iter().copied())
    }
}

derives! { record;
    /// How an attempt ended.
    pub enum DispatchEnd {
        /// The answer is whole.
        Whole {
            /// What is billed.
            charge: ChargeRecord,
            /// Why it ended.
            stop: FinishReason,
        },
        /// Refused before anything ran.
        Refused(RefusalNotice),
        /// Refused before anything ran, because the grant can't be used here (sealed, or older
        /// than the sidecar): reserve again and come back.
        GrantUnusable(String),
        /// The upstream failed. `ran` is what it used, if it may have started.
        Broken {
            /// What ran, or nothing if it surely did not start.
            ran: Option<ChargeRecord>,
            /// True if the upstream itself went down, not only this request.
            crashed: bool,
            /// For people.
            detail: String,
        },
        /// It was cancelled, or its deadline passed.
        Cancelled {
            /// What ran before, which is billed.
            ran: Option<ChargeRecord>,
        },
    }
}
