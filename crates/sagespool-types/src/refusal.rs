//! Reasons and run states of refused requests, as callers receive them.

use std::fmt;

use crate::derives;

derives! { value;
    /// Whether a request without a response ran.
    #[serde(rename_all = "kebab-case")]
    pub enum RunState {
        /// It did not run and will not; it is safe to send it again.
        NotRun,
        /// It may have run.
        Unknown,
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

derives! { value;
    /// The reason of a refusal, for programs.
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// The branch's budget in the whole fleet doesn't cover the request.
        BudgetExhausted,
        /// The store is unreachable, and the grants on this side of a partition don't cover the
        /// request.
        BudgetUnreachable,
        /// The claim of a non-idempotent request can't be made durable.
        ClaimUnreachable,
        /// The key was used before for a request with other content.
        KeyReused,
        /// The request ran or may have run, and its response is no longer available.
        OutcomeUnknown,
        /// The request crashed upstreams and is stopped in the whole fleet.
        Quarantined,
        /// The deadline has passed or can't be met.
        DeadlineExceeded,
        /// Too many requests are waiting.
        Overloaded,
        /// A limit of the branch, class or upstream is reached.
        LimitReached,
        /// No upstream for the request is available.
        NoUpstream,
        /// All attempted upstreams failed.
        UpstreamFailed,
        /// The process is leaving and accepts no new requests.
        Leaving,
        /// The process has no configuration yet.
        NotReady,
    }
}

impl RefusalReason {
    /// Every reason, for tables and metrics.
    pub const ALL: [Self; 13] = [
        Self::BudgetExhausted,
        Self::BudgetUnreachable,
        Self::ClaimUnreachable,
        Self::KeyReused,
        Self::OutcomeUnknown,
        Self::Quarantined,
        Self::DeadlineExceeded,
        Self::Overloaded,
        Self::LimitReached,
        Self::NoUpstream,
        Self::UpstreamFailed,
        Self::Leaving,
        Self::NotReady,
    ];

    /// The name of the reason in responses, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BudgetExhausted => "budget-exhausted",
            Self::BudgetUnreachable => "budget-unreachable",
            Self::ClaimUnreachable => "claim-unreachable",
            Self::KeyReused => "key-reused",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::Quarantined => "quarantined",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::Overloaded => "overloaded",
            Self::LimitReached => "limit-reached",
            Self::NoUpstream => "no-upstream",
            Self::UpstreamFailed => "upstream-failed",
            Self::Leaving => "leaving",
            Self::NotReady => "not-ready",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
