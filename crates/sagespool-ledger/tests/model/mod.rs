//! A small model of the fleet around one book.

pub mod checks;
mod recovery;
mod requests;
pub mod sidecar;
pub mod step;
pub mod store;
pub mod world;
