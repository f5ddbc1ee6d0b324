//! A relay of UDP datagrams that can drop them, or switch to another target.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use smol::Async;

use super::loopback;

/// Relays between clients, which send to its address, and one target.
pub struct UdpRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

struct RelayState {
    socket: Async<UdpSocket>,
    target: Mutex<SocketAddr>,
    drop_to_target: AtomicBool,
    drop_to_client: AtomicBool,
    target_sockets: Mutex<HashMap<SocketAddr, Arc<Async<UdpSocket>>>>,
}

impl UdpRelay {
    pub fn start(target: SocketAddr) -> Self {
        let socket = Async::<UdpSocket>::bind(loopback()).unwrap();
        let address = socket.get_ref().local_addr().unwrap();
        let state = Arc::new(RelayState {
            socket,
            target: Mutex::new(target),
            drop_to_target: AtomicBool::new(false),
            drop_to_client: AtomicBool::new(false),
            target_sockets: Mutex::default(),
        });
        smol::spawn(forward_to_target(state.clone())).detach();
        Self { address, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts or stops dropping all datagrams.
    pub fn set_dropping(&self, dropping: bool) {
        self.set_dropping_by_direction(dropping, dropping);
    }

    /// Sets for each direction whether datagrams are dropped.
    pub fn set_dropping_by_direction(&self, to_target: bool, to_client: bool) {
        self.state.drop_to_target.store(to_target, Ordering::SeqCst);
        self.state.drop_to_client.store(to_client, Ordering::SeqCst);
    }

    /// Sends to another target, as if it had replaced the first at its address.
    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap() = target;
    }
}

impl RelayState {
    fn socket_for(self: &Arc<Self>, client: SocketAddr) -> Arc<Async<UdpSocket>> {
        let mut target_sockets = self.target_sockets.lock().unwrap();
        let new_socket = || {
            let socket = Arc::new(Async::<UdpSocket>::bind(loopback()).unwrap());
            smol::spawn(forward_to_client(self.clone(), client, socket.clone())).detach();
            socket
        };
        target_sockets.entry(client).or_insert_with(new_socket).clone()
    }
}

async fn forward_to_target(state: Arc<RelayState>) {
    let mut buffer = [0; 2048];
    while let Ok((size, client)) = state.socket.recv_from(&mut buffer).await {
        let target = *state.target.lock().unwrap();
        if !state.drop_to_target.load(Ordering::SeqCst) {
            let _ = state.socket_for(client).send_to(&buffer[..size], target).await;
        }
    }
}

async fn forward_to_client(
    state: Arc<RelayState>,
    client: SocketAddr,
    socket: Arc<Async<UdpSocket>>,
) {
    let mut buffer = [0; 2048];
    while let Ok((size, _)) = socket.recv_from(&mut buffer).await {
        if !state.drop_to_client.load(Ordering::SeqCst) {
            let _ = state.socket.send_to(&buffer[..size], client).await;
        }
    }
}
