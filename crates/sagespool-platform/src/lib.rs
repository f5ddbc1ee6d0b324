//! Clients of the platform: object API and instance list.
//!
//! Both keep their connections, bound each call's time, and tell strictly
//! whether a failed call may have taken effect: a write whose answer was lost
//! is [`StoreError::Uncertain`], never a failure that looks like "not done".

mod caller;
mod connector;
mod counters;
mod error;
mod instances;
mod objects;
mod update;

pub use counters::StoreCounters;
pub use error::StoreError;
pub use instances::{InstanceClient, InstanceListing, ListedInstance, ListedState};
pub use objects::{
    ObjectChange, ObjectChanges, ObjectClient, ObjectListing, ObjectOptions, StoredObject,
};
pub use update::{UpdateChoice, UpdatedObject, update_object};
