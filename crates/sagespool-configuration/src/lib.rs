//! Following the fleet's configuration, for entries and sidecars alike.
//!
//! A few processes of each data centre watch the store; all others ask neighbours for what is newer
//! than what they have, when a heartbeat or a notice says that there is something. Who watches, and
//! what a version may replace, is decided in `sagespool_membership`; this package does the calls.

mod follower;
mod neighbours;
mod state;
mod watcher;

pub use follower::{ConfigFollower, FollowerContext};
