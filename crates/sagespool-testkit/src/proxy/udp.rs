//! UDP links: each sender has its own forwarding socket towards each target.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use error_stack::{Report, ResultExt};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use smol::Async;

use super::delay_queue::{DelayQueue, DelayedPacket};
use super::packet_action::decide_packet;
use super::table::{DirectedPair, FaultTable};
use super::threads::TaskSpawner;
use crate::loopback_server::StartError;

/// Largest payload of a UDP packet.
const MAX_PACKET_BYTES: usize = 65_535;

/// Receive buffer for bursts; the operating system may grant less.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// The names of senders by their addresses.
#[derive(Debug, Default)]
pub(super) struct SenderTable {
    names: Mutex<HashMap<SocketAddr, Arc<str>>>,
    unregistered: AtomicU64,
}

impl SenderTable {
    pub(super) fn register(&self, name: &str, address: SocketAddr) {
        let mut names = self.names.lock().expect("no holder of the senders' lock panics");
        names.insert(address, name.into());
    }

    pub(super) fn unregistered_packets(&self) -> u64 {
        self.unregistered.load(Ordering::Relaxed)
    }

    fn name_of(&self, address: SocketAddr) -> Option<Arc<str>> {
        let names = self.names.lock().expect("no holder of the senders' lock panics");
        let name = names.get(&address).cloned();
        if name.is_none() {
            self.unregistered.fetch_add(1, Ordering::Relaxed);
        }
        name
    }
}

/// One direction of a flow: its sending socket and its destination.
pub(super) struct UdpPath {
    pair: Arc<DirectedPair>,
    socket: Arc<Async<UdpSocket>>,
    to: SocketAddr,
}

impl UdpPath {
    /// Sends a packet unless the pair is cut. If the buffer is full it is lost, as usual for UDP.
    pub(super) fn deliver(&self, packet: &[u8]) {
        let passes = !self.pair.is_cut();
        if passes && self.socket.get_ref().send_to(packet, self.to).is_ok() {
            self.pair.count_carried(packet.len());
        } else {
            self.pair.count_lost(packet.len());
        }
    }
}

/// A UDP link: the address at which all senders reach one process.
pub(super) struct UdpLink {
    table: Arc<FaultTable>,
    senders: Arc<SenderTable>,
    delay_queue: DelayQueue,
    spawner: TaskSpawner,
    to: Arc<str>,
    target: SocketAddr,
    ingress: Arc<Async<UdpSocket>>,
}

impl UdpLink {
    pub(super) fn start(
        table: &Arc<FaultTable>,
        senders: &Arc<SenderTable>,
        delay_queue: &DelayQueue,
        spawner: &TaskSpawner,
        (to, target): (&str, SocketAddr),
    ) -> Result<SocketAddr, Report<StartError>> {
        let failed = || StartError { component: "a UDP link" };
        let ingress = bind_loopback().change_context_lazy(failed)?;
        let address = ingress.get_ref().local_addr().change_context_lazy(failed)?;
        let link = Self {
            table: table.clone(),
            senders: senders.clone(),
            delay_queue: delay_queue.clone(),
            spawner: spawner.clone(),
            to: to.into(),
            target,
            ingress: Arc::new(ingress),
        };
        spawner.spawn(link.relay());
        Ok(address)
    }

    /// Receives and forwards packets, with one flow per sender.
    async fn relay(self) {
        let mut flows = HashMap::new();
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        loop {
            let Ok((length, source)) = self.ingress.recv_from(&mut buffer).await else { return };
            let Some(name) = self.senders.name_of(source) else { continue };
            // The name is part of the key because an address can be reused by another process.
            let key = (source, name);
            if !flows.contains_key(&key) {
                // Without a socket the packet is lost; the next one tries again.
                let Ok(forward) = self.open_flow(&key.1, source) else { continue };
                flows.insert(key.clone(), Arc::new(forward));
            }
            if let Some(forward) = flows.get(&key) {
                forward_packet(forward, &buffer[..length], &self.delay_queue);
            }
        }
    }

    /// Opens a flow and starts its reverse direction.
    fn open_flow(&self, name: &str, source: SocketAddr) -> io::Result<UdpPath> {
        let socket = Arc::new(bind_loopback()?);
        let forward = UdpPath {
            pair: self.table.pair(name, &self.to),
            socket: socket.clone(),
            to: self.target,
        };
        let reverse = UdpPath {
            pair: self.table.pair(&self.to, name),
            socket: self.ingress.clone(),
            to: source,
        };
        self.spawner.spawn(relay_reverse(
            socket,
            self.target,
            Arc::new(reverse),
            self.delay_queue.clone(),
        ));
        Ok(forward)
    }
}

/// Relays the target's packets to the sender, from the address that the sender uses.
async fn relay_reverse(
    socket: Arc<Async<UdpSocket>>,
    target: SocketAddr,
    reverse: Arc<UdpPath>,
    delay_queue: DelayQueue,
) {
    let mut buffer = vec![0; MAX_PACKET_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else { return };
        if source == target {
            forward_packet(&reverse, &buffer[..length], &delay_queue);
        }
    }
}

fn forward_packet(path: &Arc<UdpPath>, packet: &[u8], delay_queue: &DelayQueue) {
    path.pair.count_entered(packet.len());
    let action = decide_packet(&path.pair.faults(), fastrand::f64);
    if action.copies == 0 {
        path.pair.count_lost(packet.len());
    }
    for _ in 0..action.copies {
        if action.delay.is_zero() {
            path.deliver(packet);
            continue;
        }
        let due = Instant::now() + action.delay;
        let packet = packet.to_vec();
        delay_queue.push(DelayedPacket { due, path: path.clone(), packet });
    }
}

fn bind_loopback() -> io::Result<Async<UdpSocket>> {
    let socket = Async::<UdpSocket>::bind((Ipv4Addr::LOCALHOST, 0))?;
    set_socket_recv_buffer_size(socket.get_ref(), RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}
