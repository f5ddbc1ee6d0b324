//! One request, a stream of events.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use async_channel::Receiver;
use sagespool_link::{EventSender, EventStream, LinkEndpoint, LinkError};
use sagespool_messages::DispatchEvent;
use support::{
    PATIENCE, TestAuthority, attach, deaf, endpoint, event_handler, piece, soon, whole_end,
};

/// A client, and the senders of the streams that it opens at a server.
struct EventFixture {
    server: LinkEndpoint,
    client: LinkEndpoint,
    senders: Receiver<EventSender>,
}

impl EventFixture {
    fn start() -> Self {
        let authority = TestAuthority::new();
        let (handing, senders) = event_handler();
        let server = endpoint(authority.identity(), handing);
        let client = endpoint(authority.identity(), deaf());
        Self { server, client, senders }
    }

    async fn open_stream(&self) -> (EventStream, EventSender) {
        let to = self.server.local_address();
        let stream = self.client.open_stream(to, &attach(), PATIENCE).await.unwrap();
        (stream, soon(self.senders.recv()).await.unwrap())
    }
}

#[test]
fn events_in_order() {
    smol::block_on(async {
        let fixture = EventFixture::start();
        let (mut stream, mut sender) = fixture.open_stream().await;
        let mut events: Vec<_> = (0..1000).map(piece).collect();
        events.push(whole_end());
        for event in &events {
            sender.send(event).await.unwrap();
        }
        for event in events {
            assert_eq!(soon(stream.next()).await, Some(Ok(event)));
        }
        assert_eq!(soon(stream.next()).await, None);
        let (sent, received) = (fixture.server.counters(), fixture.client.counters());
        assert_eq!(sent.payload_sent, received.payload_received);
    });
}

#[test]
fn dropped_stream() {
    // A caller hangs up, and its entry drops the stream of events. The sidecar
    // must hear of it while it waits for the engine's next token, and must get
    // an error if it sends one, or the engine would go on for nobody.
    smol::block_on(async {
        let fixture = EventFixture::start();
        let (mut stream, mut sender) = fixture.open_stream().await;
        sender.send(&piece(0)).await.unwrap();
        assert_eq!(soon(stream.next()).await, Some(Ok(piece(0))));
        let gone = sender.requester_gone();
        drop(stream);
        soon(gone).await;
        let error = sender.send(&piece(1)).await.unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
    });
}

#[test]
fn missing_end() {
    // A sidecar's task dies in the middle of an answer. The entry must see an
    // error: an answer that just stops would pass for a whole one.
    smol::block_on(async {
        let fixture = EventFixture::start();
        let (mut stream, mut sender) = fixture.open_stream().await;
        sender.send(&piece(0)).await.unwrap();
        drop(sender);
        assert_eq!(soon(stream.next()).await, Some(Ok(piece(0))));
        let error = soon(stream.next()).await.unwrap().unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        assert!(!error.definitely_not_handled());
        assert_eq!(soon(stream.next()).await, None);
    });
}

#[test]
fn cut_send() {
    // The asker reads slowly, and the sidecar drops a send that waits for it.
    // What was sent is a part of an event: another event behind it would be read
    // as the rest of the first, and the caller would get garbage.
    smol::block_on(async {
        let fixture = EventFixture::start();
        let (mut stream, mut sender) = fixture.open_stream().await;
        let large = DispatchEvent::Piece { at: 0, tokens: 0, data: vec![7; 4 << 20] };
        assert!(futures_lite::future::poll_once(sender.send(&large)).await.is_none());
        let error = soon(sender.send(&piece(1))).await.unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        drop(sender);
        let error = soon(stream.next()).await.unwrap().unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
    });
}
