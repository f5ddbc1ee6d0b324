//! Upstreams that report in responses that they are leaving, while their entries come and go.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::quickcheck;
use sagespool_forward::{UpstreamRecord, UpstreamRegistry, UpstreamRun};
use sagespool_types::{ClockTime, ServiceName, UpstreamStartTime};
use support::upstream;

const UPSTREAMS: u64 = 3;

fn service() -> ServiceName {
    "engines".parse().unwrap()
}

fn record(number: u64, born: u64) -> UpstreamRecord {
    UpstreamRecord {
        born: Some(UpstreamStartTime(born)),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, number as u8 + 1], 9000)),
        slots: 4,
        ..upstream(&format!("i-{number}"))
    }
}

/// An event and the upstream that it concerns.
type Step = (u8, u8);

quickcheck! {
    /// Guards against requests to a run that has reported that it is leaving, whatever the store
    /// lists, and against a later run that gets none.
    fn no_requests_after_leaving(steps: Vec<Step>) -> bool {
        let mut registry = UpstreamRegistry::default();
        let mut born = [1; UPSTREAMS as usize];
        let mut leaving: HashSet<UpstreamRun> = HashSet::new();
        let mut now = ClockTime::from_millis(1_000);
        for (event, which) in steps {
            now = now.after(Duration::from_millis(300));
            let number = u64::from(which) % UPSTREAMS;
            let run = &mut born[number as usize];
            let known = record(number, *run);
            match event % 7 {
                0 => drop(registry.put(known, now)),
                1 => drop(registry.remove(&known.name, now)),
                2 => {
                    *run += 1;
                    drop(registry.put(record(number, *run), now));
                }
                3 => {
                    registry.note_leaving(&known.run(), now);
                    leaving.insert(known.run());
                }
                // A late response of the earlier run.
                4 if *run > 1 => {
                    let former = record(number, *run - 1).run();
                    registry.note_leaving(&former, now);
                    leaving.insert(former);
                }
                5 => registry.store_returned(Duration::from_secs(3), now),
                _ => {
                    let all = (0..UPSTREAMS).map(|number| record(number, born[number as usize]));
                    registry.replace(all.collect(), now);
                    registry.expire(now);
                }
            }
            let service = service();
            let ready: HashSet<UpstreamRun> =
                registry.ready(&service).map(UpstreamRecord::run).collect();
            if ready.intersection(&leaving).next().is_some() {
                return false;
            }
        }
        // With all upstreams listed, exactly those that have not reported leaving are eligible.
        let all = (0..UPSTREAMS).map(|number| record(number, born[number as usize]));
        let expected = all.clone().filter(|record| !leaving.contains(&record.run())).count();
        registry.replace(all.collect(), now);
        registry.ready(&service()).count() == expected
    }
}

/// Guards against sending to an upstream that left, restarted, was replaced or was evacuated while
/// a connection to it was being opened.
#[test]
fn dispatch_checks() {
    let now = ClockTime::from_millis(1_000);
    let fresh = || {
        let mut registry = UpstreamRegistry::default();
        registry.put(record(0, 1), now);
        registry
    };
    let run = record(0, 1).run();
    assert!(fresh().is_ready(&run));
    let unknown_start = UpstreamRun { born: None, ..run.clone() };
    assert!(fresh().is_ready(&unknown_start));
    let changes: [fn(&mut UpstreamRegistry, ClockTime); 6] = [
        |registry, now| {
            registry.put(UpstreamRecord { leaving: true, ..record(0, 1) }, now);
        },
        |registry, now| {
            registry.note_leaving(&record(0, 1).run(), now);
        },
        |registry, now| {
            registry.remove(&record(0, 1).name, now);
        },
        |registry, now| {
            registry.put(record(0, 2), now);
        },
        |registry, _| registry.mark_replaced(&record(0, 1).name),
        |registry, _| {
            registry.evacuate(record(0, 1).centre);
        },
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut registry = fresh();
        change(&mut registry, now);
        assert!(!registry.is_ready(&run), "change {number}");
    }
}
