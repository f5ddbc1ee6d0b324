//! Who this gateway is to the others.
//!
//! No machine has a disk, and none is told a secret, so the fleet's authority lies in the store,
//! where the budgets lie too: whoever may read it there may join the fleet. The first gateway
//! writes it; each run signs a certificate of its own with it.

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
/// Loans are answered within milliseconds; calls of the store by way of another process wait up to
/// two seconds, three or four of each gateway that is cut off. With 12,000 in place of this, the
/// first gateways of a fleet of 87 processes held 75 MB as soon as all had connected, now 16 MB.
const MOST_QUESTIONS: u32 = 128;
/// Peers are reached by IP numbers, so this name only has to be some name.
const SERVER_NAME: &str = "sagespool";

derives! { record;
    /// The fleet's authority as the store keeps it, in PEM text.
    struct AuthorityRecord {
        certificate: String,
        key: String,
    }
}

/// Why there is no identity yet.
#[derive(Debug)]
pub(crate) enum IdentityFault {
    /// The store can't be asked.
    Store(StoreError),
    /// The authority, or a certificate of it, can't be made or read.
    Certificate(String),
}

impl fmt::Display for IdentityFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Certificate(detail) => write!(f, "the certificate can't be made: {detail}"),
        }
    }
}

impl From<rcgen::Error> for IdentityFault {
    fn from(error: rcgen::Error) -> Self {
        Self::Certificate(error.to_string())
    }
}

/// Makes an identity of the fleet's authority, which is made too if there is none.
pub(crate) async fn make_identity(
    store: &ObjectClient,
    instance: &InstanceName,
) -> Result<LinkIdentity, IdentityFault> {
    let authority = match read_authority(store).await? {
        Some(authority) => authority,
        None => create_authority(store).await?,
    };
    let key = KeyPair::from_pem(&authority.key)?;
    let issuer = Issuer::new(authority_params()?, key);
    let own_key = KeyPair::generate()?;
    let certificate = own_params(instance)?.signed_by(&own_key, &issuer)?.pem();
    let own_key = own_key.serialize_pem();
    let identity = LinkIdentity::from_pem(&certificate, &own_key, &authority.certificate)
        .map_err(|report| IdentityFault::Certificate(report.to_string()))?;
    Ok(identity.with_most_questions(MOST_QUESTIONS))
}

async fn read_authority(store: &ObjectClient) -> Result<Option<AuthorityRecord>, IdentityFault> {
    let found = store.get::<AuthorityRecord>(AUTHORITY_KEY).await.map_err(IdentityFault::Store)?;
    Ok(found.map(|object| object.value))
}

/// Of several gateways that start at once one writes first; the others take what it wrote.
async fn create_authority(store: &ObjectClient) -> Result<AuthorityRecord, IdentityFault> {
    let key = KeyPair::generate()?;
    let certificate = authority_params()?.self_signed(&key)?.pem();
    let record = AuthorityRecord { certificate, key: key.serialize_pem() };
    match store.put(AUTHORITY_KEY, StoreRevision::ZERO, &record).await {
        Ok(_) => Ok(record),
        Err(StoreError::Conflict { .. }) => {
            let written = read_authority(store).await?;
            written.ok_or(IdentityFault::Store(StoreError::Unavailable))
        }
        Err(error) => Err(IdentityFault::Store(error)),
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
