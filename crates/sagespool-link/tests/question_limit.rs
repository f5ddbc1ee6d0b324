//! A limit on the questions that a peer may have open at once.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sagespool_messages::PeerReply;
use support::{PATIENCE, TestAuthority, deaf, endpoint, handler, question};

/// A process that allows two questions at a time gets a third only once one is answered; none is
/// lost.
#[test]
fn third_waits() {
    const ALLOWED: usize = 2;
    const COUNT: usize = 12;
    smol::block_on(async {
        let authority = TestAuthority::new();
        let (now, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let counting = {
            let (now, most) = (now.clone(), most.clone());
            handler(move |call| {
                let (now, most) = (now.clone(), most.clone());
                async move {
                    most.fetch_max(now.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    smol::future::yield_now().await;
                    now.fetch_sub(1, Ordering::SeqCst);
                    call.responder.reply(PeerReply::Done).await;
                }
            })
        };
        let server =
            endpoint(authority.identity().with_max_concurrent_requests(ALLOWED as u32), counting);
        let client = endpoint(authority.identity(), deaf());
        let to = server.local_address();
        let asked: Vec<_> = (0..COUNT)
            .map(|_| {
                let client = client.clone();
                smol::spawn(async move { client.request(to, &question(), PATIENCE * 2).await })
            })
            .collect();
        for ask in asked {
            assert_eq!(ask.await, Ok(PeerReply::Done));
        }
        let most = most.load(Ordering::SeqCst);
        assert!(most <= ALLOWED, "{most} at once");
    });
}

/// Many processes connect to one at the same time, as all do to the first gateways of a fleet when
/// power returns. Room set aside for the questions of a sidecar's entry filled the memory of a small
/// machine then.
#[test]
fn little_memory() {
    const CALLERS: usize = 12;
    const MOST_MEGABYTES: u64 = 6;
    smol::block_on(async {
        let authority = TestAuthority::new();
        let identity = || authority.identity().with_max_concurrent_requests(128);
        let done = handler(|call| async move { call.responder.reply(PeerReply::Done).await });
        let server = endpoint(identity(), done);
        let clients: Vec<_> = (0..CALLERS).map(|_| endpoint(identity(), deaf())).collect();
        let before = resident_megabytes();
        for client in &clients {
            let asked = client.request(server.local_address(), &question(), PATIENCE).await;
            assert_eq!(asked, Ok(PeerReply::Done));
        }
        let grown = resident_megabytes() - before;
        assert!(grown <= MOST_MEGABYTES, "{grown} MB for {CALLERS} connections, both sides");
    });
}

/// The memory of this test's process.
fn resident_megabytes() -> u64 {
    const PAGES_A_MEGABYTE: u64 = 256;
    let text = std::fs::read_to_string("/proc/self/statm").expect("the system tells it");
    let pages = text.split(' ').nth(1).expect("the second field is what is resident");
    pages.parse::<u64>().expect("a number of pages") / PAGES_A_MEGABYTE
}
