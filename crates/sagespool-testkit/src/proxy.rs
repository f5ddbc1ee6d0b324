//! A proxy between processes that injects network faults, pair by pair.
//!
//! One proxy holds all links of a test: TCP from processes to the platform and
//! to upstreams, UDP between processes. Both ends of a link have names, and
//! every fault is put on a pair of names at any time.
//!
//! ```
//! use sagespool_testkit::FaultProxy;
//!
//! let proxy = FaultProxy::start()?;
//! let store = "127.0.0.1:4100".parse().expect("an address");
//! let address = proxy.tcp_link("entry-1", "store", store)?;
//! proxy.cut("entry-1", "store");
//! assert!(address.ip().is_loopback());
//! # Ok::<(), error_stack::Report<sagespool_testkit::StartError>>(())
//! ```

mod delay_queue;
mod packet_action;
mod table;
mod tcp;
mod threads;
mod udp;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;

use crate::loopback_server::StartError;
use delay_queue::DelayQueue;
use table::FaultTable;
use tcp::TcpLink;
use threads::ProxyThreads;
use udp::{SenderTable, UdpLink};

pub use table::PairBytes;

/// A running proxy. Dropping it closes every link and connection.
pub struct FaultProxy {
    table: Arc<FaultTable>,
    senders: Arc<SenderTable>,
    delay_queue: DelayQueue,
    threads: ProxyThreads,
}

impl FaultProxy {
    /// Starts without links on threads of its own.
    pub fn start() -> Result<Self, Report<StartError>> {
        let threads = ProxyThreads::start()?;
        let delay_queue = DelayQueue::start(&threads.spawner());
        Ok(Self { table: Arc::default(), senders: Arc::default(), delay_queue, threads })
    }

    /// A TCP link; returns the address at which `from` reaches `to`.
    pub fn tcp_link(
        &self,
        from: &str,
        to: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, Report<StartError>> {
        TcpLink::start(&self.table, &self.threads.spawner(), (from, to), target)
    }

    /// A UDP link; returns the address at which every registered sender reaches `to`.
    ///
    /// Packets of a sender that isn't registered go nowhere, so that no
    /// packet passes a cut by having no name.
    pub fn udp_link(&self, to: &str, target: SocketAddr) -> Result<SocketAddr, Report<StartError>> {
        UdpLink::start(
            &self.table,
            &self.senders,
            &self.delay_queue,
            &self.threads.spawner(),
            (to, target),
        )
    }

    /// Says which process sends its UDP packets from an address. A process
    /// that restarts at another address is registered again.
    pub fn register_sender(&self, name: &str, address: SocketAddr) {
        self.senders.register(name, address);
    }

    /// Packets that came from an address without a name and went nowhere.
    pub fn unregistered_packets(&self) -> u64 {
        self.senders.unregistered_packets()
    }

    /// Lets nothing through between the two, in either direction. TCP
    /// connections stay open and what is sent on them is swallowed.
    pub fn cut(&self, a: &str, b: &str) {
        self.table.change_both(a, b, |faults| faults.cut = true);
    }

    /// Lets nothing through from one to the other; the way back stays open.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.table.change(from, to, |faults| faults.cut = true);
    }

    /// Cuts every name of one group from every name of the other.
    pub fn cut_groups(&self, group: &[&str], others: &[&str]) {
        for (a, b) in pairs_of(group, others) {
            self.cut(a, b);
        }
    }

    /// Takes back a cut, in both directions. TCP connections that lost bytes
    /// to the cut are then reset, as what follows would leave a hole.
    pub fn heal(&self, a: &str, b: &str) {
        self.table.change_both(a, b, |faults| faults.cut = false);
    }

    /// Takes back a cut in one direction. Connections that lost bytes to a
    /// cut are reset once neither direction is cut.
    pub fn heal_one_way(&self, from: &str, to: &str) {
        self.table.change(from, to, |faults| faults.cut = false);
    }

    /// Takes back a cut of groups.
    pub fn heal_groups(&self, group: &[&str], others: &[&str]) {
        for (a, b) in pairs_of(group, others) {
            self.heal(a, b);
        }
    }

    /// Takes back every fault of every pair.
    pub fn heal_all(&self) {
        self.table.clear();
    }

    /// Delays what passes between the two, each way; zero takes it back.
    pub fn delay(&self, a: &str, b: &str, delay: Duration) {
        self.table.change_both(a, b, |faults| faults.delay = delay);
    }

    /// Drops a share, 0 to 1, of the UDP packets between the two.
    pub fn drop_share(&self, a: &str, b: &str, share: f64) {
        self.table.change_both(a, b, |faults| faults.drop_share = share);
    }

    /// Holds a share, 0 to 1, of the UDP packets back until later ones have passed.
    pub fn reorder_share(&self, a: &str, b: &str, share: f64) {
        self.table.change_both(a, b, |faults| faults.reorder_share = share);
    }

    /// Delivers a share, 0 to 1, of the UDP packets between the two twice.
    pub fn duplicate_share(&self, a: &str, b: &str, share: f64) {
        self.table.change_both(a, b, |faults| faults.duplicate_share = share);
    }

    /// Resets every open TCP connection between the two, whoever opened it.
    pub fn break_connections(&self, a: &str, b: &str) {
        self.table.break_both(a, b);
    }

    /// What was carried and lost from one to the other.
    pub fn bytes(&self, from: &str, to: &str) -> PairBytes {
        self.table.pair(from, to).bytes()
    }
}

fn pairs_of<'a>(
    group: &'a [&'a str],
    others: &'a [&'a str],
) -> impl Iterator<Item = (&'a str, &'a str)> {
    group.iter().flat_map(|a| others.iter().map(|b| (*a, *b)))
}
