//! The entry role: callers' HTTP, the home of branches, dispatch to sidecars.
//!
//! A request's way through an entry: [`caller`] checks who asks and what for,
//! [`run`] has it paid by the branch's [`home`] (this entry or another),
//! chooses an upstream and streams the answer back. `peers` answers what
//! other processes ask, and `role` starts and stops it all.

pub mod caller;
mod configuration;
mod heartbeats;
pub mod home;
mod operator;
mod peers;
mod role;
pub mod run;
mod state;
mod upkeep;

pub use role::{EntryRole, RoleFault, StopReport};
pub use state::EntryState;
