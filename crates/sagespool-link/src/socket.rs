//! The UDP socket, with counters of datagrams.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, Runtime, SmolRuntime, UdpPoller};

use crate::counters::TrafficMeter;

/// A UDP socket that counts the datagrams it sends and receives.
#[derive(Debug)]
pub(crate) struct MeteredSocket {
    socket: Arc<dyn AsyncUdpSocket>,
    meter: Arc<TrafficMeter>,
}

impl MeteredSocket {
    pub(crate) fn bind(listen: SocketAddr, meter: Arc<TrafficMeter>) -> io::Result<Arc<Self>> {
        let socket = SmolRuntime.wrap_udp_socket(UdpSocket::bind(listen)?)?;
        Ok(Arc::new(Self { socket, meter }))
    }
}

impl AsyncUdpSocket for MeteredSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        self.socket.clone().create_io_poller()
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.socket.try_send(transmit)?;
        let bytes = transmit.contents.len();
        let datagrams = transmit.segment_size.map_or(1, |size| bytes.div_ceil(size));
        self.meter.count_sent_datagrams(datagrams, bytes);
        Ok(())
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [io::IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let polled = self.socket.poll_recv(context, buffers, metas);
        if let Poll::Ready(Ok(count)) = &polled {
            for meta in &metas[..*count] {
                let datagrams = meta.len.div_ceil(meta.stride.max(1));
                self.meter.count_received_datagrams(datagrams, meta.len);
            }
        }
        polled
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.socket.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.socket.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.socket.may_fragment()
    }
}
