//! Peers that are killed, disconnected, or replaced by another process.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sagespool_link::{LinkEndpoint, LinkError};
use sagespool_messages::{PeerReply, PeerRequest};
use support::{
    TEST_TIMEOUT, TestAuthority, UdpRelay, attach_request, endpoint, event_handler, handler,
    silent_handler, status_request, wait_until, within_timeout,
};

/// Longer than a connection may be idle before it is probed.
const STALE_AFTER: Duration = Duration::from_millis(1100);

/// A server behind a relay. It counts requests and replies to all but attach
/// requests, which stay open.
struct LossFixture {
    authority: TestAuthority,
    relay: UdpRelay,
    client: LinkEndpoint,
    handled: Arc<AtomicUsize>,
}

impl LossFixture {
    fn start() -> Self {
        let authority = TestAuthority::new();
        let handled = Arc::new(AtomicUsize::new(0));
        let count = handled.clone();
        let server = endpoint(
            authority.identity(),
            handler(move |call| {
                count.fetch_add(1, Ordering::SeqCst);
                async move {
                    if let PeerRequest::Attach(_) = call.request {
                        return std::future::pending().await;
                    }
                    call.responder.reply(PeerReply::Done).await;
                }
            }),
        );
        let relay = UdpRelay::start(server.local_address());
        let client = endpoint(authority.identity(), silent_handler());
        Self { authority, relay, client, handled }
    }

    async fn request_status(&self) -> Result<PeerReply, LinkError> {
        self.client.request(self.relay.address(), &status_request(), TEST_TIMEOUT * 2).await
    }

    fn handled(&self) -> usize {
        self.handled.load(Ordering::SeqCst)
    }
}

#[test]
fn peer_disconnected() {
    // The network to a sidecar fails without an error while it runs a request. The
    // entry must not wait for the deadline, nor count the request as not run. When the
    // network is restored, the next request gets a new connection.
    smol::block_on(async {
        let fixture = LossFixture::start();
        let request = attach_request();
        let reply = fixture.client.request(fixture.relay.address(), &request, TEST_TIMEOUT * 2);
        let disconnect = async {
            wait_until(|| fixture.handled() == 1).await;
            fixture.relay.set_dropping(true);
            std::future::pending().await
        };
        let error = within_timeout(futures_lite::future::or(reply, disconnect)).await.unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        assert!(!error.definitely_not_handled());

        fixture.relay.set_dropping(false);
        assert_eq!(fixture.request_status().await, Ok(PeerReply::Done));
        assert_eq!(fixture.client.counters().connections_opened, 2);
    });
}

#[test]
fn stream_disconnected() {
    // The network between an entry and a sidecar fails while a stream is open, in
    // both directions (as if one were killed) or in one. The engine produces nothing,
    // so no event is due. The sidecar must detect that the requester is gone, and the
    // entry that the stream is lost.
    smol::block_on(async {
        for (to_target, to_client) in [(true, true), (true, false), (false, true)] {
            let authority = TestAuthority::new();
            let (handler, senders) = event_handler();
            let server = endpoint(authority.identity(), handler);
            let relay = UdpRelay::start(server.local_address());
            let client = endpoint(authority.identity(), silent_handler());
            let mut stream =
                client.open_stream(relay.address(), &attach_request(), TEST_TIMEOUT).await.unwrap();
            let sender = within_timeout(senders.recv()).await.unwrap();
            relay.set_dropping_by_direction(to_target, to_client);
            within_timeout(sender.requester_gone()).await;
            let error = within_timeout(stream.next()).await.unwrap().unwrap_err();
            assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        }
    });
}

#[test]
fn silent_engine() {
    // A request is queued in the engine for longer than the limit for an unresponsive
    // peer, and no byte is due. Both sides are alive: the stream must stay open.
    smol::block_on(async {
        let fixture = LossFixture::start();
        let to = fixture.relay.address();
        let mut stream =
            fixture.client.open_stream(to, &attach_request(), TEST_TIMEOUT).await.unwrap();
        let ended = async {
            stream.next().await;
            true
        };
        let passed = async {
            smol::Timer::after(Duration::from_secs(5)).await;
            false
        };
        assert!(!futures_lite::future::or(ended, passed).await);
    });
}

#[test]
fn lost_while_idle() {
    // A sidecar is killed while nothing is in flight, so its connection appears to be
    // open. A request written to it would be in doubt, and a non-idempotent one lost,
    // although it never left this process's buffers.
    smol::block_on(async {
        let fixture = LossFixture::start();
        assert_eq!(fixture.request_status().await, Ok(PeerReply::Done));
        fixture.relay.set_dropping(true);
        smol::Timer::after(STALE_AFTER).await;
        let error = within_timeout(fixture.request_status()).await.unwrap_err();
        assert!(matches!(error, LinkError::Unreachable { .. }), "{error}");
        assert!(error.definitely_not_handled());
        fixture.relay.set_dropping(false);
        assert_eq!(fixture.request_status().await, Ok(PeerReply::Done));
        assert_eq!(fixture.handled(), 2);
    });
}

#[test]
fn peer_replaced() {
    // A sidecar is killed and restarted at its address. The new process has no state
    // of the previous one's connections. Without a stateless reset, requests would be
    // sent on the dead connection until its liveness check fails.
    smol::block_on(async {
        let fixture = LossFixture::start();
        let certificate = fixture.authority.issue();
        let identity = || certificate.trusting(&fixture.authority.certificate);
        let first = endpoint(identity(), handler(async |_| std::future::pending().await));
        let done = handler(async |call| call.responder.reply(PeerReply::Done).await);
        let second = endpoint(identity(), done);
        fixture.relay.set_target(first.local_address());

        let to = fixture.relay.address();
        let mut stream =
            fixture.client.open_stream(to, &attach_request(), TEST_TIMEOUT).await.unwrap();
        fixture.relay.set_target(second.local_address());
        let error = within_timeout(stream.next()).await.unwrap().unwrap_err();
        assert!(error.to_string().contains("reset by peer"), "{error}");
        assert!(!error.definitely_not_handled());
        assert_eq!(fixture.request_status().await, Ok(PeerReply::Done));
    });
}
