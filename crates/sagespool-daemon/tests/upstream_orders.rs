//! Orders to upstreams and instances: drained and stopped.

#![allow(clippy::unwrap_used)]

mod desk;

use std::time::Duration;

use desk::{DeskFleet, EAST, WEST, calls, id, upstream};
use sagespool_operations::{FenceRecord, OutcomeState, UpstreamState, fence_key};
use sagespool_testkit::load::{CallOutcome, PlannedCall, run_calls};
use sagespool_types::ClockTime;

/// An operator drains an upstream. From its answer on nothing new starts there, through no entry, and
/// `upstreams` says so; after `undrain` it works again.
#[test]
fn drained_upstream() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        let output = desk.line(EAST, "drain engines-1");
        assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
        let drained_at = ClockTime::now();
        let records = run_calls(calls(&desk, 3, 30, 100.0), desk.fleet.entry_addresses()).await;
        assert_eq!(records.len(), 30);
        let runs = desk.fleet.run_log.runs();
        let late = runs.iter().filter(|run| {
            run.start.upstream.as_str() == "engines-1" && run.start.arrived_at >= drained_at
        });
        assert_eq!(late.count(), 0);
        assert!(runs.iter().any(|run| run.start.upstream.as_str() == "engines-2"));
        let row = upstream(&desk, WEST, "engines-1");
        assert_eq!((row.state, row.drain_ordered), (UpstreamState::Drained, Some(true)));
        let output = desk.line(WEST, "undrain engines-1-sidecar");
        assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
        desk.until("it serves again", || {
            upstream(&desk, EAST, "engines-1").state == UpstreamState::Serving
        })
        .await;
        let output = desk.line(EAST, "drain east-entry-1, engines-3");
        assert_eq!(output.states(), [OutcomeState::Refused; 2], "{output:?}");
    });
}

/// An order to drain is long on its way, and an order to load a model, with a higher number, arrives
/// first. The sidecar refuses the drain as stale; as nothing newer is about draining, it is given again.
#[test]
fn overtaken_drain() {
    smol::block_on(async {
        let desk = DeskFleet::start_proxied().await;
        let proxy = desk.fleet.proxy.as_ref().unwrap();
        proxy.delay("west-entry-1", "engines-1-sidecar", Duration::from_millis(400));
        let drain = desk.begin(WEST, id(), "drain engines-1");
        let key = fence_key(&"engines-1".parse().unwrap());
        let numbered = || desk.stored::<FenceRecord>(&key).is_some_and(|record| record.drained);
        desk.until("the drain has its number", numbered).await;
        let load = desk.line(EAST, "load small-model on engines-1");
        assert_eq!(load.states(), [OutcomeState::Done], "{load:?}");
        let drain = drain.await;
        assert_eq!(drain.states(), [OutcomeState::Done], "{drain:?}");
        assert!(drain.outcomes()[0].fence > load.outcomes()[0].fence);
        desk.until("it shows as drained", || {
            upstream(&desk, EAST, "engines-1").state == UpstreamState::Drained
        })
        .await;
    });
}

/// An operator stops a sidecar and then an entry while requests run. Both end by themselves with nothing
/// cut, and every request gets its whole answer.
#[test]
fn stopped_instances() {
    smol::block_on(async {
        let mut desk = DeskFleet::start().await;
        let planned = calls(&desk, 5, 60, 40.0);
        let engine_calls: Vec<PlannedCall> = planned
            .into_iter()
            .filter(|call| call.branch().as_str() != "dry" && call.key.is_none())
            .filter(|call| {
                matches!(call.kind, sagespool_testkit::load::CallKind::Completion { .. })
            })
            .collect();
        let load = smol::spawn(run_calls(engine_calls, desk.fleet.entry_addresses()));
        desk.until("requests run", || !desk.fleet.run_log.running().is_empty()).await;
        for instance in ["engines-2-sidecar", "west-entry-1"] {
            let output = desk.line(EAST, &format!("stop {instance}"));
            assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
            let place = desk.place(instance);
            let process = desk.fleet.members[place].process.as_mut().unwrap();
            let status = process.wait(Duration::from_secs(25)).unwrap();
            assert!(status.success(), "{instance}: {status}");
        }
        for record in load.await {
            let last = &record.sends.last().unwrap().outcome;
            let answered = matches!(last, CallOutcome::Whole { is_own: true, .. });
            // A caller without a key that came to the stopped entry's closed port can't come back.
            let turned_away = matches!(last, CallOutcome::Broken(_));
            assert!(answered || turned_away, "{record:?}");
        }
        let output = desk.line(EAST, "stop east-entri-1");
        assert_eq!(output.outcomes()[0].nearest.as_deref(), Some("east-entry-1"));
    });
}
