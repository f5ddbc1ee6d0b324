//! Peers that die, are cut off, or come back as another process.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sagespool_link::{LinkEndpoint, LinkError};
use sagespool_messages::{PeerReply, PeerRequest};
use support::{
    PATIENCE, TestAuthority, UdpRelay, attach, deaf, endpoint, event_handler, handler, question,
    soon, until,
};

/// Longer than a connection counts as heard lately.
const STALE_WHILE: Duration = Duration::from_millis(1100);

/// A server behind a relay. It answers questions, counts them, and keeps
/// whatever else it is sent without an answer.
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
        let client = endpoint(authority.identity(), deaf());
        Self { authority, relay, client, handled }
    }

    async fn request(&self) -> Result<PeerReply, LinkError> {
        self.client.request(self.relay.address(), &question(), PATIENCE * 2).await
    }

    fn handled(&self) -> usize {
        self.handled.load(Ordering::SeqCst)
    }
}

#[test]
fn peer_cut() {
    // The network to a sidecar breaks while it runs a request; nothing says so.
    // The entry must not wait for the deadline, nor take the request for not run.
    // When the network is back, the next request gets a connection of its own.
    smol::block_on(async {
        let fixture = LossFixture::start();
        let request = attach();
        let asked = fixture.client.request(fixture.relay.address(), &request, PATIENCE * 2);
        let cut = async {
            until(|| fixture.handled() == 1).await;
            fixture.relay.cut(true);
            std::future::pending().await
        };
        let error = soon(futures_lite::future::or(asked, cut)).await.unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        assert!(!error.definitely_not_handled());

        fixture.relay.cut(false);
        assert_eq!(fixture.request().await, Ok(PeerReply::Done));
        assert_eq!(fixture.client.counters().connections_opened, 2);
    });
}

#[test]
fn stream_cut() {
    // The network between an entry and a sidecar breaks with a stream open, in
    // both directions (as if one were killed) or in one; the engine is silent, so
    // no event is due either. The sidecar must learn that nobody hears it, and the
    // entry that nothing more comes.
    smol::block_on(async {
        for (forth, back) in [(true, true), (true, false), (false, true)] {
            let authority = TestAuthority::new();
            let (handing, senders) = event_handler();
            let server = endpoint(authority.identity(), handing);
            let relay = UdpRelay::start(server.local_address());
            let client = endpoint(authority.identity(), deaf());
            let mut stream =
                client.open_stream(relay.address(), &attach(), PATIENCE).await.unwrap();
            let sender = soon(senders.recv()).await.unwrap();
            relay.cut_one_way(forth, back);
            soon(sender.requester_gone()).await;
            let error = soon(stream.next()).await.unwrap().unwrap_err();
            assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        }
    });
}

#[test]
fn silent_engine() {
    // A request waits for its turn in the engine for longer than a lost peer is
    // waited for, and not a byte is due. Both sides are there: the stream must
    // stay open.
    smol::block_on(async {
        let fixture = LossFixture::start();
        let to = fixture.relay.address();
        let mut stream = fixture.client.open_stream(to, &attach(), PATIENCE).await.unwrap();
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
    // A sidecar dies while nothing is in flight, so its connection looks well. A
    // request written to it would be in doubt, and a non-idempotent one lost,
    // though it never left this process's buffers.
    smol::block_on(async {
        let fixture = LossFixture::start();
        assert_eq!(fixture.request().await, Ok(PeerReply::Done));
        fixture.relay.cut(true);
        smol::Timer::after(STALE_WHILE).await;
        let error = soon(fixture.request()).await.unwrap_err();
        assert!(matches!(error, LinkError::Unreachable { .. }), "{error}");
        assert!(error.definitely_not_handled());
        fixture.relay.cut(false);
        assert_eq!(fixture.request().await, Ok(PeerReply::Done));
        assert_eq!(fixture.handled(), 2);
    });
}

#[test]
fn peer_replaced() {
    // A sidecar is killed and started again at its address. Its successor knows
    // no connection of its predecessor; without a word from it, requests would
    // go on into the dead connection until it has been silent for too long.
    smol::block_on(async {
        let fixture = LossFixture::start();
        let certificate = fixture.authority.issue();
        let identity = || certificate.trusting(&fixture.authority.certificate);
        let first = endpoint(identity(), handler(async |_| std::future::pending().await));
        let done = handler(async |call| call.responder.reply(PeerReply::Done).await);
        let second = endpoint(identity(), done);
        fixture.relay.lead_to(first.local_address());

        let to = fixture.relay.address();
        let mut stream = fixture.client.open_stream(to, &attach(), PATIENCE).await.unwrap();
        fixture.relay.lead_to(second.local_address());
        let error = soon(stream.next()).await.unwrap().unwrap_err();
        assert!(error.to_string().contains("reset by peer"), "{error}");
        assert!(!error.definitely_not_handled());
        assert_eq!(fixture.request().await, Ok(PeerReply::Done));
    });
}
