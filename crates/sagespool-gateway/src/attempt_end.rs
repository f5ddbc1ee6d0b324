//! How an attempt ended without a complete response.
//!
//! One value decides all that follows from an end: what the upstream's placement learns, whether it is
//! evidence of a crash, what the account is charged, whether the request may be sent again, and the log.

use std::time::Duration;

use sagespool_forward::SendOutcome;
use sagespool_types::ClockTime;

use crate::attempt::PlacementGuard;
use crate::context::RequestContext;

/// Why an attempt ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// No upstream is eligible.
    NoUpstream(UnavailableCause),
    /// No byte of the request was written.
    NotSent(&'static str),
    /// Nothing was written: after it was chosen, the upstream became ineligible, named a limit or
    /// started a backoff.
    DispatchBlocked,
    /// Nothing was written: the content has been quarantined since the request was admitted.
    Quarantined,
    /// The upstream rejected the request without running it.
    Rejected,
    /// Another run has the upstream's address; the intended run has ended.
    Misdirected,
    /// The response was lost or is unusable; the request may have run.
    Lost(LossCause),
    /// The time for a response ran out; the request may be running.
    TimedOut,
    /// The request's deadline passed in the middle of a stream.
    Overrun,
    /// The caller disconnected.
    CallerGone,
}

/// How a response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossCause {
    /// The connection closed before the response began.
    BeforeHead,
    /// A plain response broke off.
    WithinBody,
    /// A stream broke off, or ended within an event.
    WithinStream,
    /// The bytes are no response.
    Garbled,
    /// It has more bytes than a response may have, and may have no end.
    Oversized,
    /// It is the response to another request.
    Crossed,
    /// A success without the upstream's signature.
    Unsigned,
    /// A complete response tells of a failure, and another upstream may succeed.
    FailureStatus,
}

impl LossCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::BeforeHead => "broken",
            Self::WithinBody => "answer-broken",
            Self::WithinStream => "stream-broken",
            Self::Garbled => "garbled",
            Self::Oversized => "oversized",
            Self::Crossed => "crossed",
            Self::Unsigned => "unsigned",
            Self::FailureStatus => "failure-status",
        }
    }
}

/// Why a service has no eligible upstream for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnavailableCause {
    /// All known upstreams have been tried, or there are none.
    None,
    /// The data centres of all upstreams are evacuated.
    Evacuated,
    /// No upstream is in a region where the request may run.
    AwayFromHome,
    /// The stream has events of a software version that no eligible upstream has.
    OtherVersion,
    /// All are cold, and other instances are assigned to send to them.
    Cold,
    /// All are rate-limited or in backoff; holds the time until the first accepts a request.
    Limited(Duration),
}

impl UnavailableCause {
    /// Adds a cold upstream.
    pub(crate) fn or_cold(self) -> Self {
        match self {
            Self::Limited(_) => self,
            _ => Self::Cold,
        }
    }

    /// Adds an upstream that accepts a request again after `delay`.
    pub(crate) fn or_limited(self, delay: Duration) -> Self {
        match self {
            Self::Limited(first) => Self::Limited(first.min(delay)),
            _ => Self::Limited(delay),
        }
    }
}

impl AttemptFailure {
    /// What the placement of the upstream learns.
    pub(crate) fn send_outcome(self) -> SendOutcome {
        match self {
            Self::Rejected | Self::Misdirected => SendOutcome::Refused,
            Self::Lost(LossCause::FailureStatus) => SendOutcome::Failed,
            Self::NotSent(_) | Self::Lost(_) | Self::TimedOut => SendOutcome::Broken,
            Self::NoUpstream(_)
            | Self::DispatchBlocked
            | Self::Quarantined
            | Self::Overrun
            | Self::CallerGone => SendOutcome::Cancelled,
        }
    }

    /// Whether the request may have crashed its upstream: the connection broke.
    pub(crate) fn may_be_crash(self) -> bool {
        match self {
            Self::Lost(cause) => match cause {
                LossCause::BeforeHead | LossCause::WithinBody | LossCause::WithinStream => true,
                LossCause::Garbled
                | LossCause::Oversized
                | LossCause::Crossed
                | LossCause::Unsigned
                | LossCause::FailureStatus => false,
            },
            Self::NoUpstream(_)
            | Self::NotSent(_)
            | Self::DispatchBlocked
            | Self::Quarantined
            | Self::Rejected
            | Self::Misdirected
            | Self::TimedOut
            | Self::Overrun
            | Self::CallerGone => false,
        }
    }

    /// Whether the request has certainly not run, so that a retry or a refusal as not run is safe.
    pub(crate) fn did_not_run(self) -> bool {
        match self {
            Self::NoUpstream(_)
            | Self::NotSent(_)
            | Self::DispatchBlocked
            | Self::Quarantined
            | Self::Rejected
            | Self::Misdirected => true,
            Self::Lost(_) | Self::TimedOut | Self::Overrun | Self::CallerGone => false,
        }
    }

    /// Whether no run goes on after it, and nothing of an answer was forwarded. A lost response's
    /// connection is closed, which ends its run.
    fn ended_without_answer(self) -> bool {
        match self {
            Self::NoUpstream(_)
            | Self::NotSent(_)
            | Self::DispatchBlocked
            | Self::Quarantined
            | Self::Rejected
            | Self::Misdirected
            | Self::Lost(_) => true,
            // The request used its time at the upstream, or its caller left it.
            Self::TimedOut | Self::Overrun | Self::CallerGone => false,
        }
    }

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream(UnavailableCause::None) => "no-upstream",
            Self::NoUpstream(UnavailableCause::Evacuated) => "evacuated",
            Self::NoUpstream(UnavailableCause::AwayFromHome) => "away-from-home",
            Self::NoUpstream(UnavailableCause::OtherVersion) => "other-version",
            Self::NoUpstream(UnavailableCause::Cold) => "all-cold",
            Self::NoUpstream(UnavailableCause::Limited(_)) => "all-limited",
            Self::NotSent(detail) => detail,
            Self::DispatchBlocked => "held-back",
            Self::Quarantined => "quarantined",
            Self::Rejected => "turned-away",
            Self::Misdirected => "misdirected",
            Self::Lost(cause) => cause.as_str(),
            Self::TimedOut => "silent",
            Self::Overrun => "timed-out",
            Self::CallerGone => "caller-gone",
        }
    }
}

impl RequestContext {
    /// Releases the slot of an attempt that failed, and reports it if its upstream may have crashed.
    pub(crate) async fn end_attempt(
        &mut self,
        placement: PlacementGuard,
        failure: AttemptFailure,
        now: ClockTime,
    ) {
        let upstream = placement.attempt().upstream.clone();
        placement.finish(failure.send_outcome(), now);
        if failure.may_be_crash() {
            self.report_break(&upstream, failure.as_str()).await;
        }
    }

    /// Gives back the charge of an attempt that ended without an answer.
    pub(crate) fn settle_failure(&mut self, failure: AttemptFailure) {
        if failure.ended_without_answer() {
            self.uncharge_prompt();
        }
    }
}
