//! Responses that are duplicated, late, reordered, or that belong to another call.

mod common;

use std::time::Duration;

use common::*;
use sagespool_testkit::load::PlannedCall;
use sagespool_types::TokenCount;

const CALLS: usize = 24;
const SHARE: f64 = 0.2;
const DELAY: Duration = Duration::from_millis(3);
/// Long enough that a pause falls into its run.
const LONG_ANSWER: u32 = 300;
const WRONG_REQUEST: &str = "sagespool_dropped_answers_total{cause=\"crossed\"}";
const CALLER_GONE: &str = "sagespool_dropped_answers_total{cause=\"caller-gone\"}";

/// Delays, duplicates and reorders packets between all processes.
fn disturb_packets(fleet: &TestFleet) {
    let proxy = fleet.proxy.as_ref().expect("the fleet is proxied");
    let names: Vec<String> =
        fleet.members.iter().map(|member| member.instance.to_string()).collect();
    for (index, one) in names.iter().enumerate() {
        for other in &names[index + 1..] {
            proxy.reorder_share(one, other, SHARE);
            proxy.duplicate_share(one, other, SHARE);
            proxy.delay(one, other, DELAY);
        }
    }
}

/// Number of answers that a process has dropped for a cause.
async fn dropped_answers(fleet: &TestFleet, index: usize, cause: &str) -> f64 {
    metric(fleet, index, cause).await.unwrap_or_default()
}

async fn start() -> TestFleet {
    SmallFleet { proxied: true, answer_ms: 50, ..Default::default() }.start().await
}

#[test]
fn disturbed_packets() {
    // Packets between all processes are delayed, duplicated and reordered while callers of two
    // branches send streams and letters concurrently, some of them twice with the same key. Each
    // caller gets its own whole answer, each letter runs once, and each request is billed once.
    run(async {
        let fleet = start().await;
        disturb_packets(&fleet);
        let entries = fleet.entries();
        let mut calls: Vec<PlannedCall> = Vec::new();
        for number in 0..CALLS {
            let name = [BRANCH, OTHER_BRANCH][number % 2];
            calls.push(match number % 3 {
                0 => letter(name, &format!("letter-{number}")),
                1 => with_key(completion(name, 30), &format!("stream-{number}")),
                _ => completion(name, 30),
            });
        }
        let mut sends = Vec::new();
        for (number, call) in calls.iter().enumerate() {
            let mut tasks = vec![start_send(&fleet, call, entries[number % 2])];
            if call.key.is_some() {
                tasks.push(start_send(&fleet, call, entries[(number + 1) % 2]));
            }
            sends.push(tasks);
        }
        let mut records = Vec::new();
        for (call, tasks) in calls.iter().zip(sends) {
            let mut ended = Vec::new();
            for task in tasks {
                let sent = task.await;
                assert!(is_own_whole(&sent), "{sent:?}");
                ended.push(sent);
            }
            records.push(record(call, ended));
        }
        for call in calls.iter().filter(|call| call.key.is_some()) {
            assert_eq!(runs_of(&fleet, call).len(), 1, "runs of {}", call.marker);
        }
        for name in [BRANCH, OTHER_BRANCH] {
            let own = calls.iter().filter(|call| call.branch().as_str() == name);
            let cost: TokenCount = own.map(PlannedCall::whole_cost).sum();
            wait_until_settled(&fleet, name, cost.0).await;
        }
        assert_guarantees(&fleet, &records);
    });
}

#[test]
fn crossed_upstream() {
    // An engine returns to each call the text of the call before, and so does the letters' service.
    // No caller may get the text of another: the sidecar drops the answer and counts it, and the
    // stream runs again on the other engine. The outcome of the letter is unknown, so its caller is
    // told so and it doesn't run again.
    run(async {
        let fleet = start().await;
        let entries = fleet.entries();
        let mixing = fleet.engines.values().next().expect("there are engines");
        let sidecar = fleet.member_index(&format!("{}-sidecar", mixing.name()));
        let sidecar = sidecar.expect("each engine has its sidecar");
        mixing.set_mixed_answers(true);
        let mut records = Vec::new();
        let mut number = 0;
        wait_until_async("the sidecar has dropped a mixed answer", async || {
            let call = completion([BRANCH, OTHER_BRANCH][number % 2], 20);
            let sent = send(&fleet, &call, entries[number % 2]).await;
            assert!(is_own_whole(&sent), "{sent:?}");
            number += 1;
            records.push(record(&call, [sent]));
            dropped_answers(&fleet, sidecar, WRONG_REQUEST).await >= 1.0
        })
        .await;
        let rerun = records.iter().filter(|record| runs_of(&fleet, &record.call).len() == 2);
        assert_eq!(rerun.count(), 1, "runs of the call whose answer was mixed");

        let before = letter(OTHER_BRANCH, "before");
        let before_send = send(&fleet, &before, entries[0]).await;
        assert!(is_own_whole(&before_send), "{before_send:?}");
        fleet.services.values().for_each(|service| service.set_mixed_answers(true));
        let letter = letter(BRANCH, "letter");
        let mut sends = Vec::new();
        for entry in [entries[0], entries[1]] {
            let sent = send(&fleet, &letter, entry).await;
            assert_eq!(refusal(&sent), Some(("outcome-unknown", "unknown")), "{sent:?}");
            sends.push(sent);
        }
        assert_eq!(runs_of(&fleet, &letter).len(), 1, "runs of the letter");
        assert_eq!(dropped_answers(&fleet, fleet.sidecars(LETTERS)[0], WRONG_REQUEST).await, 1.0);
        records.extend([record(&before, [before_send]), record(&letter, sends)]);
        assert_guarantees(&fleet, &records);
    });
}

#[test]
fn late_answer() {
    // A sidecar is paused during a stream for longer than the entry's timeout, and the entry resumes
    // the stream at the other engine. Then the sidecar resumes and sends the rest late. The caller
    // gets each token once, the late answer is dropped and counted, and the stream is billed once,
    // although both sidecars report what they ran.
    run(async {
        let fleet = start().await;
        disturb_packets(&fleet);
        let BranchHome { home, first, .. } = home_of(&fleet, BRANCH).await;
        let stream = completion(BRANCH, LONG_ANSWER);
        let stream_send = start_send(&fleet, &stream, home);
        wait_until_running(&fleet, &stream).await;
        let engine = runs_of(&fleet, &stream)[0].start.upstream.clone();
        let sidecar =
            fleet.member_index(&format!("{engine}-sidecar")).expect("each has its sidecar");
        fleet.pause(sidecar, true);
        let stream_send = stream_send.await;
        assert!(is_own_whole(&stream_send), "{stream_send:?}");
        assert_eq!(runs_of(&fleet, &stream).len(), 2, "{:?}", runs_of(&fleet, &stream));
        fleet.pause(sidecar, false);
        let is_counted = async || dropped_answers(&fleet, sidecar, CALLER_GONE).await >= 1.0;
        wait_until_async("the late answer is counted", is_counted).await;
        let cost = first.call.whole_cost() + stream.whole_cost();
        wait_until_settled(&fleet, BRANCH, cost.0).await;
        assert_guarantees(&fleet, &[first, record(&stream, [stream_send])]);
    });
}
