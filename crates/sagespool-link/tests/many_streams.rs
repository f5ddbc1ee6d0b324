//! The number of concurrent requests that an entry may have at one sidecar.
//!
//! In a file of its own: it keeps the process's only executor thread busy for
//! longer than the timeout of a handshake in another test.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::bounded;
use sagespool_link::LinkEndpoint;
use sagespool_messages::PeerReply;
use support::{
    TEST_TIMEOUT, TestAuthority, endpoint, handler, silent_handler, status_request, wait_until,
};

#[test]
fn ten_thousand_requests() {
    // An entry may have ten thousand requests at one sidecar. With the library's
    // default of a hundred streams all later requests would wait until their deadline.
    const COUNT: usize = 10_000;
    smol::block_on(async {
        let authority = TestAuthority::new();
        let waiting = Arc::new(AtomicUsize::new(0));
        let (release, released) = bounded::<()>(1);
        let blocking = {
            let waiting = waiting.clone();
            handler(move |call| {
                let (waiting, released) = (waiting.clone(), released.clone());
                async move {
                    waiting.fetch_add(1, Ordering::SeqCst);
                    let _ = released.recv().await;
                    call.responder.reply(PeerReply::Done).await;
                }
            })
        };
        let server = endpoint(authority.identity(), blocking);
        let client = endpoint(authority.identity(), silent_handler());
        let to = server.local_address();
        let send = |client: LinkEndpoint| {
            smol::spawn(
                async move { client.request(to, &status_request(), TEST_TIMEOUT * 2).await },
            )
        };
        let replies: Vec<_> = (0..COUNT).map(|_| send(client.clone())).collect();
        wait_until(|| waiting.load(Ordering::SeqCst) == COUNT).await;
        drop(release);
        for reply in replies {
            assert_eq!(reply.await, Ok(PeerReply::Done));
        }
    });
}
