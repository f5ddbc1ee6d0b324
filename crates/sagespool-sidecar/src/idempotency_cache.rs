//! Callers' idempotency keys, and cached answers of their requests.
//!
//! A caller can attach to a key whose request runs here or whose complete answer
//! is cached. A non-idempotent key is remembered after its answer was dropped:
//! its request must not run again and must not be reported as not run.

mod shard;

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sagespool_messages::{AttachRequest, DispatchRequest, KeyReply, KeyRequest, KeyState};
use sagespool_types::{
    AttemptNumber, ByteCount, ClockTime, ContentDigest, IncarnationId, KeyDigest, RequestId,
};

use crate::AnswerLog;
use crate::shards::{StateShards, lock};
use shard::KeyShard;

/// Retention times of answers and keys, from the fleet's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRetention {
    /// For a complete answer, from its end.
    pub answers: Duration,
    /// For a non-idempotent key, from the end of its request, and for a fence.
    pub keys: Duration,
}

impl Default for KeyRetention {
    fn default() -> Self {
        Self { answers: Duration::from_secs(600), keys: Duration::from_secs(24 * 3600) }
    }
}

/// An attempt at a request with an idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct KeyedAttempt {
    /// Digest of the key.
    pub key: KeyDigest,
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request.
    pub attempt: AttemptNumber,
    /// Digest of the request's content.
    pub content: ContentDigest,
    /// Whether the request must not run twice.
    pub non_idempotent: bool,
}

impl KeyedAttempt {
    /// The keyed attempt of a dispatch; `None` if the request has no key.
    pub fn of(dispatch: &DispatchRequest) -> Option<Self> {
        Some(Self {
            key: dispatch.key?,
            request: dispatch.request,
            attempt: dispatch.attempt,
            content: dispatch.content,
            non_idempotent: dispatch.non_idempotent,
        })
    }
}

/// Result of admitting a keyed attempt.
#[derive(Debug, Clone)]
pub enum KeyAdmission {
    /// The attempt may run, and the key is registered for it.
    Admitted,
    /// A request with the key runs here, or its answer is cached.
    Known {
        /// The answer, as far as it has arrived.
        log: Arc<AnswerLog>,
        /// The request that runs or ran under the key.
        request: RequestId,
    },
    /// The attempt must not run.
    Refused(KeyRefusal),
}

/// Why a key admits no attempt and has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The request is fenced: this sidecar has reported to a home that it did not run here.
    Fenced,
    /// The key was used with other content.
    OtherContent,
    /// The request ran or may have run, and its answer is not available.
    AnswerLost {
        /// The request that ran or may have run.
        request: RequestId,
    },
    /// Another request runs or ran under the key; callers can attach to it.
    HeldByOther {
        /// The request that holds the key.
        request: RequestId,
    },
    /// The key is not known here.
    UnknownKey,
}

impl fmt::Display for KeyRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => f.write_str("the request was fenced before it arrived"),
            Self::OtherContent => f.write_str("the key was used for a request with other content"),
            Self::AnswerLost { request } => {
                write!(
                    f,
                    "request {request} ran under this key and its answer is no longer available"
                )
            }
            Self::HeldByOther { request } => {
                write!(f, "request {request} holds this key; attach to that request")
            }
            Self::UnknownKey => f.write_str("the key is not known here"),
        }
    }
}

/// How a keyed attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyedOutcome {
    /// With a complete answer.
    Whole,
    /// Without a complete answer, after it ran or may have run.
    MayHaveRun,
    /// It certainly did not run.
    NotRun,
}

/// Keys of requests that run or ran here, with their answers.
#[derive(Debug)]
pub struct IdempotencyCache {
    sidecar: IncarnationId,
    shard_bytes: ByteCount,
    retention: Mutex<KeyRetention>,
    shards: StateShards<KeyShard>,
    evicted: AtomicU64,
}

impl IdempotencyCache {
    /// An empty cache for answers of at most `capacity`, split evenly over the shards.
    pub fn new(sidecar: IncarnationId, capacity: ByteCount, retention: KeyRetention) -> Self {
        let shards = StateShards::default();
        Self {
            sidecar,
            shard_bytes: ByteCount(capacity.0 / shards.count() as u64),
            retention: Mutex::new(retention),
            shards,
            evicted: AtomicU64::new(0),
        }
    }

    /// Size of the largest answer that is cached.
    pub fn max_answer_bytes(&self) -> ByteCount {
        self.shard_bytes
    }

    /// Replaces the retention times.
    pub fn set_retention(&self, retention: KeyRetention) {
        *lock(&self.retention) = retention;
    }

    /// Registers a key for an attempt that writes its answer to `log`, unless
    /// the key is known already or fenced.
    pub fn admit(&self, keyed: &KeyedAttempt, log: &Arc<AnswerLog>) -> KeyAdmission {
        self.shards.lock_for(&keyed.key).admit(keyed, log)
    }

    /// The answer for a caller that reconnects with a key.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyRefusal`] if there is no answer for the key.
    pub fn attach(&self, request: &AttachRequest) -> Result<Arc<AnswerLog>, KeyRefusal> {
        self.shards.lock_for(&request.key).attach(request)
    }

    /// Ends a keyed attempt: caches its answer, or drops or remembers its key by its outcome.
    pub fn end_attempt(&self, keyed: &KeyedAttempt, outcome: KeyedOutcome, now: ClockTime) {
        let mut shard = self.shards.lock_for(&keyed.key);
        shard.end_attempt(keyed, outcome, now);
        let evicted = shard.evict(self.shard_bytes);
        self.evicted.fetch_add(evicted, Ordering::Relaxed);
    }

    /// Looks up a key for a home. If the key is not known and the home requests
    /// a fence, the named request is refused from now on. It then cannot start
    /// after this sidecar has replied that it did not run.
    pub fn find(&self, request: &KeyRequest, now: ClockTime) -> KeyReply {
        let known = self.shards.lock_for(&request.key).find(request, now);
        let known = known.map(|found| match found {
            FoundKey::At { request, content } => {
                KeyState::At { sidecar: self.sidecar, request, content }
            }
            FoundKey::Lost { request } => KeyState::Unknown { request },
        });
        KeyReply { sidecar: self.sidecar, known }
    }

    /// Drops answers, keys and fences whose retention time has passed.
    pub fn expire(&self, now: ClockTime) {
        let retention = *lock(&self.retention);
        for mut shard in self.shards.lock_each() {
            shard.expire(&retention, now);
        }
    }

    /// Number of cached answers that were evicted before their retention time passed.
    pub fn evicted_count(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }
}

/// Result of looking up a known key.
enum FoundKey {
    At { request: RequestId, content: ContentDigest },
    Lost { request: RequestId },
}
