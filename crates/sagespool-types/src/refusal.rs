//! What a caller is told when it gets no answer.

use std::fmt;

use crate::derives;

derives! { value;
    /// Whether a request that got no answer ran.
    #[serde(rename_all = "kebab-case")]
    pub enum RunState {
        /// It did not run and will not: it may be sent again without doubt.
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
    /// Why a request was refused, for programs.
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// The branch's budget can't cover the request, fleet-wide.
        BudgetExhausted,
        /// The store is out of reach and what this side of the fleet holds can't cover the request.
        BudgetUnreachable,
        /// A claim for a non-idempotent request can't be made durable.
        ClaimUnreachable,
        /// The same key came with another request before.
        KeyReused,
        /// The request ran, or may have, and its answer isn't to be had any more.
        OutcomeUnknown,
        /// The request crashed upstreams before and is stopped fleet-wide.
        Quarantined,
        /// The deadline passed, or can't be met.
        DeadlineExceeded,
        /// Too much is waiting already.
        Overloaded,
        /// A limit of the branch, class or upstream is reached.
        LimitReached,
        /// No upstream serves this now.
        NoUpstream,
        /// The upstreams tried failed.
        UpstreamFailed,
        /// The process is leaving and takes nothing new.
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

    /// The reason as programs read it.
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
