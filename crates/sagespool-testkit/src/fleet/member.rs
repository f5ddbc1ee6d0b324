//! One process of a fleet.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use sagespool_types::{CentreName, InstanceName, ServiceName, UpstreamName};

use super::FleetFault;
use crate::processes::ChildProcess;

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
}

/// Two addresses of the system's choice, one for HTTP (TCP) and one for the link (UDP).
pub(super) fn free_addresses() -> Result<(SocketAddr, SocketAddr), Report<FleetFault>> {
    let fault = || FleetFault::new("asking for free ports");
    let any = (Ipv4Addr::LOCALHOST, 0);
    let tcp = TcpListener::bind(any).and_then(|listener| listener.local_addr());
    let udp = UdpSocket::bind(any).and_then(|socket| socket.local_addr());
    Ok((tcp.change_context_lazy(fault)?, udp.change_context_lazy(fault)?))
}
