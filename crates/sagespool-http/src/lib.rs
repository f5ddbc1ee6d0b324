//! HTTP servers and clients on the same executor as all other tasks of a process.
//!
//! trillium's own adapter for smol spawns on a second global executor with a thread for each
//! processor. A caller's request then moves between threads: its connection runs on one executor,
//! the link between processes on the other, and the threads contend for the reactor. Here all
//! tasks of a process share smol's global executor, whose thread drives the reactor itself.

mod bounded;
mod listener;
mod runtime;

pub use bounded::{BoundedStream, ReadAllowance, WriteProgress};
pub use listener::{HttpListener, http_server};
pub use runtime::SharedRuntime;
