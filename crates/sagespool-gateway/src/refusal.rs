//! Error responses of the gateway itself.

use std::fmt;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::admission::ShortResource;
use crate::body::ResponseBody;
use crate::dialect::CallerHeaderError;

/// Minimum range of the jitter in `Retry-After`.
const MIN_JITTER: Duration = Duration::from_millis(200);

/// Why a request gets no upstream's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The configuration or the upstreams aren't loaded yet.
    NoPlan,
    /// The request headers are invalid.
    BadHeader(CallerHeaderError),
    /// The request has no host.
    NoHost,
    /// No route of the host matches the path.
    UnknownRoute,
    /// The key is missing or belongs to no account.
    UnknownKey,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The body didn't arrive in time.
    BodyTooSlow,
    /// The account's budget can't cover the request.
    BudgetSpent,
    /// It is unknown whether the budget covers the request: the store or a peer didn't reply.
    BudgetUnreachable,
    /// The content is quarantined since it crashed upstreams; it hasn't run.
    Quarantined,
    /// This instance lacks processor time or memory; it hasn't run.
    Overloaded(ShortResource),
    /// This instance would stop before the request's deadline; it hasn't run.
    Stopping,
    /// No upstream of the service is eligible or reachable; it hasn't run.
    NoUpstream,
    /// The data centres of all the service's upstreams are evacuated; it hasn't run.
    Evacuated,
    /// The service's upstreams are rate-limited or in backoff; holds the time until the first
    /// accepts a request. It hasn't run.
    Limited(Duration),
    /// Nobody knows which software version began the stream to resume; it hasn't run.
    UnknownVersion,
    /// The upstreams rejected it; it hasn't run.
    UpstreamsBusy,
    /// Too little time was left before its deadline; it hasn't run.
    TooLate,
    /// The upstream failed, or its response was lost; it may have run.
    Failed,
    /// The upstream didn't respond in time; it may have run.
    TimedOut,
    /// This instance stopped while it was in flight; it may have run.
    Aborted,
}

impl Refusal {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadHeader(_) | Self::NoHost => StatusCode::BAD_REQUEST,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::NoPlan
            | Self::BudgetUnreachable
            | Self::Quarantined
            | Self::Overloaded(_)
            | Self::Stopping
            | Self::NoUpstream
            | Self::Evacuated
            | Self::Limited(_)
            | Self::UnknownVersion
            | Self::UpstreamsBusy
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed | Self::Aborted => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The reason in log lines.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NoPlan => "no-configuration",
            Self::BadHeader(_) => "bad-header",
            Self::NoHost => "no-host",
            Self::UnknownRoute => "unknown-route",
            Self::UnknownKey => "unknown-key",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTooSlow => "body-too-slow",
            Self::BudgetSpent => "budget-spent",
            Self::BudgetUnreachable => "budget-unreachable",
            Self::Quarantined => "crashes-upstreams",
            Self::Overloaded(ShortResource::Processor) => "crowded-processor",
            Self::Overloaded(ShortResource::Link) => "crowded-link",
            Self::Overloaded(ShortResource::Memory) => "crowded-memory",
            Self::Stopping => "stopping",
            Self::NoUpstream => "no-upstream",
            Self::Evacuated => "evacuated",
            Self::Limited(_) => "limited",
            Self::UnknownVersion => "unknown-version",
            Self::UpstreamsBusy => "busy",
            Self::TooLate => "too-late",
            Self::Failed => "failed",
            Self::TimedOut => "timed-out",
            Self::Aborted => "stopped",
        }
    }

    /// The value of `Retry-After`; `None` where a retry wouldn't help. Has jitter, so that callers
    /// refused at the same time don't retry at the same time.
    fn retry_after(self) -> Option<Duration> {
        let base_ms = match self {
            // Many requests are refused for each that an upstream accepts, so the jitter grows with
            // the wait.
            Self::Limited(delay) => return Some(with_jitter(delay, MIN_JITTER.max(delay / 2))),
            // A starting instance loads its configuration within 500 ms.
            Self::NoPlan => 300,
            // The time of some store calls, or of an upstream's restart.
            Self::BudgetUnreachable | Self::NoUpstream => 400,
            // A home that didn't reply may do so after a lost packet is sent again.
            Self::UnknownVersion => 200,
            // Operators end an evacuation after seconds or minutes.
            Self::Evacuated => 2000,
            // A quarantine without cause is lifted within this time.
            Self::Quarantined => 1000,
            // A request at an upstream takes a few hundred milliseconds.
            Self::UpstreamsBusy => 200,
            // Another instance may accept it immediately.
            Self::Overloaded(_) | Self::Stopping | Self::TooLate | Self::BodyTooSlow => 0,
            _ => return None,
        };
        Some(with_jitter(Duration::from_millis(base_ms), MIN_JITTER))
    }

    /// The response to the caller.
    pub(crate) fn response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::whole(format!("{self}\n").into()));
        *response.status_mut() = self.status();
        if matches!(self, Self::Overloaded(_)) {
            // Free the connection's resources; the caller retries at another instance.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(pause) = self.retry_after() {
            let text = format!("{:.3}", pause.as_secs_f64());
            let value = HeaderValue::from_str(&text).expect("a number is a valid header value");
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}

/// Adds random jitter of at most `jitter`.
fn with_jitter(base: Duration, jitter: Duration) -> Duration {
    base + jitter.mul_f64(fastrand::f64())
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPlan => f.write_str("this instance has just started; nothing ran"),
            Self::BadHeader(fault) => fault.fmt(f),
            Self::NoHost => f.write_str("the request names no host"),
            Self::UnknownRoute => f.write_str("no route of this host begins the path"),
            Self::UnknownKey => f.write_str("no client account holds this key"),
            Self::BodyTooLarge => f.write_str("the body is longer than allowed"),
            Self::BodyTooSlow => f.write_str("the body didn't arrive in time; nothing ran"),
            Self::BudgetSpent => f.write_str("the budget can't cover the request; nothing ran"),
            Self::BudgetUnreachable => {
                f.write_str("the budget can't be read at the moment; nothing ran")
            }
            Self::Quarantined => {
                f.write_str("this request takes down what runs it, and isn't run any more")
            }
            Self::Overloaded(_) => {
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
            Self::UnknownVersion => {
                f.write_str("the version that began this stream isn't known here; nothing ran")
            }
            Self::UpstreamsBusy => f.write_str("the upstreams are full; nothing ran"),
            Self::TooLate => f.write_str("no time was left to send the request; nothing ran"),
            Self::Failed => f.write_str("the upstream failed; the request may have run"),
            Self::TimedOut => f.write_str("the upstream took too long; the request may have run"),
            Self::Aborted => f.write_str("this instance has stopped; the request may have run"),
        }
    }
}
