//! HTTP client of the sidecar's upstream.

mod connector;
mod control;
mod error;
mod run;

use std::net::SocketAddr;

use sagespool_messages::HeaderPair;
use trillium_client::{Client, HeaderName, Headers, KnownHeaderName};

use connector::UpstreamConnector;

pub use control::{CacheEvents, EngineCacheEvent, EngineLoad, OrderOutcome};
pub use error::UpstreamCallError;
pub use run::{CompletionStream, RunCall, ServiceAnswer, ServiceCall};

/// HTTP client of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamClient {
    address: SocketAddr,
    connector: UpstreamConnector,
    client: Client,
}

impl UpstreamClient {
    /// A client of the upstream at an address.
    ///
    /// Each call has its own connection, which is cheap on the same instance. A
    /// reused connection may turn out to be closed when a request is half
    /// written. It would then be unknown whether the request ran, and a probe or
    /// cancel call would fail although the upstream is healthy. Dropping a call
    /// also closes its connection at once.
    ///
    /// Bodies are sent without `expect: 100-continue`. An upstream that never
    /// answers it would delay each long prompt by a second.
    pub fn new(address: SocketAddr) -> Self {
        let connector = UpstreamConnector::new(address);
        let client = Client::new(connector.clone())
            .without_keepalive()
            .with_max_buffered_request_body(usize::MAX);
        Self { address, connector, client }
    }
}

/// Headers of a single connection, or that the sidecar sets itself; they are not forwarded.
const CONNECTION_HEADERS: [KnownHeaderName; 10] = [
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

fn is_connection_header(name: &HeaderName<'_>) -> bool {
    CONNECTION_HEADERS.iter().any(|own| *name == *own)
}

/// The headers of an answer that are forwarded to the caller.
fn forwarded_headers(headers: &Headers) -> Vec<HeaderPair> {
    let mut pairs = Vec::new();
    for (name, values) in headers.iter().filter(|(name, _)| !is_connection_header(name)) {
        let name = name.as_ref().to_ascii_lowercase();
        let values = values.iter().filter_map(|value| value.as_str());
        pairs
            .extend(values.map(|value| HeaderPair { name: name.clone(), value: value.to_owned() }));
    }
    pairs
}
