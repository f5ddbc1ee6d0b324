//! The processes' link addresses in the store, by which processes without a live seed find the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::MemberRole;
use sagespool_platform::{ObjectClient, ObjectListing, StoreError};
use sagespool_types::{ClockTime, IncarnationId, InstanceName, StoreRevision, derives};
use smol::Timer;

use crate::fleet::{FleetClient, pause_after_failure};

/// Interval of reading the gateways' addresses. Heartbeats carry new ones sooner.
const LISTING_PERIOD: Duration = Duration::from_secs(30);
/// Interval of reading them until a listing has this gateway's own address. An older listing may lack
/// the gateways that started with this one.
const STALE_LISTING_PERIOD: Duration = Duration::from_secs(1);
/// Time in which a relay finds the fleet by its seeds. Only then does it read addresses.
const SEED_TIMEOUT: Duration = Duration::from_secs(3);
/// The store prefix of gateways' addresses.
const ADDRESS_PREFIX: &str = "members/";

derives! { record;
    /// The stored link address of a process.
    #[derive(Default)]
    struct AddressRecord {
        address: Option<SocketAddr>,
        run: Option<IncarnationId>,
        /// `None` in records of earlier versions.
        #[serde(default)]
        role: Option<MemberRole>,
    }
}

/// Makes this process and the fleet known to each other. Does not end.
pub(crate) async fn follow_addresses(fleet: Arc<FleetClient>, store: ObjectClient) {
    match fleet.local.role {
        MemberRole::Entry => follow_as_gateway(&fleet, &store).await,
        MemberRole::Sidecar => follow_as_relay(&fleet, &store).await,
    }
}

/// Writes this gateway's address, and reads those of all gateways periodically.
async fn follow_as_gateway(fleet: &FleetClient, store: &ObjectClient) {
    let record = AddressRecord {
        address: Some(fleet.local.public_address()),
        run: Some(fleet.run),
        role: Some(fleet.local.role),
    };
    let key = format!("{ADDRESS_PREFIX}{}", fleet.local.instance);
    while let Err(error) = write_address(store, &key, &record).await {
        log_event!(warn, "address-unwritten", error = error);
        pause_after_failure().await;
    }
    loop {
        let names = read_addresses(fleet, store).await;
        let period = match names.filter(|names| names.contains(&fleet.local.instance)) {
            Some(names) => {
                fleet.note_listed(names);
                LISTING_PERIOD
            }
            None => STALE_LISTING_PERIOD,
        };
        Timer::after(period.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
    }
}

/// Reads the gateways' addresses while no other process is known. Relays aren't listed: gateways
/// learn of them by heartbeats.
///
/// Guards against a relay that nobody finds because all its seeds were down when it started.
async fn follow_as_relay(fleet: &FleetClient, store: &ObjectClient) {
    loop {
        Timer::after(SEED_TIMEOUT).await;
        if fleet.members.is_alone() {
            read_addresses(fleet, store).await;
        }
    }
}

/// Writes an address. On a first start the object doesn't exist, so it isn't read before.
async fn write_address(
    store: &ObjectClient,
    key: &str,
    record: &AddressRecord,
) -> Result<(), StoreError> {
    match store.put(key, StoreRevision::ZERO, record).await {
        Err(StoreError::Conflict { present }) => store.put(key, present, record).await.map(drop),
        result => result.map(drop),
    }
}

/// Reads the gateways' addresses by a cheap read, and returns their names. An address that it misses
/// is known by heartbeats or by the next read. `None` if the store didn't respond.
async fn read_addresses(fleet: &FleetClient, store: &ObjectClient) -> Option<Vec<InstanceName>> {
    let listing = match store.list_stale::<AddressRecord>(ADDRESS_PREFIX).await {
        Ok(listing) => listing,
        Err(error) => {
            log_event!(warn, "addresses-unread", error = error);
            return None;
        }
    };
    for key in &listing.unreadable {
        log_event!(warn, "address-unreadable", key = key);
    }
    let own = fleet.local.public_address();
    let known = listing.items.iter().filter_map(|(_, object)| object.value.address);
    let addresses: Vec<SocketAddr> = known.filter(|address| *address != own).collect();
    fleet.members.add_seeds(&addresses, ClockTime::now());
    Some(gateway_names(&listing))
}

fn gateway_names(listing: &ObjectListing<AddressRecord>) -> Vec<InstanceName> {
    let items = listing.items.iter();
    let gateways = items.filter(|(_, object)| object.value.role == Some(MemberRole::Entry));
    let name = |key: &str| key.strip_prefix(ADDRESS_PREFIX)?.parse().ok();
    gateways.filter_map(|(key, _)| name(key)).collect()
}
