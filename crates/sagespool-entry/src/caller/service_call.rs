//! Parsing and checking of requests to plain services.

use sagespool_messages::{CallTarget, HeaderPair};
use sagespool_settings::{FleetConfiguration, ServiceConfig};
use sagespool_types::{ContentDigest, ServiceName};
use trillium::{Headers, Status};

use super::CallerError;

/// Request headers that are not forwarded, since they concern one connection or the fleet.
///
/// Headers that override the method are not forwarded either: a service that honours one would run
/// another method than the one that was checked, so a non-idempotent request sent as `GET` could
/// run twice.
const WITHHELD_HEADERS: [&str; 17] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "accept-encoding",
    "x-http-method",
    "x-http-method-override",
    "x-method-override",
];

/// A checked request to a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceName,
    /// The method, path, headers and price.
    pub target: CallTarget,
    /// Digest of the name, method, path and body.
    pub content: ContentDigest,
    /// The price of the request in tokens.
    pub price: u32,
}

fn forwarded_headers(headers: &Headers) -> Vec<HeaderPair> {
    let mut pairs = Vec::new();
    for (name, values) in headers.iter() {
        let name = name.as_ref().to_ascii_lowercase();
        if WITHHELD_HEADERS.contains(&name.as_str()) || name.starts_with("sagespool-") {
            continue;
        }
        for value in values.iter().filter_map(|value| value.as_str()) {
            pairs.push(HeaderPair { name: name.clone(), value: value.to_owned() });
        }
    }
    pairs
}

fn find_service<'a>(
    name: &str,
    config: &'a FleetConfiguration,
) -> Result<&'a ServiceConfig, CallerError> {
    let error = || {
        let text = format!("there is no plain service `{name}`");
        CallerError::new(
            Status::NotFound,
            "unknown-service",
            text,
            "a service of the configuration",
        )
    };
    let name: ServiceName = name.parse().map_err(|_| error())?;
    let service = config.service(&name).ok_or_else(error)?;
    if service.kind != sagespool_messages::UpstreamKind::Service {
        return Err(error());
    }
    Ok(service)
}

/// Parses and checks a service request. `path` is what follows the service's name, with its query.
///
/// # Errors
/// 404 for an unknown service or a service of model engines.
pub fn read_service_call(
    name: &str,
    method: &str,
    path: &str,
    headers: &Headers,
    body: &[u8],
    config: &FleetConfiguration,
) -> Result<ServiceCall, CallerError> {
    let service = find_service(name, config)?;
    // The check of the configuration limits prices to this range.
    let price = service.price.map_or(0, |price| u32::try_from(price.0).unwrap_or(u32::MAX));
    let target = CallTarget::Service {
        method: method.to_owned(),
        path: path.to_owned(),
        headers: forwarded_headers(headers),
        price,
    };
    let content = ContentDigest::of(&format!("{name} {method} {path}"), body);
    Ok(ServiceCall { service: service.name.clone(), target, content, price })
}
