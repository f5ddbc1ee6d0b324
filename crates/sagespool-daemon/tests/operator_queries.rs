//! Operators' queries to a fleet of real processes, and the correctness of their answers.

#![allow(clippy::unwrap_used)]

mod operator;

use std::time::Duration;

use operator::{
    CALLER_TOKEN, EAST, LineOutput, OperatorHarness, WEST, clear_store_faults, configuration,
    history, new_id, planned_calls,
};
use sagespool_operations::{HistoryFact, StoreBasis};
use sagespool_testkit::StoreFaults;
use sagespool_testkit::load::{CallOutcome, PlannedCall, run_calls};
use sagespool_types::{ClockTime, RequestId, TokenCount};

/// A branch's key and an unknown key send operators' lines. Nothing is answered or done, and the
/// rejections are counted.
#[test]
fn operator_keys() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let table = [(CALLER_TOKEN, "not-an-operator"), ("no such key", "unknown-key")];
        for (token, code) in table {
            for line in ["spend", "top-up first 5"] {
                let output = harness.run_as(token, &[EAST], &[line]);
                assert_eq!(output.code, Some(1), "{output:?}");
                assert_eq!(output.fault().code, code, "{output:?}");
            }
        }
        assert_eq!(harness.account("first").prepaid, TokenCount(1_000_000));
        let address = harness.fleet.members[EAST].http;
        let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
        let mut conn = client.get(format!("http://{address}/metrics").as_str()).await.unwrap();
        let text = conn.response_body().read_string().await.unwrap();
        let counted =
            text.lines().any(|line| line.starts_with("sagespool_rejected") && line.ends_with(" 4"));
        assert!(counted, "{text}");
    });
}

/// Checks that the bounds in an answer to `spend` fit the engines' own log at the time of the query.
fn check_bounds(
    harness: &OperatorHarness,
    output: &LineOutput,
    before: ClockTime,
    after: ClockTime,
) {
    for row in output.spend().rows {
        let least_used = harness.fleet.run_log.used_at(&row.branch, before).least;
        let most_used = harness.fleet.run_log.used_at(&row.branch, after).most;
        let (least, most) = (row.spent.least, row.spent.most);
        assert!(least <= most_used, "{row:?} but at most {most_used} were used");
        if let Some(book) = &row.book {
            let parts = book.settled + book.granted + book.in_doubt + book.free;
            assert_eq!(book.prepaid, parts, "{row:?}");
        }
        let is_covered = most.is_none_or(|most| most >= least_used);
        assert!(is_covered, "{row:?} but at least {least_used} were used");
    }
}

/// An operator queries the spend of branches under load, through one entry and the other. The spend
/// at the time of the query, from the engines' own log, lies within the bounds of each answer.
#[test]
fn spend_under_load() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let planned = planned_calls(&harness, 7, 200, 50.0);
        let load = smol::spawn(run_calls(planned, harness.fleet.entry_addresses()));
        let mut queries = 0;
        while !load.is_finished() {
            let before = ClockTime::now();
            let output = harness.send_line(queries % 2, "spend");
            let after = ClockTime::now();
            queries += 1;
            check_bounds(&harness, &output, before, after);
        }
        let records = load.await;
        assert!(queries > 2, "too few queries during the load: {queries}");
        let whole = |record: &&sagespool_testkit::load::CallRecord| {
            record.sends.iter().any(|send| matches!(send.outcome, CallOutcome::Whole { .. }))
        };
        assert!(records.iter().filter(whole).count() > 50);
        harness
            .wait_until("all is settled", || {
                let rows = harness.send_line(WEST, "spend").spend().rows;
                rows.iter().all(|row| {
                    let used = harness.fleet.run_log.used_at(&row.branch, ClockTime::now());
                    row.book.as_ref().unwrap().settled == used.most
                        && row.spent.most == Some(used.most)
                })
            })
            .await;
    });
}

