//! Heartbeats, incarnations, leaving and configuration versions as pure decisions.
//!
//! [`MemberTable`] is one process's view of the fleet. Its owner calls
//! [`MemberTable::due_heartbeats`] every 100 ms or so, sends what it returns, and hands
//! back what the peers answered. Nothing here opens a socket or reads a clock.
//!
//! Nothing that must always hold rests on this view: it says who should try,
//! while the store's conditional updates and the sidecars decide what may run.

mod config_book;
mod config_watch;
mod description;
mod exchange;
mod home;
mod merge;
mod news;
mod policy;
mod record;
mod rounds;
mod seeds;
mod seniority;
mod sizing;
mod suspicion;
mod table;
mod tenure;
mod versions;
mod view;

pub use config_book::ConfigBook;
pub use config_watch::{WatchPlace, WatchPolicy, watch_order};
pub use policy::MembershipPolicy;
pub use record::ListedMember;
pub use seniority::initial_heartbeat_number;
pub use sizing::encoded_bytes;
pub use table::{MemberChanges, MemberTable};
pub use versions::{AppliedVersions, VersionOffer};
