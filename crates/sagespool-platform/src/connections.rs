//! The connections to the platform, which are dropped together once one is silent.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagespool_types::ByteCount;
use trillium_client::{Client, Conn};

use crate::CallMethod;
use crate::connector::TimeoutConnector;

/// The HTTP library sends `Expect: 100-continue` before a longer body, which costs a round trip, and
/// a second with a server that doesn't support it. Objects are at most 1 MB, so it is never sent.
const MAX_BYTES_WITHOUT_EXPECT: usize = 4 << 20;

/// A client with a pool of connections.
///
/// Open connections may go silent for good, without a reset, while new ones work. Each would be noticed
/// by a call's timeout of its own, one after the other. So a timeout drops all that were opened before
/// it.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    connect_timeout: Duration,
    max_response: ByteCount,
    current: Mutex<PooledClient>,
}

#[derive(Debug, Clone)]
struct PooledClient {
    client: Client,
    /// The number of pools before this one.
    generation: u64,
    /// Whether a call on this pool's connections has had a response.
    has_responded: bool,
}

/// The pool that a call was made with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PoolGeneration(u64);

impl ConnectionPool {
    pub(crate) fn new(connect_timeout: Duration, max_response: ByteCount) -> Self {
        let client = new_client(connect_timeout, max_response);
        let current = PooledClient { client, generation: 0, has_responded: false };
        Self { connect_timeout, max_response, current: Mutex::new(current) }
    }

    fn current(&self) -> MutexGuard<'_, PooledClient> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Prepares a call.
    pub(crate) fn build(&self, method: CallMethod, url: String) -> Conn {
        self.current().client.build_conn(method, url)
    }

    pub(crate) fn generation(&self) -> PoolGeneration {
        PoolGeneration(self.current().generation)
    }

    /// Records a response to a call of that generation.
    pub(crate) fn note_response(&self, generation: PoolGeneration) {
        let mut current = self.current();
        current.has_responded |= current.generation == generation.0;
    }

    /// Drops the idle connections of that generation after a call had no response. True if calls on
    /// them had responses before, so that a new connection may bring one.
    pub(crate) fn drop_silent(&self, generation: PoolGeneration) -> bool {
        let mut current = self.current();
        if current.generation != generation.0 {
            // Another call has dropped them meanwhile.
            return true;
        }
        let has_responded = current.has_responded;
        *current = PooledClient {
            client: new_client(self.connect_timeout, self.max_response),
            generation: current.generation + 1,
            has_responded: false,
        };
        has_responded
    }
}

fn new_client(connect_timeout: Duration, max_response: ByteCount) -> Client {
    Client::new(TimeoutConnector::new(connect_timeout, max_response))
        .with_max_buffered_request_body(MAX_BYTES_WITHOUT_EXPECT)
}
