//! Distribution of the fleet's configuration to entries and sidecars.
//!
//! A few processes of each data centre watch the store. All others query neighbours for newer
//! objects when a heartbeat or a notice reports some. `sagespool_membership` decides which
//! processes watch and which versions may replace others; this crate does the I/O.

mod follower;
mod neighbours;
mod state;
mod watcher;

pub use follower::{ConfigFollower, FollowerContext};
