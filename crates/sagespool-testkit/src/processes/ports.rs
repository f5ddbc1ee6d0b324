//! Free ports for processes whose port has to be known before they start.

use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::ops::RangeInclusive;
use std::sync::{LazyLock, Mutex};

/// Below the range of ephemeral ports (32,768 and up by default). Otherwise an outgoing connection
/// could take the port of a process that is down before it is restarted.
const PORT_RANGE: RangeInclusive<u16> = 10_000..=32_000;
/// Candidates to try; some may be in use or allocated already.
const MAX_ATTEMPTS: usize = 1_000;

/// Ports allocated in this test process; none is allocated twice.
static ALLOCATED: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// A free TCP port on 127.0.0.1.
pub fn free_tcp_port() -> io::Result<u16> {
    allocate_port(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).map(drop))
}

/// A free UDP port on 127.0.0.1.
pub fn free_udp_port() -> io::Result<u16> {
    allocate_port(|port| UdpSocket::bind((Ipv4Addr::LOCALHOST, port)).map(drop))
}

fn allocate_port(probe: impl Fn(u16) -> io::Result<()>) -> io::Result<u16> {
    for _ in 0..MAX_ATTEMPTS {
        let port = fastrand::u16(PORT_RANGE);
        let mut allocated = ALLOCATED.lock().expect("no holder of the ports' lock panics");
        if probe(port).is_ok() && allocated.insert(port) {
            return Ok(port);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
