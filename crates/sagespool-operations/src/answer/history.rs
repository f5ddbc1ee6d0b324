//! Answers about one request or one key.

use std::fmt;

use sagespool_types::{
    AttemptNumber, BranchName, ClassName, ContentDigest, IncarnationId, InstanceName, KeyDigest,
    RequestId, TokenCount, WallTime, derives,
};

derives! { record;
    /// What is known of a request or a key.
    pub struct HistoryAnswer {
        /// What was asked: `request …` or `key …`.
        pub about: String,
        /// The key's digest, if a key was asked for or found.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub key: Option<KeyDigest>,
        /// What is known, and who says so.
        pub notes: Vec<HistoryNote>,
        /// What follows from it, and what doesn't.
        pub conclusion: String,
    }
}

derives! { record;
    /// Who says something.
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
    /// One fact, and who says so.
    pub struct HistoryNote {
        /// Who.
        pub source: HistorySource,
        /// What.
        pub fact: HistoryFact,
    }
}

derives! { record;
    /// One fact.
    #[serde(tag = "fact", rename_all = "kebab-case")]
    pub enum HistoryFact {
        /// A claim: this request alone may run under the key, and at this sidecar alone.
        Claimed {
            /// The key.
            key: KeyDigest,
            /// The request.
            request: RequestId,
            /// What it asks for.
            content: ContentDigest,
            /// The sidecar.
            sidecar: IncarnationId,
            /// The attempt.
            attempt: AttemptNumber,
            /// When, by the claiming home's wall clock.
            at: WallTime,
        },
        /// The key was claimed, longer ago than details are kept.
        ClaimedLongAgo {
            /// The key.
            key: KeyDigest,
        },
        /// The request runs here.
        Running {
            /// The request.
            request: RequestId,
            /// The attempt.
            attempt: AttemptNumber,
            /// The branch.
            branch: BranchName,
            /// The class.
            class: ClassName,
            /// For how long, in milliseconds.
            running_ms: u64,
            /// Tokens so far.
            used: TokenCount,
        },
        /// The key's request runs here, or its whole answer is kept here.
        AnswerHere {
            /// The request.
            request: RequestId,
        },
        /// The key's request was here, and its answer can't be had.
        AnswerLost {
            /// The request.
            request: RequestId,
        },
        /// The key's request is being settled here at this moment.
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
