//! Client of the instance list.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::MemberRole;
use sagespool_types::{CentreName, InstanceName, RegionName, StoreRevision, derives};

use crate::{StoreCounters, StoreError};

derives! { value;
    /// Whether the platform is about to take an instance away.
    #[serde(rename_all = "kebab-case")]
    pub enum ListedState {
        /// It stays.
        Live,
        /// It is being taken away.
        Leaving,
    }
}

derives! { record;
    /// An instance, as the platform lists it; the list lags behind the truth.
    pub struct ListedInstance {
        /// Its name.
        pub instance: InstanceName,
        /// Its role.
        pub role: MemberRole,
        /// Its region.
        pub region: RegionName,
        /// Its data centre.
        pub centre: CentreName,
        /// Where its link is reached.
        pub address: SocketAddr,
        /// Whether it stays.
        pub state: ListedState,
    }
}

derives! { record;
    /// The instance list at a revision.
    pub struct InstanceListing {
        /// The list's revision.
        pub revision: StoreRevision,
        /// The instances.
        pub instances: Vec<ListedInstance>,
    }
}

/// Client of the instance list. Clones share connections and counters.
#[derive(Debug, Clone)]
pub struct InstanceClient {}

impl InstanceClient {
    /// A client; connects when it is first used.
    pub fn new(address: SocketAddr, token: Option<String>) -> Self {
        let _ = (address, token);
        Self {}
    }

    /// Reads the list: at once, or as soon as it changes after a revision, at
    /// the latest after `wait`.
    pub async fn list(
        &self,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<InstanceListing, StoreError> {
        let _ = (after, wait);
        Err(StoreError::Unavailable)
    }

    /// Calls so far.
    pub fn counters(&self) -> StoreCounters {
        StoreCounters::default()
    }
}
