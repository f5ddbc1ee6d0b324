//! How callers, upstreams and the store spell things.

use std::fmt;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderMap;
use sagespool_forward::{ForwardPlan, RequestAttributes, UpstreamRecord};
use sagespool_platform::StoreDialect;
use sagespool_types::{BranchName, SendRate, UpstreamName};
use serde_json::value::RawValue;

/// The translations that a gateway is given.
#[derive(Clone, Copy)]
pub struct WireDialect {
    /// The store's calls.
    pub store: StoreDialect,
    /// The prefix under which the configuration stands.
    pub plan_prefix: &'static str,
    /// The key of the configuration in force.
    pub plan_key: &'static str,
    /// The prefix under which upstreams list themselves.
    pub upstream_prefix: &'static str,
    /// The prefix under which operators name the data centres that are evacuated.
    pub evacuation_prefix: &'static str,
    /// The path at which the balancer asks whether this instance takes requests.
    pub readiness_path: &'static str,
    /// Reads a configuration.
    pub read_plan: fn(&RawValue) -> Result<ForwardPlan, String>,
    /// Reads an upstream's entry, by its name.
    pub read_upstream: fn(&str, &RawValue) -> Result<UpstreamRecord, String>,
    /// Reads the terms of a caller's request.
    pub read_caller_headers: fn(&HeaderMap) -> Result<RequestAttributes, CallerHeaderError>,
    /// Turns a caller's header into the one that an upstream gets.
    pub write_upstream_headers: fn(&mut HeaderMap, &UpstreamRequestTerms<'_>),
    /// Reads what an upstream's answer says beside its content.
    pub read_response_metadata: fn(StatusCode, &mut HeaderMap) -> ResponseMetadata,
}

impl fmt::Debug for WireDialect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WireDialect").finish_non_exhaustive()
    }
}

/// What is wrong with the header of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerHeaderError {
    /// Something that every request needs isn't there.
    Missing(&'static str),
    /// Something can't be read.
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

/// What an upstream is told beside what the caller said.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamRequestTerms<'a> {
    /// The run of an upstream that is meant.
    pub upstream: &'a UpstreamName,
    /// The client account.
    pub branch: Option<&'a BranchName>,
    /// How long the upstream may take.
    pub time_left: Duration,
    /// The rank of the request, 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What an upstream's answer says beside its content.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseMetadata {
    /// The request that it answers, if it says so.
    pub request: Option<String>,
    /// The upstream promises that it hasn't run the request.
    pub not_run: bool,
    /// Another upstream has the address now.
    pub misdirected: bool,
    /// It is signed by the upstream.
    pub signed: bool,
    /// Requests that the upstream runs or keeps waiting.
    pub load: Option<u32>,
    /// How much longer the upstream is cold, if it says that it is.
    pub cold_left: Option<Duration>,
    /// What the upstream takes from all instances together, if it names a limit.
    pub rate_limit: Option<SendRate>,
    /// The upstream leaves, and wants no new work.
    pub leaving: bool,
    /// How long the upstream wants nothing from this instance, if it asks for rest.
    pub backoff: Option<Duration>,
    /// The first mark that can't be read, by its wire name. The others stand all the same.
    pub unreadable: Option<&'static str>,
}
