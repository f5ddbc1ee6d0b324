//! Free ports for processes that must know theirs before they start.

use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::ops::RangeInclusive;
use std::sync::{LazyLock, Mutex};

/// Ports below those that the system gives to connections that go out (32,768 and up by default).
/// A process that is down for a while would otherwise find its port taken by such a connection when
/// it is started again.
const PORT_RANGE: RangeInclusive<u16> = 10_000..=32_000;
/// So many ports may be held by others, or have been handed out before.
const MAX_ATTEMPTS: usize = 1_000;

/// None is handed out twice in one test process.
static ALLOCATED: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// A TCP port on 127.0.0.1 that nobody holds.
pub fn free_tcp_port() -> io::Result<u16> {
    allocate_port(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).map(drop))
}

/// A UDP port on 127.0.0.1 that nobody holds.
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
