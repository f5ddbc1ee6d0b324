//! The sidecar's calls to its upstream, over HTTP.

mod connector;
mod control;
mod fault;
mod run;

use std::net::SocketAddr;

use sagespool_messages::HeaderPair;
use trillium_client::{Client, HeaderName, Headers, KnownHeaderName};

use connector::UpstreamConnector;

pub use control::{CacheFeed, EngineCacheEvent, EngineLoad, OrderOutcome};
pub use fault::CallFault;
pub use run::{CompletionStream, RunCall, ServiceAnswer, ServiceCall};

/// Calls one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamClient {
    address: SocketAddr,
    connector: UpstreamConnector,
    client: Client,
}

impl UpstreamClient {
    /// A client of the upstream at an address.
    ///
    /// Each call has a connection of its own, which costs little on the same
    /// instance. A reused one may turn out closed when a request is half
    /// written: nobody could tell then whether it ran, and a probe or a cancel
    /// call would fail though the upstream is well. And giving up a call closes
    /// its connection at once.
    ///
    /// No body waits for leave to be sent: an upstream that never answers
    /// `expect: 100-continue` would cost each long prompt a second.
    pub fn new(address: SocketAddr) -> Self {
        let connector = UpstreamConnector::new(address);
        let client = Client::new(connector.clone())
            .without_keepalive()
            .with_max_buffered_request_body(usize::MAX);
        Self { address, connector, client }
    }
}

/// Headers that belong to one connection, or that the sidecar sets itself.
const OWN_HEADERS: [KnownHeaderName; 10] = [
    KnownHeaderName::Connection,
    KnownHeaderName::ContentLength,
    KnownHeaderName::Expect,
    KnownHeaderName::Host,
    KnownHeaderName::KeepAlive,
    KnownHeaderName::ProxyConnection,
    KnownHeaderName::Te,
    KnownHeaderName::Trailer,
    KnownHeaderName::TransferEncoding,
    KnownHeaderName::Upgrade,
];

fn is_own_header(name: &HeaderName<'_>) -> bool {
    OWN_HEADERS.iter().any(|own| *name == *own)
}

/// The headers of an answer that may be passed on.
fn passed_headers(headers: &Headers) -> Vec<HeaderPair> {
    let mut pairs = Vec::new();
    for (name, values) in headers.iter().filter(|(name, _)| !is_own_header(name)) {
        let name = name.as_ref().to_ascii_lowercase();
        let values = values.iter().filter_map(|value| value.as_str());
        pairs
            .extend(values.map(|value| HeaderPair { name: name.clone(), value: value.to_owned() }));
    }
    pairs
}
