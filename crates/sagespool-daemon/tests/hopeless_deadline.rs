//! Requests that can't be answered before their deadline.

mod common;

use std::time::Duration;

use common::*;

/// Rate of each request: a long answer takes ten seconds.
const TOKENS_PER_SECOND: u64 = 50;
const LONG_ANSWER: u32 = 500;
/// Answers of one second, from which the entry estimates the duration of requests.
const SHORT_ANSWER: u32 = 50;
const SHORT_CALLS: usize = 16;
/// Three times the capacity of both engines.
const CONCURRENT_CALLS: usize = 96;

#[test]
fn refused_at_once() {
    // All slots of the engines are taken for seconds, and many requests wait. A request with a
    // deadline of half a second can't be answered in time. It must be refused at once with a time for
    // the retry, while the caller still has time to try elsewhere, and `not-run` must be true.
    run(async {
        let fleet = SmallFleet { tokens_per_second: TOKENS_PER_SECOND, ..Default::default() };
        let fleet = fleet.start().await;
        let entry = fleet.entries()[0];
        let start = |length| start_send(&fleet, &completion(OTHER_BRANCH, length), entry);
        let short_sends: Vec<_> = (0..SHORT_CALLS).map(|_| start(SHORT_ANSWER)).collect();
        for sent in short_sends {
            let sent = sent.await;
            assert!(is_own_whole(&sent), "{sent:?}");
        }
        let waiting_calls: Vec<_> =
            (0..CONCURRENT_CALLS).map(|_| completion(BRANCH, LONG_ANSWER)).collect();
        let sends: Vec<_> =
            waiting_calls.iter().map(|call| start_send(&fleet, call, entry)).collect();
        wait_until_async("all are in flight", async || {
            let in_flight = metric(&fleet, entry, "sagespool_in_flight").await;
            in_flight.is_some_and(|count| count >= CONCURRENT_CALLS as f64)
        })
        .await;

        let mut hopeless = completion(BRANCH, LONG_ANSWER);
        hopeless.deadline = Duration::from_millis(500);
        let sent = send(&fleet, &hopeless, entry).await;
        assert_eq!(refusal(&sent), Some(("deadline-exceeded", "not-run")), "{sent:?}");
        assert!(sent.ended < sent.sent.after(hopeless.deadline), "refused only at its deadline");
        assert!(runs_of(&fleet, &hopeless).is_empty(), "it ran");
        drop(sends);
        assert_guarantees(&fleet, &[record(&hopeless, [sent])]);
    });
}
