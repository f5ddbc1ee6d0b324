//! The TLS identity of this process on the link.
//!
//! The machines have no disks and are provisioned without secrets, so the fleet's certificate
//! authority is kept in the store beside the budgets: whoever can read it there can join the fleet.
//! The first gateway creates it; each run signs its own certificate with it.

use std::fmt;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use sagespool_link::LinkIdentity;
use sagespool_platform::{ObjectClient, StoreError};
use sagespool_types::{InstanceName, StoreRevision, derives};

const AUTHORITY_KEY: &str = "fleet/authority";
const AUTHORITY_TITLE: &str = "sagespool fleet authority";
/// Concurrent requests per connection. Loans take milliseconds; calls of the store through another
/// process wait up to two seconds, three or four for each gateway without access to the store. With
/// 12,000, the first gateways of a fleet of 87 processes used 75 MB once all had connected; with
/// 128, 16 MB.
const MAX_CONCURRENT_REQUESTS: u32 = 128;
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

/// Creates an identity signed by the fleet's authority, and the authority too if there is none.
pub(crate) async fn create_identity(
    store: &ObjectClient,
    instance: &InstanceName,
) -> Result<LinkIdentity, CertificateError> {
    let authority = match read_cached_authority(store).await? {
        Some(authority) => authority,
        None => match read_authority(store).await? {
            Some(authority) => authority,
            None => create_authority(store).await?,
        },
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

/// Reads the authority by a cheap read, which may not find one that was created just now.
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
