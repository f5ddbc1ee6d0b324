//! Reading a JSON document with every fault collected.
//!
//! Each reader returns `None` exactly if it noted a fault, so that a caller
//! reads all fields first and puts the value together at the end.

mod fault_log;
mod lists;
mod node;
mod object;
mod scalars;
mod words;

pub(crate) use fault_log::FaultLog;
pub(crate) use node::CheckNode;
pub(crate) use object::ObjectNode;
pub(crate) use words::{field_path, nearest_of};
