//! The limit on the requests that a peer may have open at once.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sagespool_messages::PeerReply;
use support::{TEST_TIMEOUT, TestAuthority, endpoint, handler, silent_handler, status_request};

/// A process that allows two concurrent requests receives a third only after a reply to one of
/// them; no request is lost.
#[test]
fn excess_requests_wait() {
    const MAX_REQUESTS: usize = 2;
    const REQUESTS: usize = 12;
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (running, max_running) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let counting = {
            let (running, max_running) = (running.clone(), max_running.clone());
            handler(move |call| {
                let (running, max_running) = (running.clone(), max_running.clone());
                async move {
                    max_running
                        .fetch_max(running.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    smol::future::yield_now().await;
                    running.fetch_sub(1, Ordering::SeqCst);
                    call.responder.reply(PeerReply::Done).await;
                }
            })
        };
        let server = endpoint(
            authority.identity().with_max_concurrent_requests(MAX_REQUESTS as u32),
            counting,
        );
        let client = endpoint(authority.identity(), silent_handler());
        let to = server.local_address();
        let replies: Vec<_> = (0..REQUESTS)
            .map(|_| {
                let client = client.clone();
                smol::spawn(
                    async move { client.request(to, &status_request(), TEST_TIMEOUT * 2).await },
                )
            })
            .collect();
        for reply in replies {
            assert_eq!(reply.await, Ok(PeerReply::Done));
        }
        let max_running = max_running.load(Ordering::SeqCst);
        assert!(max_running <= MAX_REQUESTS, "{max_running} at once");
    });
}

/// Many processes connect to one at the same time, as to the first gateways of a fleet after a
/// power failure. With connections sized for the requests between an entry and a sidecar, a small
/// machine ran out of memory.
#[test]
fn memory_per_connection() {
    const CALLERS: usize = 12;
    const MAX_MEGABYTES: u64 = 6;
    smol::block_on(async {
        let authority = TestAuthority::new();
        let identity = || authority.identity().with_max_concurrent_requests(128);
        let done = handler(|call| async move { call.responder.reply(PeerReply::Done).await });
        let server = endpoint(identity(), done);
        let clients: Vec<_> =
            (0..CALLERS).map(|_| endpoint(identity(), silent_handler())).collect();
        let before = resident_megabytes();
        for client in &clients {
            let reply =
                client.request(server.local_address(), &status_request(), TEST_TIMEOUT).await;
            assert_eq!(reply, Ok(PeerReply::Done));
        }
        let grown = resident_megabytes() - before;
        assert!(grown <= MAX_MEGABYTES, "{grown} MB for {CALLERS} connections, both sides");
    });
}

/// The resident memory of this process, in MB.
fn resident_megabytes() -> u64 {
    const PAGES_PER_MEGABYTE: u64 = 256;
    let text = std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages = text.split(' ').nth(1).expect("the second field is the resident size");
    pages.parse::<u64>().expect("a number of pages") / PAGES_PER_MEGABYTE
}
