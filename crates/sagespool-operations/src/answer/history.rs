//! Answers to `request` and `key`.

use std::fmt;

use sagespool_types::{
    AttemptNumber, BranchName, ClassName, ContentDigest, IncarnationId, InstanceName, KeyDigest,
    RequestId, TokenCount, WallTime, derives,
};

derives! { record;
    /// The recorded facts about a request or a key.
    pub struct HistoryAnswer {
        /// The query: `request …` or `key …`.
        pub about: String,
        /// The key's digest, if a key was given or found.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub key: Option<KeyDigest>,
        /// The facts with their sources.
        pub notes: Vec<HistoryNote>,
        /// What the facts imply, and what they don't.
        pub conclusion: String,
    }
}

derives! { record;
    /// The source of a fact.
    #[serde(rename_all = "kebab-case")]
    pub enum HistorySource {
        /// The store.
        Store,
        /// A sidecar, by its instance.
        Sidecar(InstanceName),
    }
}

impl fmt::Display for HistorySource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Sidecar(instance) => write!(f, "sidecar {instance}"),
        }
    }
}

derives! { record;
    /// One fact with its source.
    pub struct HistoryNote {
        /// The source.
        pub source: HistorySource,
        /// The fact.
        pub fact: HistoryFact,
    }
}

derives! { record;
    /// One fact about a request or a key.
    #[serde(tag = "fact", rename_all = "kebab-case")]
    pub enum HistoryFact {
        /// A claim: only this request may run under the key, and only at this sidecar.
        Claimed {
            /// The key.
            key: KeyDigest,
            /// The request.
            request: RequestId,
            /// The digest of its content.
            content: ContentDigest,
            /// The sidecar.
            sidecar: IncarnationId,
            /// The attempt.
            attempt: AttemptNumber,
            /// The time of the claim, by the claiming home's wall clock.
            at: WallTime,
        },
        /// The key was claimed so long ago that the details are no longer stored.
        ClaimedLongAgo {
            /// The key.
            key: KeyDigest,
        },
        /// The request runs at this sidecar.
        Running {
            /// The request.
            request: RequestId,
            /// The attempt.
            attempt: AttemptNumber,
            /// The branch.
            branch: BranchName,
            /// The class.
            class: ClassName,
            /// Running time in milliseconds.
            running_ms: u64,
            /// Tokens used so far.
            used: TokenCount,
        },
        /// The key's request runs at this sidecar, or its complete answer is stored there.
        AnswerHere {
            /// The request.
            request: RequestId,
        },
        /// The key's request was at this sidecar, but its answer is no longer available.
        AnswerLost {
            /// The request.
            request: RequestId,
        },
        /// The state of the key's request is being settled at this sidecar.
        Pending,
    }
}

impl fmt::Display for HistoryFact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Claimed { request, sidecar, attempt, .. } => {
                write!(f, "claimed for request {request}, attempt {attempt}, at sidecar {sidecar}")
            }
            Self::ClaimedLongAgo { .. } => f.write_str("claimed, longer ago than details are kept"),
            Self::Running { attempt, branch, class, running_ms, used, .. } => write!(
                f,
                "runs for {branch} as {class}, attempt {attempt}, since {running_ms} ms, {used} tokens \
                 so far"
            ),
            Self::AnswerHere { request } => {
                write!(f, "request {request} runs here, or its whole answer is kept here")
            }
            Self::AnswerLost { request } => {
                write!(f, "request {request} was here; its answer can't be had any more")
            }
            Self::Pending => f.write_str("being settled here at this moment"),
        }
    }
}
