//! Which of a caller's headers are forwarded to a plain service.

#![allow(clippy::unwrap_used)]

use sagespool_entry::caller::read_service_call;
use sagespool_messages::CallTarget;
use sagespool_settings::{BranchObject, FleetConfiguration, check_fleet};
use sagespool_types::ConfigVersion;
use serde_json::json;
use trillium_http::Headers;

fn configuration() -> FleetConfiguration {
    let fleet = json!({
        "classes": [
            {"name": "only", "priority": 0, "deadline_ms": 1000, "longest_deadline_ms": 1000},
        ],
        "default_class": "only",
        "services": [{"name": "letters", "kind": "service", "price": 3}],
        "key_retention_ms": 1000,
        "answer_retention_ms": 1000,
    });
    let fleet = check_fleet(&fleet).unwrap();
    FleetConfiguration::build(ConfigVersion(1), fleet, [&BranchObject::default()])
}

fn forwarded_headers(headers: &[(&'static str, &'static str)]) -> Vec<(String, String)> {
    let mut given = Headers::new();
    for (name, value) in headers {
        given.append(*name, *value);
    }
    let call =
        read_service_call("letters", "GET", "/letters", &given, b"", &configuration()).unwrap();
    let CallTarget::Service { headers, .. } = call.target else { panic!("a service's call") };
    headers.into_iter().map(|pair| (pair.name, pair.value)).collect()
}

#[test]
fn own_headers() {
    let forwarded = forwarded_headers(&[("accept", "text/html"), ("X-Case", "1"), ("x-case", "2")]);
    let wanted = [("accept", "text/html"), ("x-case", "1"), ("x-case", "2")];
    let mut forwarded: Vec<_> = forwarded.iter().map(|(name, value)| (&**name, &**value)).collect();
    forwarded.sort_unstable();
    assert_eq!(forwarded, wanted);
}

#[test]
fn withheld_headers() {
    let withheld = [
        ("authorization", "Bearer secret"),
        ("connection", "close"),
        ("idempotency-key", "bid-7"),
        ("sagespool-class", "only"),
        ("transfer-encoding", "chunked"),
    ];
    assert_eq!(forwarded_headers(&withheld), []);
}

#[test]
fn method_overrides() {
    // Guards against a non-idempotent request running twice: a caller sends it as `GET` with a
    // header that makes the service handle it as a `POST`. The entry takes it for idempotent and
    // retries it at another upstream after a broken connection.
    let overrides = [
        ("x-http-method-override", "POST"),
        ("X-HTTP-Method", "POST"),
        ("x-method-override", "POST"),
    ];
    assert_eq!(forwarded_headers(&overrides), []);
}
