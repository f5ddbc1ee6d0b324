//! HTTP servers and clients on the executor that runs everything else of a process.
//!
//! trillium's own adapter for smol spawns on a second global executor with a thread for each
//! processor. A request of a caller then goes from thread to thread: its connection lives on the
//! one executor, the link between processes on the other, and the threads contend for the reactor.
//! Here all tasks of a process share smol's global executor, whose thread drives the reactor itself.

mod listener;
mod runtime;

pub use listener::{HttpListener, http_server};
pub use runtime::SharedRuntime;
