//! UDP links: each sender has a forwarding socket of its own towards each target.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use error_stack::{Report, ResultExt};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use smol::Async;

use super::delay_line::{DelayLine, DelayedPacket};
use super::fate::packet_fate;
use super::table::{DirectedPair, FaultTable};
use super::threads::TaskSpawner;
use crate::loopback_server::StartError;

/// The largest payload of a UDP packet, in bytes.
const LARGEST_PACKET: usize = 65_535;

/// Room for bursts, in bytes; the system may grant less.
const RECEIVE_BUFFER: usize = 4 << 20;

/// Which process sends from which address.
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

/// One direction of one flow: where packets leave and where they go.
pub(super) struct UdpPath {
    pair: Arc<DirectedPair>,
    socket: Arc<Async<UdpSocket>>,
    to: SocketAddr,
}

impl UdpPath {
    /// Sends a packet on, unless the pair is cut. A full buffer loses it, as UDP does.
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
    delay_line: DelayLine,
    spawner: TaskSpawner,
    to: Arc<str>,
    target: SocketAddr,
    entrance: Arc<Async<UdpSocket>>,
}

impl UdpLink {
    pub(super) fn start(
        table: &Arc<FaultTable>,
        senders: &Arc<SenderTable>,
        delay_line: &DelayLine,
        spawner: &TaskSpawner,
        (to, target): (&str, SocketAddr),
    ) -> Result<SocketAddr, Report<StartError>> {
        let failed = || StartError { stand: "a UDP link" };
        let entrance = bind_loopback().change_context_lazy(failed)?;
        let address = entrance.get_ref().local_addr().change_context_lazy(failed)?;
        let link = Self {
            table: table.clone(),
            senders: senders.clone(),
            delay_line: delay_line.clone(),
            spawner: spawner.clone(),
            to: to.into(),
            target,
            entrance: Arc::new(entrance),
        };
        spawner.spawn(link.carry());
        Ok(address)
    }

    /// Takes packets in, one flow for each sender.
    async fn carry(self) {
        let mut flows = HashMap::new();
        let mut buffer = vec![0; LARGEST_PACKET];
        loop {
            let Ok((length, source)) = self.entrance.recv_from(&mut buffer).await else { return };
            let Some(name) = self.senders.name_of(source) else { continue };
            // Under the name as well: an address may go over to another process.
            let key = (source, name);
            if !flows.contains_key(&key) {
                // Without a socket the packet is lost, and the next one tries again.
                let Ok(there) = self.open_flow(&key.1, source) else { continue };
                flows.insert(key.clone(), Arc::new(there));
            }
            if let Some(there) = flows.get(&key) {
                pass_on(there, &buffer[..length], &self.delay_line);
            }
        }
    }

    /// Opens the way there and starts the way back.
    fn open_flow(&self, name: &str, source: SocketAddr) -> io::Result<UdpPath> {
        let socket = Arc::new(bind_loopback()?);
        let there = UdpPath {
            pair: self.table.pair(name, &self.to),
            socket: socket.clone(),
            to: self.target,
        };
        let back = UdpPath {
            pair: self.table.pair(&self.to, name),
            socket: self.entrance.clone(),
            to: source,
        };
        self.spawner.spawn(carry_back(
            socket,
            self.target,
            Arc::new(back),
            self.delay_line.clone(),
        ));
        Ok(there)
    }
}

/// Takes the target's packets back to the sender, from the address that the sender knows.
async fn carry_back(
    socket: Arc<Async<UdpSocket>>,
    target: SocketAddr,
    back: Arc<UdpPath>,
    delay_line: DelayLine,
) {
    let mut buffer = vec![0; LARGEST_PACKET];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else { return };
        if source == target {
            pass_on(&back, &buffer[..length], &delay_line);
        }
    }
}

fn pass_on(path: &Arc<UdpPath>, packet: &[u8], delay_line: &DelayLine) {
    path.pair.count_entered(packet.len());
    let fate = packet_fate(&path.pair.faults(), fastrand::f64);
    if fate.copies == 0 {
        path.pair.count_lost(packet.len());
    }
    for _ in 0..fate.copies {
        if fate.delay.is_zero() {
            path.deliver(packet);
            continue;
        }
        let due = Instant::now() + fate.delay;
        let packet = packet.to_vec();
        delay_line.enter(DelayedPacket { due, path: path.clone(), packet });
    }
}

fn bind_loopback() -> io::Result<Async<UdpSocket>> {
    let socket = Async::<UdpSocket>::bind((Ipv4Addr::LOCALHOST, 0))?;
    set_socket_recv_buffer_size(socket.get_ref(), RECEIVE_BUFFER)?;
    Ok(socket)
}
