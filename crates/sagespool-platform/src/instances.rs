//! Client of the instance list.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::MemberRole;
use sagespool_types::{CentreName, InstanceName, RegionName, StoreRevision, derives};

use trillium_client::Method;

use crate::caller::{PlatformCall, PlatformCaller};
use crate::counters::CallKind;
use crate::dialect::{RawRequest, StoreDialect};
use crate::objects::DEFAULT_MAX_RESPONSE;
use crate::{StoreCounters, StoreError};

/// The timeout of a call; the time that a watch waits is added.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

derives! { value;
    /// Whether the platform is about to remove an instance.
    #[serde(rename_all = "kebab-case")]
    pub enum ListedState {
        /// The instance stays.
        Live,
        /// The instance is being removed.
        Leaving,
    }
}

derives! { record;
    /// An entry of the platform's instance list, which lags behind the real state.
    pub struct ListedInstance {
        /// The instance's name.
        pub instance: InstanceName,
        /// The instance's role.
        pub role: MemberRole,
        /// The instance's region.
        pub region: RegionName,
        /// The instance's data centre.
        pub centre: CentreName,
        /// The address of its link endpoint.
        pub address: SocketAddr,
        /// Whether it is being removed.
        pub state: ListedState,
    }
}

derives! { record;
    /// The instance list at a revision.
    pub struct InstanceListing {
        /// The list's revision, from which to wait for changes.
        pub revision: StoreRevision,
        /// All listed instances.
        pub instances: Vec<ListedInstance>,
    }
}

/// Client of the instance list. Clones share connections and counters.
#[derive(Debug, Clone)]
pub struct InstanceClient {
    caller: PlatformCaller,
}

impl InstanceClient {
    /// Creates a client. It connects on its first call, and sends `token` as the bearer token.
    pub fn new(address: SocketAddr, token: Option<String>) -> Self {
        Self {
            caller: PlatformCaller::new(
                address,
                token,
                CALL_TIMEOUT,
                DEFAULT_MAX_RESPONSE,
                StoreDialect::native().read_version,
            ),
        }
    }

    /// Reads the list: at once without `after`, else as soon as it changes after that revision, at
    /// the latest after `wait`.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] means that the list is unknown, not that it is empty.
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
            call.request.path = format!("/instances?after={after}&wait_ms={}", wait.as_millis());
            call.wait = wait;
        }
        let listing: Option<InstanceListing> = self.caller.call(call).await?;
        listing.ok_or_else(|| {
            StoreError::Malformed("the platform has no instance list (404)".to_owned())
        })
    }

    /// The counters of all calls so far.
    pub fn counters(&self) -> StoreCounters {
        self.caller.counters()
    }
}
