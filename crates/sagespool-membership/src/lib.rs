//! Cluster membership: heartbeats, incarnations, leaving members and configuration versions.
//!
//! [`MemberTable`] is one process's view of the fleet. Its owner calls
//! [`MemberTable::due_heartbeats`] about every 100 ms, sends the heartbeats that it returns,
//! and passes the peers' replies back. The crate does no I/O and reads no clock.
//!
//! The view is advisory. It decides which process attempts an operation; safety
//! rests on the store's conditional updates and on the sidecars.

mod config_replica;
mod config_watch;
mod digest;
mod exchange;
mod home;
mod home_since;
mod merge;
mod policy;
mod record;
mod rounds;
mod run_order;
mod seeds;
mod sizing;
mod suspicion;
mod table;
mod update_queue;
mod versions;
mod view;

pub use config_replica::ConfigReplica;
pub use config_watch::{WatchPolicy, WatchRank, watch_order};
pub use policy::MembershipPolicy;
pub use record::ListedMember;
pub use run_order::initial_heartbeat_number;
pub use sizing::max_encoded_bytes;
pub use table::{MemberChanges, MemberTable};
pub use versions::{AppliedVersions, VersionOutcome};
