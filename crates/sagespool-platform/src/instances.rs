//! Client of the instance list.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::MemberRole;
use sagespool_types::{CentreName, InstanceName, RegionName, StoreRevision, derives};

use trillium_client::Method;

use crate::caller::{PlatformCall, PlatformCaller};
use crate::counters::CallKind;
use crate::dialect::{RawRequest, StoreDialect};
use crate::{StoreCounters, StoreError};

/// The longest that a call may take, besides its own waiting time.
const CALL_LIMIT: Duration = Duration::from_secs(1);

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
pub struct InstanceClient {
    caller: PlatformCaller,
}

impl InstanceClient {
    /// A client; connects when it is first used.
    pub fn new(address: SocketAddr, token: Option<String>) -> Self {
        Self {
            caller: PlatformCaller::new(
                address,
                token,
                CALL_LIMIT,
                StoreDialect::native().read_version,
            ),
        }
    }

    /// Reads the list: at once without `after`, else as soon as it changes after
    /// that revision, at the latest after `wait`.
    ///
    /// Every error means that the list isn't known.
    pub async fn list(
        &self,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<InstanceListing, StoreError> {
        let mut call = PlatformCall::new(
            CallKind::Read,
            RawRequest::without_body(Method::Get, "/instances".to_owned()),
            "instances",
        );
        if let Some(after) = after {
            call.kind = CallKind::Watch;
            call.form.path = format!("/instances?after={after}&wait_ms={}", wait.as_millis());
            call.wait = wait;
        }
        let listing: Option<InstanceListing> = self.caller.call(call).await?;
        listing.ok_or_else(|| StoreError::Malformed("there is no instance list".to_owned()))
    }

    /// Calls so far.
    pub fn counters(&self) -> StoreCounters {
        self.caller.counters()
    }
}
