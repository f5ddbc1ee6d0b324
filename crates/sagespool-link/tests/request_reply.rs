//! Requests with one reply.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::bounded;
use sagespool_link::{LinkEndpoint, LinkError};
use sagespool_messages::{PeerReply, PeerRequest};
use support::{
    TEST_TIMEOUT, TestAuthority, UdpRelay, dispatch_request, endpoint, handler, loopback,
    silent_handler, status_request, within_timeout,
};

/// Long enough for a handshake, and short for tests that wait until it expires.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

#[test]
fn reply_returns() {
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (record, recorded) = bounded(1);
        let recording = handler(move |call| {
            let record = record.clone();
            async move {
                let _ = record.send((call.from, call.request)).await;
                call.responder.reply(PeerReply::Unsupported("recorded".to_owned())).await;
            }
        });
        let server = endpoint(authority.identity(), recording);
        let client = endpoint(authority.identity(), silent_handler());

        for request in [status_request(), dispatch_request(0), dispatch_request(4 << 20)] {
            let reply = client.request(server.local_address(), &request, TEST_TIMEOUT).await;
            assert_eq!(reply, Ok(PeerReply::Unsupported("recorded".to_owned())));
            let (from, handled) = recorded.recv().await.unwrap();
            assert_eq!(from, client.local_address());
            assert!(handled == request, "the request was changed in transit");
        }
        let sent = client.counters();
        assert!(sent.payload_sent.0 > 4 << 20 && sent.control_sent.0 < 100, "{sent:?}");
        assert_eq!(server.counters().payload_received, sent.payload_sent);
    });
}

#[test]
fn one_connection() {
    // A burst of requests to a peer without a connection must not open one
    // connection each: the handshakes would exceed a node's budget for control
    // traffic. The peer's own requests use the same connection.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let done = || handler(async |call| call.responder.reply(PeerReply::Done).await);
        let server = endpoint(authority.identity(), done());
        let client = endpoint(authority.identity(), done());
        let to = server.local_address();

        let send = |client: LinkEndpoint| {
            smol::spawn(async move { client.request(to, &status_request(), TEST_TIMEOUT).await })
        };
        let replies: Vec<_> = (0..200).map(|_| send(client.clone())).collect();
        for reply in replies {
            assert_eq!(reply.await, Ok(PeerReply::Done));
        }
        let reply = server.request(client.local_address(), &status_request(), TEST_TIMEOUT).await;
        assert_eq!(reply, Ok(PeerReply::Done));
        let opened = [&client, &server].map(|link| link.counters().connections_opened);
        assert_eq!(opened, [1, 1]);
    });
}

#[test]
fn unreachable_peer() {
    // A sidecar is gone and nothing replies at its address. The error must show
    // that the request was not sent, so that the entry can safely run it elsewhere,
    // and all waiters for the connection must fail together, not one after another.
    smol::block_on(async {
        let silent = std::net::UdpSocket::bind(loopback()).unwrap();
        let to = silent.local_addr().unwrap();
        let client = endpoint(TestAuthority::new().identity(), silent_handler());
        let send = |client: LinkEndpoint| {
            smol::spawn(
                async move { client.request(to, &status_request(), TEST_TIMEOUT * 2).await },
            )
        };
        let replies: Vec<_> = (0..500).map(|_| send(client.clone())).collect();
        for reply in replies {
            let error = within_timeout(reply).await.unwrap_err();
            assert!(matches!(error, LinkError::Unreachable { .. }), "{error}");
            assert!(error.definitely_not_handled());
        }
        let error = client.request(to, &status_request(), Duration::ZERO).await.unwrap_err();
        assert!(error.definitely_not_handled(), "{error}");
    });
}

#[test]
fn missing_reply() {
    // The peer received the request and no reply came, because of a timeout or
    // because the handler dropped it. It may have run, so neither may count as unsent.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (keep, kept) = bounded(10);
        let silent = handler(move |call| {
            let keep = keep.clone();
            async move {
                if let PeerRequest::Dispatch(_) = call.request {
                    let _ = keep.send(call.responder).await;
                }
            }
        });
        let server = endpoint(authority.identity(), silent);
        let client = endpoint(authority.identity(), silent_handler());
        let to = server.local_address();

        let error = client.request(to, &status_request(), TEST_TIMEOUT).await.unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        assert!(!error.definitely_not_handled());

        let error = client.request(to, &dispatch_request(10), SHORT_TIMEOUT).await.unwrap_err();
        assert!(matches!(error, LinkError::TimedOut { .. }), "{error}");
        assert!(!error.definitely_not_handled());
        let responder = kept.recv().await.unwrap();
        within_timeout(responder.requester_gone()).await;
    });
}

