//! Operators' orders to drain upstreams and to stop instances.

#![allow(clippy::unwrap_used)]

mod operator;

use std::time::Duration;

use operator::{EAST, OperatorHarness, WEST, new_id, planned_calls, upstream};
use sagespool_operations::{FenceRecord, OutcomeState, UpstreamState, fence_key};
use sagespool_testkit::load::{CallOutcome, PlannedCall, run_calls};
use sagespool_types::ClockTime;

/// An operator drains an upstream. After the answer no request starts there, through either entry,
/// and `upstreams` shows the state. After `undrain` it serves again.
#[test]
fn drained_upstream() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let output = harness.send_line(EAST, "drain engines-1");
        assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
        let drained_at = ClockTime::now();
        let records =
            run_calls(planned_calls(&harness, 3, 30, 100.0), harness.fleet.entry_addresses()).await;
        assert_eq!(records.len(), 30);
        let runs = harness.fleet.run_log.runs();
        let late = runs.iter().filter(|run| {
            run.start.upstream.as_str() == "engines-1" && run.start.arrived_at >= drained_at
        });
        assert_eq!(late.count(), 0);
        assert!(runs.iter().any(|run| run.start.upstream.as_str() == "engines-2"));
        let row = upstream(&harness, WEST, "engines-1");
        assert_eq!((row.state, row.drain_ordered), (UpstreamState::Drained, Some(true)));
        let output = harness.send_line(WEST, "undrain engines-1-sidecar");
        assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
        harness
            .wait_until("it serves again", || {
                upstream(&harness, EAST, "engines-1").state == UpstreamState::Serving
            })
            .await;
        let output = harness.send_line(EAST, "drain east-entry-1, engines-3");
        assert_eq!(output.states(), [OutcomeState::Refused; 2], "{output:?}");
    });
}

/// An order to drain is delayed, and an order to load a model with a higher number arrives first. The
/// sidecar refuses the drain as stale. No newer order is about draining, so the drain is sent again
/// with a new number.
#[test]
fn overtaken_drain() {
    smol::block_on(async {
        let harness = OperatorHarness::start_proxied().await;
        let proxy = harness.fleet.proxy.as_ref().unwrap();
        proxy.delay("west-entry-1", "engines-1-sidecar", Duration::from_millis(400));
        let drain = harness.start_command(WEST, new_id(), "drain engines-1");
        let key = fence_key(&"engines-1".parse().unwrap());
        let numbered =
            || harness.stored_object::<FenceRecord>(&key).is_some_and(|record| record.drained);
        harness.wait_until("the drain has its number", numbered).await;
        let load = harness.send_line(EAST, "load small-model on engines-1");
        assert_eq!(load.states(), [OutcomeState::Done], "{load:?}");
        let drain = drain.await;
        assert_eq!(drain.states(), [OutcomeState::Done], "{drain:?}");
        assert!(drain.outcomes()[0].fence > load.outcomes()[0].fence);
        harness
            .wait_until("it shows as drained", || {
                upstream(&harness, EAST, "engines-1").state == UpstreamState::Drained
            })
            .await;
    });
}

/// An operator stops a sidecar and then an entry while requests run. Both exit gracefully with
/// nothing cut off, and every request gets its whole answer.
#[test]
fn stopped_instances() {
    smol::block_on(async {
        let mut harness = OperatorHarness::start().await;
        let planned = planned_calls(&harness, 5, 60, 40.0);
        let engine_calls: Vec<PlannedCall> = planned
            .into_iter()
            .filter(|call| call.branch().as_str() != "dry" && call.key.is_none())
            .filter(|call| {
                matches!(call.kind, sagespool_testkit::load::CallKind::Completion { .. })
            })
            .collect();
        let load = smol::spawn(run_calls(engine_calls, harness.fleet.entry_addresses()));
        harness.wait_until("requests run", || !harness.fleet.run_log.running().is_empty()).await;
        for instance in ["engines-2-sidecar", "west-entry-1"] {
            let output = harness.send_line(EAST, &format!("stop {instance}"));
            assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
            let index = harness.member_index(instance);
            let process = harness.fleet.members[index].process.as_mut().unwrap();
            let status = process.wait(Duration::from_secs(25)).unwrap();
            assert!(status.success(), "{instance}: {status}");
        }
        for record in load.await {
            let last = &record.sends.last().unwrap().outcome;
            let answered = matches!(last, CallOutcome::Whole { is_own: true, .. });
            // A caller without a key can't retry after its connection to the stopped entry was refused.
            let turned_away = matches!(last, CallOutcome::Broken(_));
            assert!(answered || turned_away, "{record:?}");
        }
        let output = harness.send_line(EAST, "stop east-entri-1");
        assert_eq!(output.outcomes()[0].nearest.as_deref(), Some("east-entry-1"));
    });
}
