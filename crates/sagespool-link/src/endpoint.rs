//! The link of one process: one UDP socket, its connections and its server.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use sagespool_messages::{DispatchEvent, PeerReply, PeerRequest};

use crate::{LinkCounters, LinkError, LinkIdentity, PeerHandler};

/// One process's link to its peers. Clones share it.
#[derive(Clone)]
pub struct LinkEndpoint {
    address: SocketAddr,
    _handler: PeerHandler,
}

impl LinkEndpoint {
    /// Starts to listen and to serve; `handler` is called for each request.
    pub fn start(
        listen: SocketAddr,
        identity: LinkIdentity,
        handler: PeerHandler,
    ) -> Result<Self, Report<LinkError>> {
        let _ = identity;
        Ok(Self { address: listen, _handler: handler })
    }

    /// The address it listens at.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its one reply.
    pub async fn ask(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        time_left: Duration,
    ) -> Result<PeerReply, LinkError> {
        let _ = (request, time_left);
        Err(LinkError::Unreachable { peer: to, detail: "the link is not built yet".to_owned() })
    }

    /// Sends a request that is answered by a stream of events.
    pub async fn open(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        time_left: Duration,
    ) -> Result<EventStream, LinkError> {
        let _ = (request, time_left);
        Err(LinkError::Unreachable { peer: to, detail: "the link is not built yet".to_owned() })
    }

    /// Uses another identity for new connections.
    pub fn renew(&self, identity: LinkIdentity) {
        let _ = identity;
    }

    /// What went over the link so far.
    pub fn counters(&self) -> LinkCounters {
        LinkCounters::default()
    }

    /// Ends all connections.
    pub async fn close(&self) {}
}

/// The events that answer a request.
#[derive(Debug)]
pub struct EventStream {}

impl EventStream {
    /// The next event, or nothing after the end.
    pub async fn next(&mut self) -> Option<Result<DispatchEvent, LinkError>> {
        None
    }
}