#[test]
fn oversized_request() {
    // A message that is too large for a frame is refused before a byte of it is sent.
    smol::block_on(async {
        let client = endpoint(TestAuthority::new().identity(), silent_handler());
        let to = client.local_address();
        let error = client.request(to, &dispatch_request(9 << 20), TEST_TIMEOUT).await.unwrap_err();
        assert!(matches!(error, LinkError::TooLarge { .. }), "{error}");
        assert!(error.definitely_not_handled());
        assert_eq!(client.counters().datagrams_sent, 0);
    });
}

#[test]
fn oversized_reply() {
    // A reply that is too large for a frame: the requester gets an error instead of
    // a timeout.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let verbose = handler(async |call| {
            call.responder.reply(PeerReply::Unsupported("x".repeat(9 << 20))).await;
        });
        let server = endpoint(authority.identity(), verbose);
        let client = endpoint(authority.identity(), silent_handler());
        let reply = client.request(server.local_address(), &status_request(), TEST_TIMEOUT).await;
        let Ok(PeerReply::Unsupported(detail)) = reply else {
            panic!("{reply:?}");
        };
        assert!(detail.contains("over the limit"), "{detail}");
    });
}

/// Sends requests until the closing peer rejects one.
async fn wait_for_rejection(client: &LinkEndpoint, to: SocketAddr) {
    let refusal = async {
        loop {
            match client.request(to, &status_request(), SHORT_TIMEOUT).await {
                Err(error) if error.definitely_not_handled() => return,
                // Sent before the close began.
                _ => continue,
            }
        }
    };
    within_timeout(refusal).await;
}

#[test]
fn graceful_close() {
    // A process stops while it handles one request, and another request arrives.
    // The first must still get its reply. The second must not be handled, and its
    // error must show this.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (arrived, arrivals) = bounded(10);
        let (release, released) = bounded::<()>(1);
        let blocking = handler(move |call| {
            let (arrived, released) = (arrived.clone(), released.clone());
            async move {
                let _ = arrived.send(()).await;
                let _ = released.recv().await;
                call.responder.reply(PeerReply::Done).await;
            }
        });
        let server = endpoint(authority.identity(), blocking);
        let client = endpoint(authority.identity(), silent_handler());
        let to = server.local_address();
        let first = smol::spawn({
            let client = client.clone();
            async move { client.request(to, &status_request(), TEST_TIMEOUT).await }
        });
        within_timeout(arrivals.recv()).await.unwrap();

        let closing = smol::spawn({
            let server = server.clone();
            async move { server.close().await }
        });
        wait_for_rejection(&client, to).await;
        let handled = arrivals.len();
        drop(release);
        assert_eq!(first.await, Ok(PeerReply::Done));
        within_timeout(closing).await;
        assert_eq!(arrivals.len(), handled);
        let error = client.request(to, &status_request(), TEST_TIMEOUT).await.unwrap_err();
        assert!(error.definitely_not_handled(), "{error}");
    });
}

#[test]
fn reply_resent() {
    // A process closes its link after the reply to its last request, and the network
    // loses the datagrams of that reply: it must be retransmitted.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (arrived, arrivals) = bounded(1);
        let (release, released) = bounded::<()>(1);
        let (record, replied) = bounded(1);
        let blocking = handler(move |call| {
            let (arrived, released, record) = (arrived.clone(), released.clone(), record.clone());
            async move {
                let _ = arrived.try_send(());
                let _ = released.recv().await;
                call.responder.reply(PeerReply::Done).await;
                let _ = record.try_send(());
            }
        });
        let server = endpoint(authority.identity(), blocking);
        let relay = UdpRelay::start(server.local_address());
        let client = endpoint(authority.identity(), silent_handler());
        let to = relay.address();
        let reply =
            smol::spawn(async move { client.request(to, &status_request(), TEST_TIMEOUT).await });
        within_timeout(arrivals.recv()).await.unwrap();
        relay.set_dropping(true);
        drop(release);
        within_timeout(replied.recv()).await.unwrap();

        let closing = smol::spawn({
            let server = server.clone();
            async move { server.close().await }
        });
        let late = endpoint(authority.identity(), silent_handler());
        wait_for_rejection(&late, server.local_address()).await;
        relay.set_dropping(false);
        assert_eq!(reply.await, Ok(PeerReply::Done));
        within_timeout(closing).await;
    });
}
