//! Operators' questions to a fleet of real processes, and true answers.

#![allow(clippy::unwrap_used)]

mod desk;

use std::time::Duration;

use desk::{
    CALLER_TOKEN, DeskFleet, EAST, LineOutput, WEST, calls, configuration, history, id, whole_store,
};
use sagespool_operations::{HistoryFact, StoreBasis};
use sagespool_testkit::StoreFaults;
use sagespool_testkit::load::{CallOutcome, PlannedCall, run_calls};
use sagespool_types::{ClockTime, RequestId, TokenCount};

/// A branch's key, or none at all, gives an operator's line. Nothing is answered or done, and it is
/// counted.
#[test]
fn operator_keys() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        let table = [(CALLER_TOKEN, "not-an-operator"), ("no such key", "unknown-key")];
        for (token, code) in table {
            for line in ["spend", "top-up first 5"] {
                let output = desk.run_as(token, &[EAST], &[line]);
                assert_eq!(output.code, Some(1), "{output:?}");
                assert_eq!(output.fault().code, code, "{output:?}");
            }
        }
        assert_eq!(desk.account("first").prepaid, TokenCount(1_000_000));
        let address = desk.fleet.members[EAST].http;
        let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
        let mut conn = client.get(format!("http://{address}/metrics").as_str()).await.unwrap();
        let text = conn.response_body().read_string().await.unwrap();
        let counted =
            text.lines().any(|line| line.starts_with("sagespool_rejected") && line.ends_with(" 4"));
        assert!(counted, "{text}");
    });
}

/// Holds an answer to `spend` against the engines' own log of the time of the question.
fn check_bounds(desk: &DeskFleet, output: &LineOutput, before: ClockTime, after: ClockTime) {
    for row in output.spend().rows {
        let least_used = desk.fleet.run_log.used_at(&row.branch, before).least;
        let most_used = desk.fleet.run_log.used_at(&row.branch, after).most;
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

/// An operator asks what branches have spent while requests run, through one entry and the other. What
/// the engines' own log says of the time of the question lies within each answer's bounds.
#[test]
fn spend_under_load() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        let planned = calls(&desk, 7, 200, 50.0);
        let load = smol::spawn(run_calls(planned, desk.fleet.entry_addresses()));
        let mut asked = 0;
        while !load.is_finished() {
            let before = ClockTime::now();
            let output = desk.line(asked % 2, "spend");
            let after = ClockTime::now();
            asked += 1;
            check_bounds(&desk, &output, before, after);
        }
        let records = load.await;
        assert!(asked > 2, "the load ended too soon to be asked about: {asked}");
        let whole = |record: &&sagespool_testkit::load::CallRecord| {
            record.sends.iter().any(|send| matches!(send.outcome, CallOutcome::Whole { .. }))
        };
        assert!(records.iter().filter(whole).count() > 50);
        desk.until("all is settled", || {
            let rows = desk.line(WEST, "spend").spend().rows;
            rows.iter().all(|row| {
                let used = desk.fleet.run_log.used_at(&row.branch, ClockTime::now());
                row.book.as_ref().unwrap().settled == used.most && row.spent.most == Some(used.most)
            })
        })
        .await;
    });
}

/// One entry is cut off from the other and from the store, and goes on serving from its grants. Asked on
/// either side, the answer says who is silent, and its bounds are true: the whole side claims no upper
/// bound below what the other may spend, and the cut-off side none at all.
#[test]
fn spend_in_partition() {
    smol::block_on(async {
        let desk = DeskFleet::start_proxied().await;
        let planned = calls(&desk, 11, 240, 60.0);
        let load = smol::spawn(run_calls(planned, desk.fleet.entry_addresses()));
        desk.until("requests run", || !desk.fleet.run_log.running().is_empty()).await;
        let proxy = desk.fleet.proxy.as_ref().unwrap();
        proxy.cut_groups(&["west-entry-1"], &["east-entry-1", "store"]);
        let mut asked = 0;
        while !load.is_finished() {
            let (entry, other) = [(EAST, "west-entry-1"), (WEST, "east-entry-1")][asked % 2];
            let before = ClockTime::now();
            let output = desk.line(entry, "spend");
            check_bounds(&desk, &output, before, ClockTime::now());
            let basis = output.answer().basis;
            let told = basis.silent.iter().any(|silent| silent.member.instance.as_str() == other);
            let gone = !basis.answered.iter().any(|member| member.instance.as_str() == other);
            assert!(told || gone, "{basis:?}");
            let is_cut_off = entry == WEST;
            assert_eq!(matches!(basis.store, StoreBasis::Silent { .. }), is_cut_off, "{basis:?}");
            let open_ended = output.spend().rows.iter().all(|row| row.spent.most.is_none());
            assert_eq!(open_ended, is_cut_off);
            asked += 1;
        }
        assert!(asked > 1);
        load.await;
    });
}

/// The store is out of reach. Queries say so and claim no more than they know; a command is refused, and
/// nothing of it was done.
#[test]
fn store_away() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        run_calls(calls(&desk, 9, 10, 100.0), desk.fleet.entry_addresses()).await;
        desk.fleet.store.set_faults(StoreFaults::builder().outage(true).build());
        let output = desk.line(EAST, "spend first");
        assert!(matches!(output.answer().basis.store, StoreBasis::Silent { .. }), "{output:?}");
        let row = output.spend().rows.remove(0);
        assert!(row.book.is_none() && row.spent.most.is_none());
        let used = desk.fleet.run_log.used_at(&"first".parse().unwrap(), ClockTime::now()).most;
        assert!(row.spent.least <= used, "{row:?} but at most {used} were used");
        let command = id();
        let refused =
            desk.run(&[EAST, WEST], &["--command", &command.to_string(), "top-up first 5"]);
        assert_eq!((refused.code, refused.fault().code.as_str()), (Some(1), "store-unreachable"));
        assert!(configuration(&desk, EAST, "configuration branch first").shown.is_some());
        whole_store(&desk);
        assert_eq!(desk.account("first").prepaid, TokenCount(1_000_000));
        desk.until("the entry reaches the store again", || {
            desk.give(EAST, command, "top-up first 5").code == Some(0)
        })
        .await;
        assert_eq!(desk.account("first").prepaid, TokenCount(1_000_005));
    });
}

#[test]
fn known_keys() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        let planned = calls(&desk, 4, 40, 100.0);
        let keyed = planned.iter().find(|call| {
            call.key.is_some()
                && call.branch().as_str() == "first"
                && matches!(call.kind, sagespool_testkit::load::CallKind::Completion { .. })
        });
        let keyed = keyed.unwrap().clone();
        let (key, at) = (keyed.key.clone().unwrap(), PlannedCall { at: Duration::ZERO, ..keyed });
        let records = run_calls(vec![at], desk.fleet.entry_addresses()).await;
        let send = records[0].sends.last().unwrap();
        assert!(matches!(send.outcome, CallOutcome::Whole { .. }), "{send:?}");
        let request: RequestId = send.request.as_ref().unwrap().parse().unwrap();
        let found = history(&desk, &format!("key first \"{key}\""));
        let is_here = |fact: &HistoryFact| *fact == HistoryFact::AnswerHere { request };
        assert!(found.notes.iter().any(|note| is_here(&note.fact)), "{found:?}");
        let unknown = history(&desk, "key first never-sent");
        assert!(unknown.notes.is_empty() && unknown.conclusion.contains("no claim"), "{unknown:?}");
        let ended = history(&desk, &format!("request {request}"));
        assert!(ended.conclusion.contains("runs at no sidecar"), "{ended:?}");
    });
}
