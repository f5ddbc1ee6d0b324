//! A relay of UDP datagrams that can be cut, or led to another target.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use smol::Async;

use super::loopback;

/// Stands before one target; clients send to its address.
pub struct UdpRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

struct RelayState {
    socket: Async<UdpSocket>,
    target: Mutex<SocketAddr>,
    cut_forth: AtomicBool,
    cut_back: AtomicBool,
    ways: Mutex<HashMap<SocketAddr, Arc<Async<UdpSocket>>>>,
}

impl UdpRelay {
    pub fn start(target: SocketAddr) -> Self {
        let socket = Async::<UdpSocket>::bind(loopback()).unwrap();
        let address = socket.get_ref().local_addr().unwrap();
        let state = Arc::new(RelayState {
            socket,
            target: Mutex::new(target),
            cut_forth: AtomicBool::new(false),
            cut_back: AtomicBool::new(false),
            ways: Mutex::default(),
        });
        smol::spawn(relay_forth(state.clone())).detach();
        Self { address, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops every datagram from now on, or lets them pass again.
    pub fn cut(&self, cut: bool) {
        self.cut_one_way(cut, cut);
    }

    /// The same for the way to the target and for the way back.
    pub fn cut_one_way(&self, forth: bool, back: bool) {
        self.state.cut_forth.store(forth, Ordering::SeqCst);
        self.state.cut_back.store(back, Ordering::SeqCst);
    }

    /// Sends to another target from now on, as if it had the first one's address.
    pub fn lead_to(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap() = target;
    }
}

impl RelayState {
    fn way_of(self: &Arc<Self>, client: SocketAddr) -> Arc<Async<UdpSocket>> {
        let mut ways = self.ways.lock().unwrap();
        let new_way = || {
            let way = Arc::new(Async::<UdpSocket>::bind(loopback()).unwrap());
            smol::spawn(relay_back(self.clone(), client, way.clone())).detach();
            way
        };
        ways.entry(client).or_insert_with(new_way).clone()
    }
}

async fn relay_forth(state: Arc<RelayState>) {
    let mut buffer = [0; 2048];
    while let Ok((size, client)) = state.socket.recv_from(&mut buffer).await {
        let target = *state.target.lock().unwrap();
        if !state.cut_forth.load(Ordering::SeqCst) {
            let _ = state.way_of(client).send_to(&buffer[..size], target).await;
        }
    }
}

async fn relay_back(state: Arc<RelayState>, client: SocketAddr, way: Arc<Async<UdpSocket>>) {
    let mut buffer = [0; 2048];
    while let Ok((size, _)) = way.recv_from(&mut buffer).await {
        if !state.cut_back.load(Ordering::SeqCst) {
            let _ = state.socket.send_to(&buffer[..size], client).await;
        }
    }
}
