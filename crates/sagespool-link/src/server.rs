//! The answering side: a request, and the ways to answer it.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use sagespool_messages::{DispatchEvent, PeerReply, PeerRequest};

use crate::LinkError;

/// What a process does with a request of a peer.
pub type PeerHandler =
    Arc<dyn Fn(PeerCall) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// A request of a peer.
pub struct PeerCall {
    /// Where it came from.
    pub from: SocketAddr,
    /// The request.
    pub request: PeerRequest,
    /// The way to answer.
    pub responder: PeerResponder,
}

/// The way to answer one request.
pub struct PeerResponder {}

impl PeerResponder {
    /// Answers with one reply.
    pub async fn reply(self, reply: PeerReply) {
        let _ = reply;
    }

    /// Answers with a stream of events.
    pub fn events(self) -> EventSender {
        EventSender {}
    }
}

/// Sends the events that answer a request.
pub struct EventSender {}

impl EventSender {
    /// Sends one event; the last is an [`DispatchEvent::End`].
    pub async fn send(&mut self, event: &DispatchEvent) -> Result<(), LinkError> {
        let _ = event;
        Ok(())
    }

    /// Resolves when the asker dropped its stream or its connection is lost.
    /// The future holds no borrow, so that events can be sent beside it.
    pub fn asker_gone(&self) -> impl Future<Output = ()> + Send + 'static + use<> {
        std::future::pending()
    }
}
