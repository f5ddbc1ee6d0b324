//! What other processes hear of an upstream's load and health.

#![allow(clippy::unwrap_used)]

use sagespool_messages::UpstreamKind;
use sagespool_settings::UpstreamSettings;
use sagespool_sidecar::{EngineLoad, LoadWatch, UpstreamHealth, UpstreamSample};

fn watch() -> LoadWatch {
    LoadWatch::new(&UpstreamSettings {
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
    UpstreamSample { health, load: (health == UpstreamHealth::Well).then_some(load) }
}

// An upstream is late once, since it is busy: taken for down, its work would
// go elsewhere and come back. One that refuses, or is late again, is down.
#[test]
fn health_looks() {
    use UpstreamHealth::{Refusing, Silent, Well};
    let cases: [(&[UpstreamHealth], bool); 7] = [
        (&[], false),
        (&[Silent], false),
        (&[Well], true),
        (&[Well, Silent], true),
        (&[Well, Silent, Silent], false),
        (&[Well, Refusing], false),
        (&[Well, Silent, Silent, Silent, Well], true),
    ];
    for (looks, wanted) in cases {
        let watch = watch();
        looks.iter().for_each(|look| watch.observe(sample(*look, 0)));
        assert_eq!(watch.is_healthy(), wanted, "{looks:?}");
    }
}

// Each description goes to the whole fleet, so one that says nothing new must
// not be sent; and an old one must not pass for news.
#[test]
fn only_news() {
    let watch = watch();
    let first = watch.news().unwrap();
    assert_eq!((first.capacity, first.models.len(), first.healthy), (8, 1, false));
    assert_eq!(watch.news(), None);

    watch.observe(sample(UpstreamHealth::Well, 3));
    let second = watch.news().unwrap();
    assert!(second.healthy && second.load.number > first.load.number);
    assert_eq!((second.capacity, second.load.running), (16, 3));
    watch.observe(sample(UpstreamHealth::Well, 3));
    assert_eq!(watch.news(), None);

    watch.dispatched();
    assert_eq!(watch.news().unwrap().load.dispatched, 1);
    watch.set_drained(true);
    assert!(!watch.news().unwrap().healthy, "a drained upstream takes nothing");
    watch.set_drained(false);
    assert!(watch.news().unwrap().healthy);
}
