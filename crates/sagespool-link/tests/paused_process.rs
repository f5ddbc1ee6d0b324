//! A process that is paused for a while.
//!
//! The pause is simulated by blocking the only thread of smol's executor. In a file
//! of its own, since it blocks all tests in the process.

mod support;

use std::time::Duration;

use sagespool_messages::PeerReply;
use support::{
    TEST_TIMEOUT, TestAuthority, UdpRelay, attach_request, end_event, endpoint, event_handler,
    handler, silent_handler, status_request, wait_until, within_timeout,
};

/// Blocks the executor's thread.
async fn pause(time: Duration) {
    within_timeout(smol::spawn(async move { std::thread::sleep(time) })).await;
}

#[test]
fn paused_while_connecting() {
    // A process is paused for longer than the timeout of a handshake. When it
    // resumes, the timeout has passed by the clock, but the reply could not be read
    // yet: the peer must not count as unreachable.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let done = handler(async |call| call.responder.reply(PeerReply::Done).await);
        let server = endpoint(authority.identity(), done);
        let client = endpoint(authority.identity(), silent_handler());
        let relay = UdpRelay::start(server.local_address());
        relay.set_dropping(true);
        let reply = smol::spawn({
            let (client, to) = (client.clone(), relay.address());
            async move { client.request(to, &status_request(), TEST_TIMEOUT).await }
        });
        wait_until(|| client.counters().datagrams_sent > 0).await;
        relay.set_dropping(false);
        pause(Duration::from_millis(1500)).await;
        assert_eq!(reply.await, Ok(PeerReply::Done));
    });
}

#[test]
fn paused_while_streaming() {
    // A process is paused for longer than the limit for an unresponsive peer. It must
    // not count its own pause as silence of the peer and close the connection.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (handler, senders) = event_handler();
        let server = endpoint(authority.identity(), handler);
        let client = endpoint(authority.identity(), silent_handler());
        let to = server.local_address();
        let mut stream = client.open_stream(to, &attach_request(), TEST_TIMEOUT).await.unwrap();
        let mut sender = within_timeout(senders.recv()).await.unwrap();
        pause(Duration::from_secs(4)).await;
        sender.send(&end_event()).await.unwrap();
        assert_eq!(within_timeout(stream.next()).await, Some(Ok(end_event())));
    });
}
