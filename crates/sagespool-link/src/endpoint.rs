//! The link of one process: a UDP socket, its connections and its server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use quinn::{Endpoint, SmolRuntime};
use sagespool_messages::{PeerReply, PeerRequest};
use smol::Timer;

use crate::connection::CODE_STOPPING;
use crate::counters::TrafficMeter;
use crate::exchange::{SentExchange, send_request};
use crate::frame::{FrameKind, encode_frame, request_class};
use crate::server::accept_connections;
use crate::shared::LinkShared;
use crate::socket::MeteredSocket;
use crate::{EventStream, LinkCounters, LinkError, LinkIdentity, PeerHandler};

/// Time limit for each step of closing: for calls in progress, and for the
/// connections to drain. A graceful stop ends its requests before it closes the link.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One process's link to its peers. Clones share it.
///
/// It runs on smol's global executor until it is closed; dropping it doesn't
/// close it.
#[derive(Clone)]
pub struct LinkEndpoint {
    shared: Arc<LinkShared>,
    address: SocketAddr,
}

impl LinkEndpoint {
    /// Binds the socket and serves requests; `handler` is called for each of them.
    ///
    /// Fails with [`LinkError::ListenFailed`] if the address can't be bound.
    pub fn start(
        listen: SocketAddr,
        identity: LinkIdentity,
        handler: PeerHandler,
    ) -> Result<Self, Report<LinkError>> {
        let error = || LinkError::ListenFailed { address: listen };
        let meter = Arc::new(TrafficMeter::default());
        let socket = MeteredSocket::bind(listen, meter.clone()).change_context_lazy(error)?;
        let endpoint = Endpoint::new_with_abstract_socket(
            identity.reset_key.endpoint_config(),
            Some(identity.server_config()),
            socket,
            Arc::new(SmolRuntime),
        )
        .change_context_lazy(error)?;
        let address = endpoint.local_addr().change_context_lazy(error)?;
        let shared = Arc::new(LinkShared::new(endpoint, &identity, handler, meter));
        smol::spawn(accept_connections(shared.clone())).detach();
        Ok(Self { shared, address })
    }

    /// The bound address, with the port that the system chose for port 0.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its reply, at most `time_left`.
    ///
    /// After [`LinkError::Unreachable`] and [`LinkError::TooLarge`] the request
    /// has not reached the peer's handler; after any other error it may have.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        time_left: Duration,
    ) -> Result<PeerReply, LinkError> {
        let sent = self.send(to, request, time_left).await?;
        sent.reply().await
    }

    /// Sends a request that is answered by a stream of events, and returns once
    /// it is sent, at most after `time_left`. The stream itself has no timeout.
    ///
    /// Errors are as those of [`LinkEndpoint::request`]. The stream's first error
    /// may also be one after which the request has not reached the handler.
    pub async fn open_stream(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        time_left: Duration,
    ) -> Result<EventStream, LinkError> {
        let sent = self.send(to, request, time_left).await?;
        Ok(EventStream::new(sent))
    }

    async fn send(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        time_left: Duration,
    ) -> Result<SentExchange, LinkError> {
        let frame = encode_frame(FrameKind::Request, request)?;
        let class = request_class(request);
        send_request(&self.shared, to, frame, class, Instant::now(), time_left).await
    }

    /// Uses another identity for all new connections; open ones keep theirs.
    pub fn replace_identity(&self, identity: LinkIdentity) {
        self.shared.replace_identity(&identity);
    }

    /// The traffic counters since the start of the link.
    pub fn counters(&self) -> LinkCounters {
        self.shared.meter.counters()
    }

    /// Closes all connections at once and rejects new ones.
    pub fn abort(&self) {
        self.shared.begin_closing();
        self.shared.endpoint.close(CODE_STOPPING, b"the process ends");
    }

    /// Rejects new requests, waits at most two seconds for the replies to those in
    /// progress, and closes all connections.
    pub async fn close(&self) {
        self.shared.begin_closing();
        let started = Instant::now();
        while self.shared.open_calls.load(Ordering::SeqCst) > 0 && started.elapsed() < CLOSE_TIMEOUT
        {
            Timer::after(CLOSE_POLL_INTERVAL).await;
        }
        self.shared.endpoint.close(CODE_STOPPING, b"the process stops");
        crate::time::within(CLOSE_TIMEOUT, self.shared.endpoint.wait_idle()).await;
    }
}
