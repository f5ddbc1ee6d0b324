//! Settings of gateways and relays.

use std::time::Duration;

use sagespool_settings::{
    GatewayOrRelaySettings, ResourceSettings, WarmupSettings, is_gateway_or_relay,
    parse_gateway_or_relay,
};
use sagespool_types::{ByteCount, InstanceCapacity};

const GATEWAY: &str = include_str!("../../../examples/gateway.json");
const RELAY: &str = include_str!("../../../examples/relay.json");
const ENTRY: &str = include_str!("../../../examples/entry.json");

#[test]
fn example_gateway() {
    assert!(is_gateway_or_relay(GATEWAY));
    let Ok(GatewayOrRelaySettings::Gateway(gateway)) = parse_gateway_or_relay(GATEWAY) else {
        panic!("not a gateway");
    };
    assert_eq!(gateway.instance.as_str(), "gateway-1");
    assert_eq!(gateway.stop_limit, Duration::from_secs(8));
    assert_eq!(gateway.retries.window, Duration::from_secs(10));
    assert_eq!(gateway.grants.ahead, Duration::from_secs(3));
    let in_force = gateway.in_force.expect("the example sets `in_force`");
    assert_eq!(in_force.changes, Duration::from_secs(4));
    assert_eq!(in_force.evacuations, Some(Duration::from_secs(5)));
    assert_eq!(gateway.regions.len(), 2);
    assert_eq!(gateway.warmup, WarmupSettings { overage: 1.5, slack: 5.0 });
    let rotation = gateway.rotation.expect("the example sets `rotation`");
    assert_eq!((rotation.lease, rotation.hold), (Duration::from_secs(3), Duration::from_secs(8)));
    assert!(!rotation.keep_out);
    assert_eq!(gateway.limits.memory, Some(ByteCount(110 << 20)));
    assert_eq!(gateway.limits.descriptors, Some(4100));
    assert_eq!(gateway.limits.capacity(), InstanceCapacity(8));
}

/// Guards against a machine that is taken for strong because one of its two limits is.
#[test]
fn scarcer_limit() {
    let capacity = |processor, link_mbps| {
        ResourceSettings { processor, link_mbps, ..ResourceSettings::default() }.capacity()
    };
    assert_eq!(capacity(None, None), InstanceCapacity(0));
    assert_eq!(capacity(Some(1.0), Some(20.0)), capacity(None, Some(20.0)));
    assert_eq!(capacity(Some(0.09), Some(1000.0)), capacity(Some(0.09), None));
    assert!(capacity(Some(0.09), Some(20.0)) < capacity(Some(0.5), Some(200.0)));
    assert!(capacity(Some(0.002), Some(0.02)) > InstanceCapacity(0));
}

#[test]
fn example_relay() {
    assert!(is_gateway_or_relay(RELAY));
    assert!(matches!(parse_gateway_or_relay(RELAY), Ok(GatewayOrRelaySettings::Relay(_))));
}

#[test]
fn rotation_off() {
    let rotation = r#""rotation": {"lease_ms": 3000, "hold_ms": 8000, "keep_out": false},"#;
    let text = GATEWAY.replace(rotation, "");
    assert_ne!(text, GATEWAY);
    let Ok(GatewayOrRelaySettings::Gateway(gateway)) = parse_gateway_or_relay(&text) else {
        panic!("not a gateway");
    };
    assert_eq!(gateway.rotation, None);
}

#[test]
fn other_roles() {
    assert!(!is_gateway_or_relay(ENTRY));
    assert!(!is_gateway_or_relay("no document"));
}

#[test]
fn single_errors() {
    // Each row: a text in the example, its replacement, and the error that results.
    let cases = [
        ("\"centre\": \"east\",", "", "$.centre: found nothing"),
        ("\"127.0.0.1:8301\"", "\"here\"", "$.callers: found \"here\""),
        ("\"stop_limit_s\": 8", "\"stop_limit_s\": -1", "$.stop_limit_s: found -1"),
        ("heartbeat_ms\": 1200", "heartbeat_ms\": 0", "$.upstream_heartbeat_ms: found 0"),
        ("\"share\": 0.2", "\"share\": 1.5", "$.grants.share: found 1.5"),
        ("\"idle\": 0.04", "\"idle\": -1", "$.grants.idle: found -1"),
        ("\"ahead_s\": 3", "\"ahead_s\": \"long\"", "$.grants.ahead_s: found \"long\""),
        ("\"slack\": 52", "\"slak\": 52", "did you mean `slack`?"),
        ("\"memory_mb\": 110", "\"memory_mb\": 4", "$.limits.memory_mb: found 4"),
        ("\"descriptors\": 4100", "\"descriptors\": -1", "$.limits.descriptors: found -1"),
        ("\"first_start\": false", "\"first_start\": 1", "$.first_start: found 1"),
        ("\"processor\": 0.19", "\"processor\": 0", "$.limits.processor: found 0"),
        ("\"link_mbps\": 1000", "\"link_mbps\": -1", "$.limits.link_mbps: found -1"),
        ("\"upstreams_ms\": 4000", "\"upstreams_ms\": 0", "$.in_force.upstreams_ms: found 0"),
        ("\"evacuations_ms\": 5000", "\"evacuations_ms\": 1", "$.in_force.evacuations_ms: found 1"),
        ("\"west\": \"local\"", "\"west\": 7", "$.regions.west: found 7"),
        ("\"east\": \"local\"", "\"\": \"local\"", "the name of a data centre"),
        ("\"overage\": 1.5", "\"overage\": -1", "$.warmup.overage: found -1"),
        ("\"lease_ms\": 3000", "\"lease_ms\": 999", "$.rotation.lease_ms: found 999"),
        ("\"hold_ms\": 8000", "\"hold_ms\": 60001", "$.rotation.hold_ms: found 60001"),
        ("\"keep_out\": false", "\"keep_out\": 1", "$.rotation.keep_out: found 1"),
        ("\"level\": \"info\"", "\"level\": \"loud\"", "$.log.level: found \"loud\""),
        ("\"peers\": [\"127.0.0.1:7302\"]", "\"peers\": 5", "$.peers: found"),
    ];
    for (from, to, expected) in cases {
        let text = GATEWAY.replace(from, to);
        assert_ne!(text, GATEWAY, "{from}");
        let errors = parse_gateway_or_relay(&text).expect_err(from).to_string();
        assert!(errors.contains(expected), "{from}: {errors}");
    }
}
