//! The entry role: HTTP for callers, the home of branches, and dispatch to sidecars.
//!
//! [`caller`] authenticates and checks a request. [`run`] reserves its cost at the branch's
//! [`home`] (this entry or another), chooses an upstream and streams the answer back. `peers`
//! serves requests of other processes, and `role` starts and stops everything.

pub mod caller;
mod configuration;
mod expiry;
mod heartbeats;
pub mod home;
mod operator;
mod peers;
mod role;
pub mod run;
mod state;

pub use role::{EntryError, EntryRole, StopReport};
pub use state::EntryState;
