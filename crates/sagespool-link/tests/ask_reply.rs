//! One request, one reply.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::bounded;
use sagespool_link::{LinkEndpoint, LinkError};
use sagespool_messages::{PeerReply, PeerRequest};
use support::{
    PATIENCE, TestAuthority, UdpRelay, deaf, dispatch, endpoint, handler, loopback, question, soon,
};

/// Enough for a handshake, and short where a test waits for it to pass.
const SHORT_WHILE: Duration = Duration::from_millis(300);

#[test]
fn reply_returns() {
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (note, noted) = bounded(1);
        let noting = handler(move |call| {
            let note = note.clone();
            async move {
                let _ = note.send((call.from, call.request)).await;
                call.responder.reply(PeerReply::Unsupported("as told".to_owned())).await;
            }
        });
        let server = endpoint(authority.identity(), noting);
        let client = endpoint(authority.identity(), deaf());

        for request in [question(), dispatch(0), dispatch(4 << 20)] {
            let reply = client.request(server.local_address(), &request, PATIENCE).await;
            assert_eq!(reply, Ok(PeerReply::Unsupported("as told".to_owned())));
            let (from, handled) = noted.recv().await.unwrap();
            assert_eq!(from, client.local_address());
            assert!(handled == request, "the request changed on the way");
        }
        let sent = client.counters();
        assert!(sent.payload_sent.0 > 4 << 20 && sent.control_sent.0 < 100, "{sent:?}");
        assert_eq!(server.counters().payload_received, sent.payload_sent);
    });
}

#[test]
fn one_connection() {
    // A burst of requests to a peer that has no connection yet must not open one
    // connection each: every one costs a handshake, and a node's budget of
    // control traffic is gone. The peer's own questions use the same one.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let done = || handler(async |call| call.responder.reply(PeerReply::Done).await);
        let server = endpoint(authority.identity(), done());
        let client = endpoint(authority.identity(), done());
        let to = server.local_address();

        let ask = |client: LinkEndpoint| {
            smol::spawn(async move { client.request(to, &question(), PATIENCE).await })
        };
        let asked: Vec<_> = (0..200).map(|_| ask(client.clone())).collect();
        for ask in asked {
            assert_eq!(ask.await, Ok(PeerReply::Done));
        }
        let reply = server.request(client.local_address(), &question(), PATIENCE).await;
        assert_eq!(reply, Ok(PeerReply::Done));
        let opened = [&client, &server].map(|link| link.counters().connections_opened);
        assert_eq!(opened, [1, 1]);
    });
}

#[test]
fn nobody_there() {
    // A sidecar is gone and its address is silent. The entry must learn that the
    // request did not go out, so that it may run elsewhere without doubt, and all
    // that wait for one connection must learn it at once, not one after another.
    smol::block_on(async {
        let silent = std::net::UdpSocket::bind(loopback()).unwrap();
        let to = silent.local_addr().unwrap();
        let client = endpoint(TestAuthority::new().identity(), deaf());
        let ask = |client: LinkEndpoint| {
            smol::spawn(async move { client.request(to, &question(), PATIENCE * 2).await })
        };
        let asked: Vec<_> = (0..500).map(|_| ask(client.clone())).collect();
        for ask in asked {
            let error = soon(ask).await.unwrap_err();
            assert!(matches!(error, LinkError::Unreachable { .. }), "{error}");
            assert!(error.definitely_not_handled());
        }
        let error = client.request(to, &question(), Duration::ZERO).await.unwrap_err();
        assert!(error.definitely_not_handled(), "{error}");
    });
}

#[test]
fn reply_missing() {
    // The peer took the request and no reply came: out of time, or the handler
    // gave up. It may have run, so neither may look like "not sent".
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
        let client = endpoint(authority.identity(), deaf());
        let to = server.local_address();

        let error = client.request(to, &question(), PATIENCE).await.unwrap_err();
        assert!(matches!(error, LinkError::Interrupted { .. }), "{error}");
        assert!(!error.definitely_not_handled());

        let error = client.request(to, &dispatch(10), SHORT_WHILE).await.unwrap_err();
        assert!(matches!(error, LinkError::TimedOut { .. }), "{error}");
        assert!(!error.definitely_not_handled());
        let responder = kept.recv().await.unwrap();
        soon(responder.requester_gone()).await;
    });
}

