//! A request that crashes each upstream that runs it.

mod common;

use std::collections::BTreeSet;

use common::*;
use sagespool_testkit::load::{CallKind, PlannedCall, SendRecord};
use sagespool_types::TokenCount;

/// Long enough that a crash falls into its run.
const LONG_ANSWER: u32 = 300;
const MAX_NEIGHBOURS: usize = 60;
/// Neighbours that start together. On a slow machine one that starts alone ends before the next ones
/// have spread over the engines.
const STARTED_TOGETHER: usize = 10;

/// A completion that crashes each engine that runs it.
fn poison(name: &str) -> PlannedCall {
    let mut planned = completion(name, 5);
    let CallKind::Completion { prompt, .. } = &mut planned.kind else {
        unreachable!("a completion")
    };
    *prompt = prompt.replace("Compare", "poison");
    planned
}

/// Starts idempotent streams until every engine runs one.
async fn start_neighbours(fleet: &TestFleet) -> Vec<(PlannedCall, smol::Task<SendRecord>)> {
    let entries = fleet.entries();
    let mut neighbours = Vec::new();
    let busy = || {
        let running = fleet.run_log.running().into_iter();
        running.map(|run| run.start.upstream).collect::<BTreeSet<_>>().len()
    };
    while busy() < fleet.engines.len() {
        assert!(neighbours.len() < MAX_NEIGHBOURS, "an engine gets no request");
        let started = neighbours.len();
        for number in started..started + STARTED_TOGETHER {
            let call = completion(OTHER_BRANCH, LONG_ANSWER);
            let task = start_send(fleet, &call, entries[number % entries.len()]);
            neighbours.push((call, task));
        }
        for (call, _) in &neighbours[started..] {
            wait_until("the neighbour runs", || !runs_of(fleet, call).is_empty()).await;
        }
    }
    neighbours
}

#[test]
fn stopped_everywhere() {
    // A request crashes its engine. It is retried once, elsewhere, and crashes that engine too. Its
    // caller sends it again with other keys and through the other entry. No further engine may crash
    // for it, and each refusal must give the reason and the true run state. Other callers' streams on
    // the crashed engines must be resumed elsewhere: each caller gets its whole answer and pays once.
    run(async {
        let start = SmallFleet { proxied: true, engines: 3, ..Default::default() };
        let fleet = start.start().await;
        let entries = fleet.entries();
        let neighbours = start_neighbours(&fleet).await;
        let poison = with_key(poison(BRANCH), "first");
        let first_send = send(&fleet, &poison, entries[0]).await;
        assert_eq!(refusal(&first_send), Some(("quarantined", "unknown")), "{first_send:?}");
        let crashed: BTreeSet<_> =
            runs_of(&fleet, &poison).into_iter().map(|run| run.start.upstream).collect();
        assert_eq!(crashed.len(), 2, "{:?}", runs_of(&fleet, &poison));

        let mut records = vec![record(&poison, [first_send])];
        for (entry, key) in [(entries[0], "second"), (entries[1], "third"), (entries[1], "fourth")]
        {
            let again = with_key(poison.clone(), key);
            let sent = send(&fleet, &again, entry).await;
            assert_eq!(refusal(&sent), Some(("quarantined", "not-run")), "{sent:?}");
        }
        assert_eq!(runs_of(&fleet, &poison).len(), 2, "{:?}", runs_of(&fleet, &poison));
        let mut run_again = 0;
        for (call, task) in neighbours {
            let sent = task.await;
            assert!(is_own_whole(&sent), "{sent:?}");
            run_again += usize::from(runs_of(&fleet, &call).len() > 1);
            records.push(record(&call, [sent]));
        }
        assert!(run_again > 0, "no neighbour was in flight on a crashed engine");
        let neighbours =
            records.iter().filter(|record| record.call.branch().as_str() == OTHER_BRANCH);
        let spent: TokenCount = neighbours.map(|record| record.billed()).sum();
        wait_until_settled(&fleet, OTHER_BRANCH, spent.0).await;
        assert_guarantees(&fleet, &records);
    });
}
