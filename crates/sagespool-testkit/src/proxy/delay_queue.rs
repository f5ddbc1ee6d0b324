//! A queue of UDP packets that are delivered after a delay.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;

use super::threads::TaskSpawner;
use super::udp::UdpPath;

/// A queued packet, ordered by its delivery time.
pub(super) struct DelayedPacket {
    pub(super) due: Instant,
    pub(super) path: Arc<UdpPath>,
    pub(super) packet: Vec<u8>,
}

impl PartialEq for DelayedPacket {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for DelayedPacket {}

impl PartialOrd for DelayedPacket {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedPacket {
    fn cmp(&self, other: &Self) -> Ordering {
        self.due.cmp(&other.due)
    }
}

/// A handle to the delay queue; one queue serves a whole proxy.
#[derive(Clone)]
pub(super) struct DelayQueue {
    sender: Sender<DelayedPacket>,
}

impl DelayQueue {
    pub(super) fn start(spawner: &TaskSpawner) -> Self {
        let (sender, arrivals) = async_channel::unbounded();
        spawner.spawn(deliver_when_due(arrivals));
        Self { sender }
    }

    pub(super) fn push(&self, delayed: DelayedPacket) {
        // Fails only after the proxy has been dropped, when no packets are delivered any more.
        let _ = self.sender.try_send(delayed);
    }
}

async fn deliver_when_due(arrivals: Receiver<DelayedPacket>) {
    let mut queue = BinaryHeap::new();
    loop {
        let next_due = queue.peek().map(|Reverse(next): &Reverse<DelayedPacket>| next.due);
        match next_arrival(&arrivals, next_due).await {
            QueueEvent::Arrived(delayed) => queue.push(Reverse(delayed)),
            QueueEvent::Due => {}
            QueueEvent::Ended => return,
        }
        deliver_due(&mut queue, Instant::now());
    }
}

enum QueueEvent {
    Arrived(DelayedPacket),
    Due,
    Ended,
}

async fn next_arrival(arrivals: &Receiver<DelayedPacket>, due: Option<Instant>) -> QueueEvent {
    let arrived = async {
        match arrivals.recv().await {
            Ok(delayed) => QueueEvent::Arrived(delayed),
            Err(_) => QueueEvent::Ended,
        }
    };
    let Some(due) = due else { return arrived.await };
    let passed = async {
        Timer::at(due).await;
        QueueEvent::Due
    };
    passed.or(arrived).await
}

fn deliver_due(queue: &mut BinaryHeap<Reverse<DelayedPacket>>, now: Instant) {
    while queue.peek().is_some_and(|Reverse(next)| next.due <= now) {
        let Some(Reverse(next)) = queue.pop() else { return };
        next.path.deliver(&next.packet);
    }
}
