//! What entries hear of the other requests at an upstream.

#![allow(clippy::unwrap_used)]

mod bench;

use bench::fleet::{PlatformStands, TestFleet, first_piece_of};
use bench::*;
use sagespool_link::EventStream;
use sagespool_messages::{CancelRequest, DispatchEvent, PeerRequest};
use sagespool_types::{AttemptNumber, RequestId};
use smol::block_on;

/// What a whole stream tells of other requests.
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

// Several entries send to one engine, whose own report of its load is late. Each hears on its own
// streams, at the start and at the end, what the others have there; its own request, which it
// knows of, is not in the count, whether it has already made room or not.
#[test]
fn others_told() {
    block_on(async {
        let engine = engine(|_| {});
        let fleet = TestFleet::start(&engine, PlatformStands::start()).await;
        fleet.ready().await;
        assert_eq!(counts_of(&fleet, 1).await, [0, 0]);
        engine.slow_factor(1000.0);
        let mut held = fleet.dispatch(completion(2)).await;
        first_piece_of(&mut held).await;
        let mut second = fleet.dispatch(completion(3)).await;
        assert_eq!(next_count(&mut second).await, 1, "the held one");
        for number in [2, 3] {
            let attempt = AttemptNumber(1);
            let cancel = CancelRequest { request: RequestId(number), attempt };
            fleet.ask(PeerRequest::Cancel(cancel)).await;
        }
        assert!(next_count(&mut second).await <= 1, "before its end");
        engine.slow_factor(1.0);
        eventually(|| fleet.role.dispatcher().running_count() == 0).await;
        assert_eq!(counts_of(&fleet, 4).await, [0, 0]);
    });
}
