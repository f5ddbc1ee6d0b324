//! Free ports for processes that must know theirs before they start.

use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{LazyLock, Mutex};

/// So often the system may offer a port that was handed out before.
const MOST_OFFERS: usize = 100;

/// Ports are given back to the system before the process takes them, so the
/// system may offer one again; none is handed out twice in one test process.
static HANDED_OUT: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// A TCP port on 127.0.0.1 that the system chose and nobody holds.
pub fn free_tcp_port() -> io::Result<u16> {
    new_port(|| TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr())
}

/// A UDP port on 127.0.0.1 that the system chose and nobody holds.
pub fn free_udp_port() -> io::Result<u16> {
    new_port(|| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr())
}

fn new_port(offer: impl Fn() -> io::Result<SocketAddr>) -> io::Result<u16> {
    for _ in 0..MOST_OFFERS {
        let port = offer()?.port();
        let mut handed_out = HANDED_OUT.lock().expect("no holder of the ports' lock panics");
        if handed_out.insert(port) {
            return Ok(port);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
