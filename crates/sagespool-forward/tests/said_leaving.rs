//! Upstreams that say in their answers that they leave, while their entries come and go.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::quickcheck;
use sagespool_forward::{UpstreamRecord, UpstreamRegistry, UpstreamRun};
use sagespool_types::{ClockTime, ServiceName, UpstreamBirth};

const UPSTREAMS: u64 = 3;

fn service() -> ServiceName {
    "engines".parse().unwrap()
}

fn record(number: u64, born: u64) -> UpstreamRecord {
    UpstreamRecord {
        name: format!("i-{number}").parse().unwrap(),
        born: Some(UpstreamBirth(born)),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, number as u8 + 1], 9000)),
        centre: "east".parse().unwrap(),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
    }
}

/// One thing that happens: to which upstream, and what.
type Step = (u8, u8);

quickcheck! {
    /// Guards against work for a run that has said that it leaves, whatever the store shows, and against
    /// a next run that gets none.
    fn never_again(steps: Vec<Step>) -> bool {
        let mut roster = UpstreamRegistry::default();
        let mut born = [1; UPSTREAMS as usize];
        let mut left: HashSet<UpstreamRun> = HashSet::new();
        let mut now = ClockTime::from_millis(1_000);
        for (what, which) in steps {
            now = now.after(Duration::from_millis(300));
            let number = u64::from(which) % UPSTREAMS;
            let run = &mut born[number as usize];
            let known = record(number, *run);
            match what % 7 {
                0 => drop(roster.put(known)),
                1 => drop(roster.remove(&known.name, now)),
                2 => {
                    *run += 1;
                    drop(roster.put(record(number, *run)));
                }
                3 => {
                    roster.note_leaving(&known.run(), now);
                    left.insert(known.run());
                }
                // An answer of the run before, which comes late.
                4 if *run > 1 => {
                    let former = record(number, *run - 1).run();
                    roster.note_leaving(&former, now);
                    left.insert(former);
                }
                5 => roster.store_returned(Duration::from_secs(3), now),
                _ => {
                    let all = (0..UPSTREAMS).map(|number| record(number, born[number as usize]));
                    roster.replace(all.collect(), now);
                    roster.expire(now);
                }
            }
            let service = service();
            let ready: HashSet<UpstreamRun> =
                roster.ready(&service).map(UpstreamRecord::run).collect();
            if ready.intersection(&left).next().is_some() {
                return false;
            }
        }
        // All are listed: whoever hasn't said that it leaves gets work.
        let all = (0..UPSTREAMS).map(|number| record(number, born[number as usize]));
        let expected = all.clone().filter(|record| !left.contains(&record.run())).count();
        roster.replace(all.collect(), now);
        roster.ready(&service()).count() == expected
    }
}
