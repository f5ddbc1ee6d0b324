//! Clients of the platform: object API and instance list.
//!
//! Both keep their connections open and limit the time of each call. Errors distinguish strictly
//! whether a failed call may have taken effect: a write whose response was lost fails with
//! [`StoreError::Uncertain`], never with an error that means that it had no effect.
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use sagespool_platform::{ObjectClient, ObjectOptions, StoreError, UpdateChoice, update_object};
//!
//! # fn main() -> Result<(), StoreError> {
//! let options = ObjectOptions::builder()
//!     .address(([127, 0, 0, 1], 8500).into())
//!     .token("the platform's token".into())
//!     .build();
//! let client = ObjectClient::new(options);
//! // Called with each value read, until a write finds the object unchanged since the read.
//! let count = |starts: &mut u64| {
//!     *starts += 1;
//!     UpdateChoice::Write
//! };
//! let updated = update_object(&client, "starts", Duration::from_secs(5), count);
//! println!("stored at version {}", smol::block_on(updated)?.version);
//! # Ok(())
//! # }
//! ```

mod caller;
mod connections;
mod connector;
mod counters;
mod dialect;
mod error;
mod fallback;
mod hedge;
mod instances;
mod objects;
mod update;

pub use counters::{CallCategory, CallKind, StoreCounters};
pub use dialect::{DialectError, ObjectPage, PageRest, RawObject, RawRequest, StoreDialect};
pub use error::StoreError;
pub use fallback::{FallbackCall, RawFailure, RawResponse, RawResponseFuture, StoreFallback};
pub use hedge::first_response;
pub use instances::{InstanceClient, InstanceListing, ListedInstance, ListedState};
pub use objects::{
    ObjectChange, ObjectChanges, ObjectClient, ObjectListing, ObjectOptions, StoredObject,
};
pub use trillium_client::Method as CallMethod;
pub use update::{UpdateChoice, UpdatedObject, update_object};
