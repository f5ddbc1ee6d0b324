//! Requests that are answered by a stream of events.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use async_channel::Receiver;
use sagespool_link::{EventSender, EventStream, LinkEndpoint, LinkError};
use sagespool_messages::DispatchEvent;
use support::{
    TEST_TIMEOUT, TestAuthority, attach_request, end_event, endpoint, event_handler,
    silent_handler, token_event, within_timeout,
};

/// A client, and the event senders of the streams that it opens at a server.
struct EventFixture {
    server: LinkEndpoint,
    client: LinkEndpoint,
    senders: Receiver<EventSender>,
}

impl EventFixture {
    fn start() -> Self {
        let authority = TestAuthority::new();
        let (handler, senders) = event_handler();
        let server = endpoint(authority.identity(), handler);
        let client = endpoint(authority.identity(), silent_handler());
        Self { server, client, senders }
    }

    async fn open_stream(&self) -> (EventStream, EventSender) {
        let to = self.server.local_address();
        let stream = self.client.open_stream(to, &attach_request(), TEST_TIMEOUT).await.unwrap();
        (stream, within_timeout(self.senders.recv()).await.unwrap())
    }
}

#[test]
fn events_in_order() {
    smol::block_on(async {
        let fixture = EventFixture::start();
        let (mut stream, mut sender) = fixture.open_stream().await;
        let mut events: Vec<_> = (0..1000).map(token_event).collect();
        events.push(end_event());
        for event in &events {
            sender.send(event).await.unwrap();
        }
        for event in events {
            assert_eq!(within_timeout(stream.next()).await, Some(Ok(event)));
        }
        assert_eq!(within_timeout(stream.next()).await, None);
        let (sent, received) = (fixture.server.counters(), fixture.client.counters());
        assert_eq!(sent.payload_sent, received.payload_received);
    });
}

#[test]
fn dropped_stream() {
    // A caller disconnects, and its entry drops the stream of events. The sidecar
    // must be notified while it waits for the engine's next token, and must get an
    // error if it sends one. Otherwise the engine would generate for no caller.
    smol::block_on(async {
        let fixture = EventFixture::start();
        let (mut stream, mut sender) = fixture.open_stream().await;
        sender.send(&token_event(0)).await.unwrap();
        assert_eq!(within_timeout(stream.next()).await, Some(Ok(token_event(0))));
        let gone = sender.requester_gone();
        drop(stream);
        within_timeout(gone).await;
        let error = sender.send(&token_event(1)).await.unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
    });
}

#[test]
fn missing_end() {
    // A sidecar's task ends in the middle of an answer. The entry must get an error:
    // otherwise a truncated answer would count as complete.
    smol::block_on(async {
        let fixture = EventFixture::start();
        let (mut stream, mut sender) = fixture.open_stream().await;
        sender.send(&token_event(0)).await.unwrap();
        drop(sender);
        assert_eq!(within_timeout(stream.next()).await, Some(Ok(token_event(0))));
        let error = within_timeout(stream.next()).await.unwrap().unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        assert!(!error.definitely_not_handled());
        assert_eq!(within_timeout(stream.next()).await, None);
    });
}

#[test]
fn partial_send() {
    // The requester reads slowly, and the sidecar drops a send that waits for it.
    // Only a part of the event was sent: the bytes of a later event would be decoded
    // as the rest of the first, and the caller would get corrupt data.
    smol::block_on(async {
        let fixture = EventFixture::start();
        let (mut stream, mut sender) = fixture.open_stream().await;
        let large = DispatchEvent::Piece { at: 0, tokens: 0, data: vec![7; 4 << 20] };
        assert!(futures_lite::future::poll_once(sender.send(&large)).await.is_none());
        let error = within_timeout(sender.send(&token_event(1))).await.unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        drop(sender);
        let error = within_timeout(stream.next()).await.unwrap().unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
    });
}
