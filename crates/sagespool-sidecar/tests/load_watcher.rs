//! Load and health of an upstream, as published to other members.

#![allow(clippy::unwrap_used)]

use sagespool_messages::UpstreamKind;
use sagespool_settings::UpstreamSettings;
use sagespool_sidecar::{EngineLoad, LoadWatcher, UpstreamHealth, UpstreamSample};

fn tracker() -> LoadWatcher {
    LoadWatcher::new(&UpstreamSettings {
        name: "engine-1".parse().unwrap(),
        kind: UpstreamKind::Engine,
        service: "sage-core".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        honours_fence: true,
        capacity: 8,
        models: vec!["tender-7b".parse().unwrap()],
    })
}

fn sample(health: UpstreamHealth, running: u32) -> UpstreamSample {
    let load = EngineLoad {
        number: 1,
        running,
        waiting: 0,
        capacity: 16,
        tokens_per_second: 0.0,
        models: vec![],
    };
    UpstreamSample { health, load: (health == UpstreamHealth::Healthy).then_some(load) }
}

// A busy upstream misses a single probe. It must stay healthy, or its requests
// would move elsewhere and back. One that refuses connections or misses two
// probes in a row is down.
#[test]
fn health_probes() {
    use UpstreamHealth::{Healthy, Refusing, Unresponsive};
    let cases: [(&[UpstreamHealth], bool); 7] = [
        (&[], false),
        (&[Unresponsive], false),
        (&[Healthy], true),
        (&[Healthy, Unresponsive], true),
        (&[Healthy, Unresponsive, Unresponsive], false),
        (&[Healthy, Refusing], false),
        (&[Healthy, Unresponsive, Unresponsive, Unresponsive, Healthy], true),
    ];
    for (probes, expected) in cases {
        let tracker = tracker();
        probes.iter().for_each(|health| tracker.observe(sample(*health, 0)));
        assert_eq!(tracker.is_healthy(), expected, "{probes:?}");
    }
}

// Each update is sent to the whole fleet, so an unchanged description must not be
// published, and each update must have a higher number than the last.
#[test]
fn published_updates() {
    let tracker = tracker();
    let first = tracker.take_update().unwrap();
    assert_eq!((first.capacity, first.models.len(), first.healthy), (8, 1, false));
    assert_eq!(tracker.take_update(), None);

    tracker.observe(sample(UpstreamHealth::Healthy, 3));
    let second = tracker.take_update().unwrap();
    assert!(second.healthy && second.load.number > first.load.number);
    assert_eq!((second.capacity, second.load.running), (16, 3));
    tracker.observe(sample(UpstreamHealth::Healthy, 3));
    assert_eq!(tracker.take_update(), None);

    tracker.count_dispatch();
    assert_eq!(tracker.take_update().unwrap().load.dispatched, 1);
    tracker.set_drained(true);
    assert!(!tracker.take_update().unwrap().healthy, "a drained upstream accepts no requests");
    tracker.set_drained(false);
    assert!(tracker.take_update().unwrap().healthy);
}
