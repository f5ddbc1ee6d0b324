//! Counts of other running requests that entries receive.

#![allow(clippy::unwrap_used)]

mod harness;

use harness::fleet::{TestFleet, TestPlatform, first_piece_of};
use harness::*;
use sagespool_link::EventStream;
use sagespool_messages::{CancelRequest, DispatchEvent, PeerRequest};
use sagespool_types::{AttemptNumber, RequestId};
use smol::block_on;

/// All counts of other requests on one stream.
async fn counts_of(fleet: &TestFleet, number: u64) -> Vec<u32> {
    let mut stream = fleet.dispatch(completion(number)).await;
    let mut counts = Vec::new();
    loop {
        match stream.next().await.unwrap().unwrap() {
            DispatchEvent::Beside(count) => counts.push(count),
            DispatchEvent::End(_) => return counts,
            _ => {}
        }
    }
}

/// The next count on a stream.
async fn next_count(stream: &mut EventStream) -> u32 {
    loop {
        if let DispatchEvent::Beside(count) = stream.next().await.unwrap().unwrap() {
            return count;
        }
    }
}

// Several entries dispatch to one engine, and its load reports are late. At the start and the end
// of its streams, each entry gets the number of other running requests. Its own request is never
// counted, whether it is still registered or not.
#[test]
fn counts_sent() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, TestPlatform::start()).await;
        fleet.ready().await;
        assert_eq!(counts_of(&fleet, 1).await, [0, 0]);
        engine.set_slow_factor(1000.0);
        let mut first = fleet.dispatch(completion(2)).await;
        first_piece_of(&mut first).await;
        let mut second = fleet.dispatch(completion(3)).await;
        assert_eq!(next_count(&mut second).await, 1, "the first request");
        for number in [2, 3] {
            let attempt = AttemptNumber(1);
            let cancel = CancelRequest { request: RequestId(number), attempt };
            fleet.ask(PeerRequest::Cancel(cancel)).await;
        }
        assert!(next_count(&mut second).await <= 1, "before its end");
        engine.set_slow_factor(1.0);
        eventually(|| fleet.role.dispatcher().running_count() == 0).await;
        assert_eq!(counts_of(&fleet, 4).await, [0, 0]);
    });
}