#[test]
fn over_size() {
    // A message that no frame holds is refused before a byte of it is sent.
    smol::block_on(async {
        let client = endpoint(TestAuthority::new().identity(), deaf());
        let to = client.local_address();
        let error = client.request(to, &dispatch(9 << 20), PATIENCE).await.unwrap_err();
        assert!(matches!(error, LinkError::TooLarge { .. }), "{error}");
        assert!(error.definitely_not_handled());
        assert_eq!(client.counters().datagrams_sent, 0);
    });
}

#[test]
fn reply_over_size() {
    // A reply that no frame holds: the asker is told so, and doesn't just wait.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let verbose = handler(async |call| {
            call.responder.reply(PeerReply::Unsupported("x".repeat(9 << 20))).await;
        });
        let server = endpoint(authority.identity(), verbose);
        let client = endpoint(authority.identity(), deaf());
        let reply = client.request(server.local_address(), &question(), PATIENCE).await;
        let Ok(PeerReply::Unsupported(detail)) = reply else {
            panic!("{reply:?}");
        };
        assert!(detail.contains("over the limit"), "{detail}");
    });
}

/// Asks until a closing peer turns a request away.
async fn refused(client: &LinkEndpoint, to: SocketAddr) {
    let refusal = async {
        loop {
            match client.request(to, &question(), SHORT_WHILE).await {
                Err(error) if error.definitely_not_handled() => return,
                // Came before the close began.
                _ => continue,
            }
        }
    };
    soon(refusal).await;
}

#[test]
fn graceful_close() {
    // A process stops while it answers one request, and another request comes.
    // The first must still get its reply; the second must be told that it was
    // not handled, and must not be.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (arrived, arrivals) = bounded(10);
        let (gate, opened) = bounded::<()>(1);
        let held = handler(move |call| {
            let (arrived, opened) = (arrived.clone(), opened.clone());
            async move {
                let _ = arrived.send(()).await;
                let _ = opened.recv().await;
                call.responder.reply(PeerReply::Done).await;
            }
        });
        let server = endpoint(authority.identity(), held);
        let client = endpoint(authority.identity(), deaf());
        let to = server.local_address();
        let first = smol::spawn({
            let client = client.clone();
            async move { client.request(to, &question(), PATIENCE).await }
        });
        soon(arrivals.recv()).await.unwrap();

        let closing = smol::spawn({
            let server = server.clone();
            async move { server.close().await }
        });
        refused(&client, to).await;
        let handled = arrivals.len();
        drop(gate);
        assert_eq!(first.await, Ok(PeerReply::Done));
        soon(closing).await;
        assert_eq!(arrivals.len(), handled);
        let error = client.request(to, &question(), PATIENCE).await.unwrap_err();
        assert!(error.definitely_not_handled(), "{error}");
    });
}

#[test]
fn reply_resent() {
    // A process has answered its last request and closes. The network loses the
    // answer's datagrams just then: it must be sent again, not forgotten.
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (arrived, arrivals) = bounded(1);
        let (gate, opened) = bounded::<()>(1);
        let (note, replied) = bounded(1);
        let held = handler(move |call| {
            let (arrived, opened, note) = (arrived.clone(), opened.clone(), note.clone());
            async move {
                let _ = arrived.try_send(());
                let _ = opened.recv().await;
                call.responder.reply(PeerReply::Done).await;
                let _ = note.try_send(());
            }
        });
        let server = endpoint(authority.identity(), held);
        let relay = UdpRelay::start(server.local_address());
        let client = endpoint(authority.identity(), deaf());
        let to = relay.address();
        let asked = smol::spawn(async move { client.request(to, &question(), PATIENCE).await });
        soon(arrivals.recv()).await.unwrap();
        relay.cut(true);
        drop(gate);
        soon(replied.recv()).await.unwrap();

        let closing = smol::spawn({
            let server = server.clone();
            async move { server.close().await }
        });
        let late = endpoint(authority.identity(), deaf());
        refused(&late, server.local_address()).await;
        relay.cut(false);
        assert_eq!(asked.await, Ok(PeerReply::Done));
        soon(closing).await;
    });
}
