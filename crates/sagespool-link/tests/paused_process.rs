//! A process that doesn't run for a while, and doesn't know it.
//!
//! Blocking the one thread of smol's executor stands for the pause. In a file of
//! its own, since it holds up everything in the process.

mod support;

use std::time::Duration;

use sagespool_messages::PeerReply;
use support::{
    PATIENCE, TestAuthority, UdpRelay, attach, deaf, endpoint, event_handler, handler, question,
    soon, until, whole_end,
};

/// Blocks the executor's thread.
async fn pause(time: Duration) {
    soon(smol::spawn(async move { std::thread::sleep(time) })).await;
}

#[test]
fn paused_while_connecting() {
    // A process is paused for longer than a connection may take to come about.
    // When it goes on, its time is up by the clock, but it never had a chance to
    // read the answer: the peer must not be taken for gone.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let done = handler(async |call| call.responder.reply(PeerReply::Done).await);
        let server = endpoint(authority.identity(), done);
        let client = endpoint(authority.identity(), deaf());
        let relay = UdpRelay::start(server.local_address());
        relay.cut(true);
        let asked = smol::spawn({
            let (client, to) = (client.clone(), relay.address());
            async move { client.request(to, &question(), PATIENCE).await }
        });
        until(|| client.counters().datagrams_sent > 0).await;
        relay.cut(false);
        pause(Duration::from_millis(1500)).await;
        assert_eq!(asked.await, Ok(PeerReply::Done));
    });
}

#[test]
fn paused_while_streaming() {
    // A process is paused for longer than a silent peer is waited for. It must not
    // take the time that it missed for its peer's silence and cut the answer off.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (handing, senders) = event_handler();
        let server = endpoint(authority.identity(), handing);
        let client = endpoint(authority.identity(), deaf());
        let to = server.local_address();
        let mut stream = client.open_stream(to, &attach(), PATIENCE).await.unwrap();
        let mut sender = soon(senders.recv()).await.unwrap();
        pause(Duration::from_secs(4)).await;
        sender.send(&whole_end()).await.unwrap();
        assert_eq!(soon(stream.next()).await, Some(Ok(whole_end())));
    });
}