/// One entry is cut off from the other and from the store, and serves from its grants. On either side
/// the answer lists the silent members, and its bounds are correct: the connected side reports no
/// upper bound below what the other side may spend, and the cut-off side reports none.
#[test]
fn spend_in_partition() {
    smol::block_on(async {
        let harness = OperatorHarness::start_proxied().await;
        let planned = planned_calls(&harness, 11, 240, 60.0);
        let load = smol::spawn(run_calls(planned, harness.fleet.entry_addresses()));
        harness.wait_until("requests run", || !harness.fleet.run_log.running().is_empty()).await;
        let proxy = harness.fleet.proxy.as_ref().unwrap();
        proxy.cut_groups(&["west-entry-1"], &["east-entry-1", "store"]);
        let mut queries = 0;
        while !load.is_finished() {
            let (entry, other) = [(EAST, "west-entry-1"), (WEST, "east-entry-1")][queries % 2];
            let before = ClockTime::now();
            let output = harness.send_line(entry, "spend");
            check_bounds(&harness, &output, before, ClockTime::now());
            let basis = output.answer().basis;
            let is_silent =
                basis.silent.iter().any(|silent| silent.member.instance.as_str() == other);
            let gone = !basis.answered.iter().any(|member| member.instance.as_str() == other);
            assert!(is_silent || gone, "{basis:?}");
            let is_cut_off = entry == WEST;
            assert_eq!(matches!(basis.store, StoreBasis::Silent { .. }), is_cut_off, "{basis:?}");
            let open_ended = output.spend().rows.iter().all(|row| row.spent.most.is_none());
            assert_eq!(open_ended, is_cut_off);
            queries += 1;
        }
        assert!(queries > 1);
        load.await;
    });
}

/// The store is unreachable. Queries report this and no bounds that they can't determine. A command
/// is refused and has no effect.
#[test]
fn store_away() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        run_calls(planned_calls(&harness, 9, 10, 100.0), harness.fleet.entry_addresses()).await;
        harness.fleet.store.set_faults(StoreFaults::builder().outage(true).build());
        let output = harness.send_line(EAST, "spend first");
        assert!(matches!(output.answer().basis.store, StoreBasis::Silent { .. }), "{output:?}");
        let row = output.spend().rows.remove(0);
        assert!(row.book.is_none() && row.spent.most.is_none());
        let used = harness.fleet.run_log.used_at(&"first".parse().unwrap(), ClockTime::now()).most;
        assert!(row.spent.least <= used, "{row:?} but at most {used} were used");
        let command = new_id();
        let refused =
            harness.run(&[EAST, WEST], &["--command", &command.to_string(), "top-up first 5"]);
        assert_eq!((refused.code, refused.fault().code.as_str()), (Some(1), "store-unreachable"));
        assert!(configuration(&harness, EAST, "configuration branch first").shown.is_some());
        clear_store_faults(&harness);
        assert_eq!(harness.account("first").prepaid, TokenCount(1_000_000));
        harness
            .wait_until("the entry reaches the store again", || {
                harness.send_command(EAST, command, "top-up first 5").code == Some(0)
            })
            .await;
        assert_eq!(harness.account("first").prepaid, TokenCount(1_000_005));
    });
}

#[test]
fn known_keys() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let planned = planned_calls(&harness, 4, 40, 100.0);
        let keyed = planned.iter().find(|call| {
            call.key.is_some()
                && call.branch().as_str() == "first"
                && matches!(call.kind, sagespool_testkit::load::CallKind::Completion { .. })
        });
        let keyed = keyed.unwrap().clone();
        let (key, at) = (keyed.key.clone().unwrap(), PlannedCall { at: Duration::ZERO, ..keyed });
        let records = run_calls(vec![at], harness.fleet.entry_addresses()).await;
        let send = records[0].sends.last().unwrap();
        assert!(matches!(send.outcome, CallOutcome::Whole { .. }), "{send:?}");
        let request: RequestId = send.request.as_ref().unwrap().parse().unwrap();
        let found = history(&harness, &format!("key first \"{key}\""));
        let is_here = |fact: &HistoryFact| *fact == HistoryFact::AnswerHere { request };
        assert!(found.notes.iter().any(|note| is_here(&note.fact)), "{found:?}");
        let unknown = history(&harness, "key first never-sent");
        assert!(unknown.notes.is_empty() && unknown.conclusion.contains("no claim"), "{unknown:?}");
        let ended = history(&harness, &format!("request {request}"));
        assert!(ended.conclusion.contains("runs at no sidecar"), "{ended:?}");
    });
}
