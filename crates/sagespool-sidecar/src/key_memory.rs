//! What this incarnation knows of callers' keys.
//!
//! A key that runs here can be attached to, and so can one whose whole answer
//! is kept. A non-idempotent key stays known after its answer was dropped: its
//! request must not run again, and nobody may be told that it did not run.

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

/// How long keys are remembered; from the fleet's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRetention {
    /// A whole answer, from its end.
    pub answers: Duration,
    /// That a non-idempotent key ran, from its end; and that one was fenced.
    pub keys: Duration,
}

impl Default for KeyRetention {
    fn default() -> Self {
        Self { answers: Duration::from_secs(600), keys: Duration::from_secs(24 * 3600) }
    }
}

/// A request with a key, as it asks to run.
#[derive(Debug, Clone, Copy)]
pub struct KeyWish {
    /// The key.
    pub key: KeyDigest,
    /// The request.
    pub request: RequestId,
    /// Which attempt at it.
    pub attempt: AttemptNumber,
    /// What it asks for.
    pub content: ContentDigest,
    /// True if it may never run twice.
    pub non_idempotent: bool,
}

impl KeyWish {
    /// The wish of a dispatch, if it has a key.
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

/// Whether a request with a key may run.
#[derive(Debug, Clone)]
pub enum KeyAdmission {
    /// It may, and its key is taken now.
    Run,
    /// Its key runs here, or its answer is kept.
    Known {
        /// The answer.
        log: Arc<AnswerLog>,
        /// The request that runs or ran.
        request: RequestId,
    },
    /// It may not.
    Refused(KeyRefusal),
}

/// Why a key gives neither a run nor an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// A home was told that this request did not run here.
    Fenced,
    /// The key stands for another request.
    OtherContent,
    /// It ran, or may have, and its answer isn't to be had.
    AnswerLost {
        /// The request that ran.
        request: RequestId,
    },
    /// Another request runs or ran under the key, and can be attached to.
    OfOther {
        /// That request.
        request: RequestId,
    },
    /// Nothing is known of the key.
    NeverSeen,
}

impl fmt::Display for KeyRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => f.write_str("the request was fenced off before it came"),
            Self::OtherContent => f.write_str("the key was used for another request"),
            Self::AnswerLost { request } => {
                write!(f, "request {request} ran under this key and its answer is not kept")
            }
            Self::OfOther { request } => {
                write!(f, "request {request} has this key: attach to it")
            }
            Self::NeverSeen => f.write_str("the key is not known here"),
        }
    }
}

/// How a keyed attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyEnding {
    /// With a whole answer.
    Whole,
    /// It ran, or may have, and there is no whole answer.
    MayHaveRun,
    /// It surely did not run.
    NotRun,
}

/// The keys that run or ran here.
#[derive(Debug)]
pub struct KeyMemory {
    sidecar: IncarnationId,
    shard_bytes: ByteCount,
    retention: Mutex<KeyRetention>,
    shards: StateShards<KeyShard>,
    evicted: AtomicU64,
}

impl KeyMemory {
    /// An empty memory that keeps answers of at most so many bytes in all.
    pub fn new(sidecar: IncarnationId, kept: ByteCount, retention: KeyRetention) -> Self {
        let shards = StateShards::default();
        Self {
            sidecar,
            shard_bytes: ByteCount(kept.0 / shards.count() as u64),
            retention: Mutex::new(retention),
            shards,
            evicted: AtomicU64::new(0),
        }
    }

    /// The largest answer that is kept.
    pub fn longest_answer(&self) -> ByteCount {
        self.shard_bytes
    }

    /// Changes how long keys are remembered.
    pub fn retain(&self, retention: KeyRetention) {
        *lock(&self.retention) = retention;
    }

    /// Takes a key for an attempt whose answer goes to the log, or says what
    /// is known of the key.
    pub fn begin(&self, wish: &KeyWish, log: &Arc<AnswerLog>) -> KeyAdmission {
        self.shards.of(&wish.key).begin(wish, log)
    }

    /// The answer for a caller who comes back with a key.
    ///
    /// # Errors
    ///
    /// The [`KeyRefusal`] where there is no answer.
    pub fn attach(&self, request: &AttachRequest) -> Result<Arc<AnswerLog>, KeyRefusal> {
        self.shards.of(&request.key).attach(request)
    }

    /// Ends a keyed attempt.
    pub fn end(&self, wish: &KeyWish, ending: KeyEnding, now: ClockTime) {
        let mut shard = self.shards.of(&wish.key);
        shard.end(wish, ending, now);
        let evicted = shard.evict(self.shard_bytes);
        self.evicted.fetch_add(evicted, Ordering::Relaxed);
    }

    /// Tells a home what is known of a key. If that is nothing and the home
    /// asks for a fence, the named request is refused from now on, so that it
    /// can't start after the home was told that it hadn't.
    pub fn find(&self, request: &KeyRequest, now: ClockTime) -> KeyReply {
        let known = self.shards.of(&request.key).find(request, now);
        let known = known.map(|found| match found {
            KeyFound::At { request, content } => {
                KeyState::At { sidecar: self.sidecar, request, content }
            }
            KeyFound::Lost { request } => KeyState::Unknown { request },
        });
        KeyReply { sidecar: self.sidecar, known }
    }

    /// Drops answers and keys that are past their retention.
    pub fn expire(&self, now: ClockTime) {
        let retention = *lock(&self.retention);
        for mut shard in self.shards.each() {
            shard.expire(&retention, now);
        }
    }

    /// How many kept answers were dropped early to make room.
    pub fn evicted(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }
}

/// What a shard knows of a key.
enum KeyFound {
    At { request: RequestId, content: ContentDigest },
    Lost { request: RequestId },
}
