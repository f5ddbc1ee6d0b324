//! A model of a fleet with a single book.

pub mod checks;
mod recovery;
mod requests;
pub mod sidecar;
pub mod step;
pub mod store;
pub mod world;
