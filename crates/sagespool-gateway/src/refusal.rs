//! Answers of the gateway's own.

use std::fmt;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::AnswerBody;
use crate::dialect::CallerHeaderError;
use crate::intake::ShortResource;

/// Callers who were refused together come back within this time at least.
const LEAST_SPREAD: Duration = Duration::from_millis(200);

/// Why a request isn't answered by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NoPlan,
    /// The header can't be used.
    Demand(CallerHeaderError),
    /// The request has no host.
    NoHost,
    /// No route of the host begins the path.
    UnknownRoute,
    /// The key is missing, or no account holds it.
    UnknownKey,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The body didn't arrive in time.
    BodyTooSlow,
    /// The account's budget can't cover the request.
    BudgetSpent,
    /// The budget's state isn't known at the moment.
    BudgetUnreachable,
    /// Its content took down the upstreams that ran it; it hasn't run now.
    Stopped,
    /// This instance has no processor time or memory left for it; it hasn't run.
    Crowded(ShortResource),
    /// This instance stops before the request could end.
    Stopping,
    /// No upstream of the service could take it; it hasn't run.
    NoUpstream,
    /// The data centres of all the service's upstreams are evacuated; it hasn't run.
    Evacuated,
    /// The service's upstreams name limits or rest, the first for so long; it hasn't run.
    Limited(Duration),
    /// The upstreams turned it away; it hasn't run.
    Busy,
    /// No time was left to send it; it hasn't run.
    TooLate,
    /// The upstream failed, or its answer was lost; it may have run.
    Failed,
    /// The time ran out at the upstream; it may have run.
    TimedOut,
    /// This instance stopped while it was under way; it may have run.
    Ended,
}

impl Refusal {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Demand(_) | Self::NoHost => StatusCode::BAD_REQUEST,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::NoPlan
            | Self::BudgetUnreachable
            | Self::Stopped
            | Self::Crowded(_)
            | Self::Stopping
            | Self::NoUpstream
            | Self::Evacuated
            | Self::Limited(_)
            | Self::Busy
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed | Self::Ended => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The word that logs and metrics use.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NoPlan => "no-configuration",
            Self::Demand(_) => "bad-header",
            Self::NoHost => "no-host",
            Self::UnknownRoute => "unknown-route",
            Self::UnknownKey => "unknown-key",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTooSlow => "body-too-slow",
            Self::BudgetSpent => "budget-spent",
            Self::BudgetUnreachable => "budget-unreachable",
            Self::Stopped => "crashes-upstreams",
            Self::Crowded(ShortResource::Processor) => "crowded-processor",
            Self::Crowded(ShortResource::Memory) => "crowded-memory",
            Self::Stopping => "stopping",
            Self::NoUpstream => "no-upstream",
            Self::Evacuated => "evacuated",
            Self::Limited(_) => "limited",
            Self::Busy => "busy",
            Self::TooLate => "too-late",
            Self::Failed => "failed",
            Self::TimedOut => "timed-out",
            Self::Ended => "stopped",
        }
    }

    /// When to come back; nothing where that wouldn't help. Spread by chance, so that callers who
    /// were refused together don't come back together.
    fn retry_after(self) -> Option<Duration> {
        let least_ms = match self {
            // Many are refused while an upstream takes one: the longer its pause, the wider apart.
            Self::Limited(turn) => return Some(spread(turn, LEAST_SPREAD.max(turn / 2))),
            // An instance that starts has its configuration within half a second.
            Self::NoPlan => 300,
            // One round of the store, or of an upstream's restart.
            Self::BudgetUnreachable | Self::NoUpstream => 400,
            // Operators take seconds or minutes to take an evacuation back.
            Self::Evacuated => 2000,
            // A request at an upstream lasts a few hundred milliseconds.
            Self::Busy => 200,
            // Another instance takes it at once.
            Self::Crowded(_) | Self::Stopping | Self::TooLate | Self::BodyTooSlow => 0,
            _ => return None,
        };
        Some(spread(Duration::from_millis(least_ms), LEAST_SPREAD))
    }

    /// The answer to the caller.
    pub(crate) fn response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(format!("{self}\n").into()));
        *response.status_mut() = self.status();
        if matches!(self, Self::Crowded(_)) {
            // Its room is for others; the caller comes back elsewhere.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(pause) = self.retry_after() {
            let text = format!("{:.3}", pause.as_secs_f64());
            let value = HeaderValue::from_str(&text).expect("a number is a header's text");
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}

/// A pause that is longer by chance, by so much at most.
fn spread(least: Duration, most: Duration) -> Duration {
    least + most.mul_f64(fastrand::f64())
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPlan => f.write_str("this instance has no configuration yet"),
            Self::Demand(fault) => fault.fmt(f),
            Self::NoHost => f.write_str("the request names no host"),
            Self::UnknownRoute => f.write_str("no route of this host begins the path"),
            Self::UnknownKey => f.write_str("no client account holds this key"),
            Self::BodyTooLarge => f.write_str("the body is longer than allowed"),
            Self::BodyTooSlow => f.write_str("the body didn't arrive in time; nothing ran"),
            Self::BudgetSpent => f.write_str("the budget can't cover the request; nothing ran"),
            Self::BudgetUnreachable => {
                f.write_str("the budget can't be read at the moment; nothing ran")
            }
            Self::Stopped => {
                f.write_str("this request takes down what runs it, and isn't run any more")
            }
            Self::Crowded(_) => {
                f.write_str("this instance is busy, others may not be; nothing ran")
            }
            Self::Stopping => f.write_str("this instance is about to stop; nothing ran"),
            Self::NoUpstream => f.write_str("no upstream can be reached; nothing ran"),
            Self::Evacuated => {
                f.write_str("the service's data centres take no work at present; nothing ran")
            }
            Self::Limited(_) => {
                f.write_str("the upstreams take few requests at present; nothing ran")
            }
            Self::Busy => f.write_str("the upstreams are full; nothing ran"),
            Self::TooLate => f.write_str("no time was left to send the request; nothing ran"),
            Self::Failed => f.write_str("the upstream failed; the request may have run"),
            Self::TimedOut => f.write_str("the upstream took too long; the request may have run"),
            Self::Ended => f.write_str("this instance has stopped; the request may have run"),
        }
    }
}
