//! The TLS identity of this process on the link.
//!
//! The machines have no disks and are provisioned without secrets, so the fleet's certificate
//! authority is kept in the store beside the budgets: whoever can read it there can join the fleet.
//! The first gateway creates it; each run signs its own certificate with it.

use std::fmt;
use std::time::Duration;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use sagespool_link::LinkIdentity;
use sagespool_platform::{ObjectClient, StoreError};
use sagespool_types::{InstanceName, StoreRevision, derives};
use smol::Timer;

const AUTHORITY_KEY: &str = "fleet/authority";
const AUTHORITY_TITLE: &str = "sagespool fleet authority";
/// Concurrent requests per connection. Loans take milliseconds; calls of the store through another
/// process wait up to two seconds, three or four for each gateway without access to the store. With
/// 12,000, the first gateways of a fleet of 87 processes used 75 MB once all had connected; with
/// 128, 16 MB.
const MAX_CONCURRENT_REQUESTS: u32 = 128;
/// Cheap reads of the authority before a process that is no seed creates one itself.
const MAX_CACHED_READS: u32 = 4;
const CACHED_READ_PAUSE: Duration = Duration::from_millis(400);
/// Peers are addressed by IP address, so any fixed name will do.
const SERVER_NAME: &str = "sagespool";

derives! { record;
    /// The stored certificate authority of the fleet, in PEM format.
    struct AuthorityRecord {
        certificate: String,
        key: String,
    }
}

/// Why no identity could be created.
#[derive(Debug)]
pub(crate) enum CertificateError {
    /// The call of the store failed.
    Store(StoreError),
    /// The authority or a certificate can't be created or parsed.
    Certificate(String),
}

impl fmt::Display for CertificateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Certificate(detail) => write!(f, "can't create the link certificate: {detail}"),
        }
    }
}

impl From<rcgen::Error> for CertificateError {
    fn from(error: rcgen::Error) -> Self {
        Self::Certificate(error.to_string())
    }
}

/// Creates an identity signed by the fleet's authority. If there is none, one of the fleet's seeds
/// creates it; the others do so only if none appears in time.
pub(crate) async fn create_identity(
    store: &ObjectClient,
    instance: &InstanceName,
    is_seed: bool,
) -> Result<LinkIdentity, CertificateError> {
    let waited_for = if is_seed { None } else { wait_for_authority(store).await? };
    let authority = match waited_for {
        Some(authority) => authority,
        None => find_or_create_authority(store).await?,
    };
    let key = KeyPair::from_pem(&authority.key)?;
    let issuer = Issuer::new(authority_params()?, key);
    let own_key = KeyPair::generate()?;
    let certificate = own_params(instance)?.signed_by(&own_key, &issuer)?.pem();
    let own_key = own_key.serialize_pem();
    let identity = LinkIdentity::from_pem(&certificate, &own_key, &authority.certificate)
        .map_err(|report| CertificateError::Certificate(report.to_string()))?;
    Ok(identity.with_max_concurrent_requests(MAX_CONCURRENT_REQUESTS))
}

/// Reads the authority by cheap reads, which may miss one that was created just now, until it is
/// found. `None` if there is none in time.
///
/// Without the wait, each process of a fleet that starts for the first time reads it again, and many
/// try to create it.
async fn wait_for_authority(
    store: &ObjectClient,
) -> Result<Option<AuthorityRecord>, CertificateError> {
    for _ in 0..MAX_CACHED_READS {
        if let Some(authority) = read_cached_authority(store).await? {
            return Ok(Some(authority));
        }
        Timer::after(CACHED_READ_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
    Ok(None)
}

async fn find_or_create_authority(
    store: &ObjectClient,
) -> Result<AuthorityRecord, CertificateError> {
    match read_authority(store).await? {
        Some(authority) => Ok(authority),
        None => create_authority(store).await,
    }
}

async fn read_cached_authority(
    store: &ObjectClient,
) -> Result<Option<AuthorityRecord>, CertificateError> {
    let found = store.get_stale::<AuthorityRecord>(AUTHORITY_KEY).await;
    Ok(found.map_err(CertificateError::Store)?.map(|object| object.value))
}

async fn read_authority(store: &ObjectClient) -> Result<Option<AuthorityRecord>, CertificateError> {
    let found =
        store.get::<AuthorityRecord>(AUTHORITY_KEY).await.map_err(CertificateError::Store)?;
    Ok(found.map(|object| object.value))
}

/// Creates the authority. If another gateway writes one first, that one is returned.
async fn create_authority(store: &ObjectClient) -> Result<AuthorityRecord, CertificateError> {
    let key = KeyPair::generate()?;
    let certificate = authority_params()?.self_signed(&key)?.pem();
    let record = AuthorityRecord { certificate, key: key.serialize_pem() };
    match store.put(AUTHORITY_KEY, StoreRevision::ZERO, &record).await {
        Ok(_) => Ok(record),
        Err(StoreError::Conflict { .. }) => {
            let written = read_authority(store).await?;
            written.ok_or(CertificateError::Store(StoreError::Unavailable))
        }
        Err(error) => Err(CertificateError::Store(error)),
    }
}

fn authority_params() -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_TITLE);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

fn own_params(instance: &InstanceName) -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(vec![SERVER_NAME.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, instance.as_str());
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    Ok(params)
}
