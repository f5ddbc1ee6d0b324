//! A process of a fleet.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use sagespool_types::{CentreName, InstanceName, ServiceName, UpstreamName};

use super::FleetError;
use crate::processes::ChildProcess;

/// Number of lines returned by `log_tail`.
const LOG_TAIL_LINES: usize = 60;

/// A process of a fleet, running or stopped.
#[derive(Debug)]
pub struct FleetMember {
    /// Instance name.
    pub instance: InstanceName,
    /// Data centre of the instance.
    pub centre: CentreName,
    /// Listen address of the HTTP server.
    pub http: SocketAddr,
    /// Listen address of the link.
    pub link: SocketAddr,
    /// Address at which others reach the link: that of the fault proxy if the fleet is proxied.
    pub advertised: SocketAddr,
    /// For a sidecar: its upstream and the upstream's service.
    pub upstream: Option<(UpstreamName, ServiceName)>,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Path of the log file; all runs append to it.
    pub log: PathBuf,
    /// The running process; none while stopped.
    pub process: Option<ChildProcess>,
}

impl FleetMember {
    /// True for an entry, false for a sidecar.
    pub fn is_entry(&self) -> bool {
        self.upstream.is_none()
    }

    /// The last lines of the log, for failure reports.
    pub fn log_tail(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let shown = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
        format!("--- {} ---\n{}", self.instance, shown.join("\n"))
    }
}

/// Two free addresses, one for HTTP (TCP) and one for the link (UDP).
///
/// The ports are unreserved until the process has started, also at each restart. Meanwhile another
/// fleet on the machine or an outgoing connection could take them. So each pair is on a random
/// loopback address of its own, where no one else uses ports.
pub(super) fn free_addresses() -> Result<(SocketAddr, SocketAddr), Report<FleetError>> {
    let fault = || FleetError::new("finding free ports");
    let loopback =
        Ipv4Addr::new(127, fastrand::u8(1..=254), fastrand::u8(..), fastrand::u8(1..=254));
    let tcp = TcpListener::bind((loopback, 0)).and_then(|listener| listener.local_addr());
    let udp = UdpSocket::bind((loopback, 0)).and_then(|socket| socket.local_addr());
    Ok((tcp.change_context_lazy(fault)?, udp.change_context_lazy(fault)?))
}
