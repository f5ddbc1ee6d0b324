//! Reads typed values from a JSON document and collects every validation error.
//!
//! Each reader returns `None` if and only if it recorded an error, so that a caller can read
//! all fields before it builds its value.

mod error_collector;
mod lists;
mod node;
mod object;
mod scalars;
mod text;

pub(crate) use error_collector::ErrorCollector;
pub(crate) use node::ValueNode;
pub(crate) use object::ObjectNode;
pub(crate) use text::{field_path, nearest_of};
