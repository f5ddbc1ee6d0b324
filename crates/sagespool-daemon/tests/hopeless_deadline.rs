//! Requests that can't be answered before their deadline.

mod common;

use std::time::Duration;

use common::*;

/// Tokens a second of each request: a long answer takes ten seconds.
const TOKENS_PER_SECOND: u64 = 50;
const LONG_ANSWER: u32 = 500;
/// Answers of one second, from which the entry learns how long a request runs.
const LEARNED_ANSWER: u32 = 50;
const LEARNED_CALLS: usize = 16;
/// Three times what both engines run at once.
const CROWD: usize = 96;

#[test]
fn refused_at_once() {
    // Every place at the engines is taken for seconds, and many wait. A caller asks for an answer
    // within half a second: it can't have one. It must hear so at once and with when to come back,
    // while there is time to ask elsewhere, and `not-run` must be true.
    run(async {
        let fleet = SmallFleet { tokens_per_second: TOKENS_PER_SECOND, ..Default::default() };
        let fleet = fleet.start().await;
        let entry = fleet.entries()[0];
        let start = |length| start_send(&fleet, &completion(OTHER_BRANCH, length), entry);
        let learned: Vec<_> = (0..LEARNED_CALLS).map(|_| start(LEARNED_ANSWER)).collect();
        for sent in learned {
            let sent = sent.await;
            assert!(is_own_whole(&sent), "{sent:?}");
        }
        let crowd: Vec<_> = (0..CROWD).map(|_| completion(BRANCH, LONG_ANSWER)).collect();
        let sends: Vec<_> = crowd.iter().map(|call| start_send(&fleet, call, entry)).collect();
        until_async("all are taken in", async || {
            let in_flight = metric(&fleet, entry, "sagespool_in_flight").await;
            in_flight.is_some_and(|count| count >= CROWD as f64)
        })
        .await;

        let mut hopeless = completion(BRANCH, LONG_ANSWER);
        hopeless.deadline = Duration::from_millis(500);
        let sent = send(&fleet, &hopeless, entry).await;
        assert_eq!(refusal(&sent), Some(("deadline-exceeded", "not-run")), "{sent:?}");
        assert!(sent.ended < sent.sent.after(hopeless.deadline), "held back until its deadline");
        assert!(runs_of(&fleet, &hopeless).is_empty(), "it ran");
        drop(sends);
        assert_promises(&fleet, &[record(&hopeless, [sent])]);
    });
}
