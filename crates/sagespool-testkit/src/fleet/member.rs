//! One process of a fleet.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use sagespool_types::{CentreName, InstanceName, ServiceName, UpstreamName};

use super::FleetError;
use crate::processes::ChildProcess;

/// The end of a log that is shown.
const LOG_TAIL_LINES: usize = 60;

/// One process of a fleet, running or not.
#[derive(Debug)]
pub struct FleetMember {
    /// The instance's name.
    pub instance: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// Where it serves HTTP.
    pub http: SocketAddr,
    /// Where its link listens.
    pub link: SocketAddr,
    /// Where others reach its link: the fault proxy, if there is one.
    pub advertised: SocketAddr,
    /// The upstream beside it and the service that it belongs to, for a sidecar.
    pub upstream: Option<(UpstreamName, ServiceName)>,
    /// Its settings file.
    pub settings: PathBuf,
    /// Where its log goes, over all of its runs.
    pub log: PathBuf,
    /// Its process, while one runs.
    pub process: Option<ChildProcess>,
}

impl FleetMember {
    /// True for an entry.
    pub fn is_entry(&self) -> bool {
        self.upstream.is_none()
    }

    /// The last lines of its log, for whoever looks into a failure.
    pub fn log_tail(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let shown = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
        format!("--- {} ---\n{}", self.instance, shown.join("\n"))
    }
}

/// Two addresses of the system's choice, one for HTTP (TCP) and one for the link (UDP).
///
/// They are free for as long as it takes a process to start, or to start again, and by then another
/// fleet on the machine, or any outgoing connection, may have been given the port. So each pair is
/// on a loopback address of its own, taken at random, where nobody else asks for ports.
pub(super) fn free_addresses() -> Result<(SocketAddr, SocketAddr), Report<FleetError>> {
    let fault = || FleetError::new("asking for free ports");
    let own = Ipv4Addr::new(127, fastrand::u8(1..=254), fastrand::u8(..), fastrand::u8(1..=254));
    let tcp = TcpListener::bind((own, 0)).and_then(|listener| listener.local_addr());
    let udp = UdpSocket::bind((own, 0)).and_then(|socket| socket.local_addr());
    Ok((tcp.change_context_lazy(fault)?, udp.change_context_lazy(fault)?))
}
