//! A proxy between processes that injects network faults per pair of names.
//!
//! One proxy carries all links of a test: TCP from processes to the platform and to upstreams,
//! UDP between processes. Both ends of a link have names, and faults of a pair of names can be
//! changed at any time.
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

/// A running proxy. Dropping it closes all links and connections.
pub struct FaultProxy {
    table: Arc<FaultTable>,
    senders: Arc<SenderTable>,
    delay_queue: DelayQueue,
    threads: ProxyThreads,
}

impl FaultProxy {
    /// Starts a proxy without links, on its own threads.
    pub fn start() -> Result<Self, Report<StartError>> {
        let threads = ProxyThreads::start()?;
        let delay_queue = DelayQueue::start(&threads.spawner());
        Ok(Self { table: Arc::default(), senders: Arc::default(), delay_queue, threads })
    }

    /// Opens a TCP link; returns the address at which `from` reaches `to`.
    pub fn tcp_link(
        &self,
        from: &str,
        to: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, Report<StartError>> {
        TcpLink::start(&self.table, &self.threads.spawner(), (from, to), target)
    }

    /// Opens a UDP link; returns the address at which all registered senders reach `to`.
    ///
    /// Packets of unregistered senders are dropped, so that no packet bypasses a cut.
    pub fn udp_link(&self, to: &str, target: SocketAddr) -> Result<SocketAddr, Report<StartError>> {
        UdpLink::start(
            &self.table,
            &self.senders,
            &self.delay_queue,
            &self.threads.spawner(),
            (to, target),
        )
    }

    /// Registers the address from which a process sends UDP packets. A process that restarts at
    /// another address has to be registered again.
    pub fn register_sender(&self, name: &str, address: SocketAddr) {
        self.senders.register(name, address);
    }

    /// Number of packets dropped because their sender was not registered.
    pub fn unregistered_packets(&self) -> u64 {
        self.senders.unregistered_packets()
    }

    /// Blocks all traffic between the two, in both directions. TCP connections stay open, and data
    /// sent on them is discarded.
    pub fn cut(&self, a: &str, b: &str) {
        self.table.change_both(a, b, |faults| faults.cut = true);
    }

    /// Blocks all traffic in one direction; the reverse direction stays open.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.table.change(from, to, |faults| faults.cut = true);
    }

    /// Blocks all traffic between two groups.
    pub fn cut_groups(&self, group: &[&str], others: &[&str]) {
        for (a, b) in pairs_of(group, others) {
            self.cut(a, b);
        }
    }

    /// Removes a cut, in both directions. TCP connections that lost data to the cut are reset, as
    /// their streams would have gaps.
    pub fn heal(&self, a: &str, b: &str) {
        self.table.change_both(a, b, |faults| faults.cut = false);
    }

    /// Removes a cut in one direction. Connections that lost data to a cut are reset once neither
    /// direction is cut.
    pub fn heal_one_way(&self, from: &str, to: &str) {
        self.table.change(from, to, |faults| faults.cut = false);
    }

    /// Removes a cut between two groups.
    pub fn heal_groups(&self, group: &[&str], others: &[&str]) {
        for (a, b) in pairs_of(group, others) {
            self.heal(a, b);
        }
    }

    /// Removes all faults of all pairs.
    pub fn heal_all(&self) {
        self.table.clear();
    }

    /// Sets the delay in each direction between the two; zero removes it.
    pub fn delay(&self, a: &str, b: &str, delay: Duration) {
        self.table.change_both(a, b, |faults| faults.delay = delay);
    }

    /// Drops a share, 0 to 1, of the UDP packets between the two.
    pub fn drop_share(&self, a: &str, b: &str, share: f64) {
        self.table.change_both(a, b, |faults| faults.drop_share = share);
    }

    /// Delays a share, 0 to 1, of the UDP packets between the two so that later ones overtake them.
    pub fn reorder_share(&self, a: &str, b: &str, share: f64) {
        self.table.change_both(a, b, |faults| faults.reorder_share = share);
    }

    /// Duplicates a share, 0 to 1, of the UDP packets between the two.
    pub fn duplicate_share(&self, a: &str, b: &str, share: f64) {
        self.table.change_both(a, b, |faults| faults.duplicate_share = share);
    }

    /// Resets all open TCP connections between the two, whichever side opened them.
    pub fn break_connections(&self, a: &str, b: &str) {
        self.table.break_both(a, b);
    }

    /// Payload bytes received, delivered and lost in one direction.
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
