//! The interface to the wire formats of callers, upstreams and the store.

use std::fmt;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderMap;
use sagespool_forward::{ForwardPlan, RequestAttributes, UpstreamRecord};
use sagespool_platform::StoreDialect;
use sagespool_types::{BranchName, SendRate, UpstreamName};
use serde_json::value::RawValue;

/// The wire formats, store keys and paths that a gateway uses.
#[derive(Clone, Copy)]
pub struct WireDialect {
    /// The store's API.
    pub store: StoreDialect,
    /// The store prefix of configurations.
    pub plan_prefix: &'static str,
    /// The store key of the active configuration.
    pub plan_key: &'static str,
    /// The store prefix where upstreams register.
    pub upstream_prefix: &'static str,
    /// The store prefix where operators list evacuated data centres.
    pub evacuation_prefix: &'static str,
    /// The store prefix of quarantined contents.
    pub quarantine_prefix: &'static str,
    /// The path of the load balancer's readiness check.
    pub readiness_path: &'static str,
    /// Parses a configuration.
    pub read_plan: fn(&RawValue) -> Result<ForwardPlan, String>,
    /// Parses the registration of the upstream of the given name.
    pub read_upstream: fn(&str, &RawValue) -> Result<UpstreamRecord, String>,
    /// Parses the headers of a caller's request.
    pub read_caller_headers: fn(&HeaderMap) -> Result<RequestAttributes, CallerHeaderError>,
    /// Converts a caller's request headers to those that are sent to an upstream.
    pub write_upstream_headers: fn(&mut HeaderMap, &UpstreamRequestTerms<'_>),
    /// The headers of a question whether an upstream runs, with the ID of the question.
    pub write_probe_headers: fn(&UpstreamName, &str) -> HeaderMap,
    /// Parses an upstream's response headers, and removes those not meant for callers.
    pub read_response_metadata: fn(StatusCode, &mut HeaderMap) -> ResponseMetadata,
}

impl fmt::Debug for WireDialect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WireDialect").finish_non_exhaustive()
    }
}

/// An error in the headers of a caller's request. Holds the name of the affected value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerHeaderError {
    /// A required value is missing.
    Missing(&'static str),
    /// A value can't be parsed.
    Malformed(&'static str),
}

impl fmt::Display for CallerHeaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(what) => write!(f, "the {what} is missing"),
            Self::Malformed(what) => write!(f, "the {what} can't be read"),
        }
    }
}

/// The values that the gateway adds to a request to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamRequestTerms<'a> {
    /// The intended run of the upstream.
    pub upstream: &'a UpstreamName,
    /// The client account, `None` on open routes without a key.
    pub branch: Option<&'a BranchName>,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The ID of the last event that the caller has received.
    pub resume_after: Option<u64>,
}

/// The metadata in an upstream's response headers.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseMetadata {
    /// The ID of the request that the response belongs to, if it has one.
    pub request: Option<String>,
    /// The name of the upstream that responds, if it tells.
    pub upstream: Option<String>,
    /// The upstream guarantees that it hasn't run the request.
    pub not_run: bool,
    /// The address belongs to another upstream now.
    pub misdirected: bool,
    /// The response carries the upstream's signature.
    pub signed: bool,
    /// The number of running and queued requests at the upstream.
    pub load: Option<u32>,
    /// How much longer the upstream is cold, if it reports so.
    pub cold_left: Option<Duration>,
    /// The upstream's limit for all instances together, if it names one.
    pub rate_limit: Option<SendRate>,
    /// The upstream is leaving and accepts no new requests.
    pub leaving: bool,
    /// The upstream's backoff for this instance, if it requests one.
    pub backoff: Option<Duration>,
    /// The name of the first malformed header. The other values are valid nevertheless.
    pub unreadable: Option<&'static str>,
}
