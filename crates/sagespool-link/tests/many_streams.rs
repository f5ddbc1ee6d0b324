//! As many requests at once as an entry may have at one sidecar.
//!
//! In a file of its own: it keeps the process's one executor thread busy for
//! longer than a handshake of another test may take.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::bounded;
use sagespool_link::LinkEndpoint;
use sagespool_messages::PeerReply;
use support::{PATIENCE, TestAuthority, deaf, endpoint, handler, question, until};

#[test]
fn ten_thousand() {
    // An entry may have ten thousand requests at one sidecar. With the library's
    // hundred streams all but the first hundred would wait until their deadline.
    const COUNT: usize = 10_000;
    smol::block_on(async {
        let authority = TestAuthority::new();
        let waiting = Arc::new(AtomicUsize::new(0));
        let (gate, opened) = bounded::<()>(1);
        let held = {
            let waiting = waiting.clone();
            handler(move |call| {
                let (waiting, opened) = (waiting.clone(), opened.clone());
                async move {
                    waiting.fetch_add(1, Ordering::SeqCst);
                    let _ = opened.recv().await;
                    call.responder.reply(PeerReply::Done).await;
                }
            })
        };
        let server = endpoint(authority.identity(), held);
        let client = endpoint(authority.identity(), deaf());
        let to = server.local_address();
        let ask = |client: LinkEndpoint| {
            smol::spawn(async move { client.request(to, &question(), PATIENCE * 2).await })
        };
        let asked: Vec<_> = (0..COUNT).map(|_| ask(client.clone())).collect();
        until(|| waiting.load(Ordering::SeqCst) == COUNT).await;
        drop(gate);
        for ask in asked {
            assert_eq!(ask.await, Ok(PeerReply::Done));
        }
    });
}
