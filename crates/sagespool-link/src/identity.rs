//! The TLS identity of a process: certificate, key and the fleet's authority.

use std::error::Error;
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig};
use rustls::RootCertStore;
use rustls::client::Resumption;
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::authority::AuthorityVerifier;
use crate::reset::ResetKey;
use crate::transport::{MAX_CONCURRENT_REQUESTS, transport_config};

/// The ALPN protocol of both sides. A version that can't decode the messages of
/// this one uses another number.
const PROTOCOL: &[u8] = b"sagespool/4";

/// The failure to load a certificate, a key or an authority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdentityError {
    /// This file can't be read.
    Unreadable(PathBuf),
    /// The process's certificate text contains no certificate.
    NoCertificate,
    /// The process's key text contains no private key.
    NoKey,
    /// The authority text contains no certificate.
    NoAuthority,
    /// Certificate, key and authority are present but can't be used together.
    Unusable,
}

impl IdentityError {
    /// A hint for the operator on how to resolve the error.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "check the paths under `link` in the settings",
            Self::NoCertificate | Self::NoAuthority => {
                "provide PEM text with at least one `BEGIN CERTIFICATE`"
            }
            Self::NoKey => "provide PEM text with one unencrypted private key",
            Self::Unusable => "check that the key belongs to the certificate",
        }
    }
}

impl fmt::Display for IdentityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path) => write!(f, "can't read `{}`", path.display()),
            Self::NoCertificate => f.write_str("the certificate of this process is missing"),
            Self::NoKey => f.write_str("the private key of this process is missing"),
            Self::NoAuthority => f.write_str("the certificate of the fleet's authority is missing"),
            Self::Unusable => f.write_str("certificate, key and authority can't be used together"),
        }
    }
}

impl Error for IdentityError {}

/// A process's certificate chain, its private key and the authority that it
/// trusts for its peers, as handshakes use them. Clones share them.
///
/// Every process with a certificate of the authority is accepted as a peer: names
/// in certificates aren't checked, since peers are reached at IP addresses that
/// change. So the authority has to be used for this fleet only. Several authority
/// certificates may be given while one replaces another.
#[derive(Clone)]
pub struct LinkIdentity {
    client: Arc<QuicClientConfig>,
    server: Arc<QuicServerConfig>,
    pub(crate) reset_key: ResetKey,
    max_concurrent_requests: u32,
}

impl fmt::Debug for LinkIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkIdentity").finish_non_exhaustive()
    }
}

impl LinkIdentity {
    /// As [`Self::from_pem`], from files.
    ///
    /// # Errors
    ///
    /// [`IdentityError`] for a file that can't be read, and as [`Self::from_pem`].
    pub fn from_files(
        certificate: &Path,
        key: &Path,
        authority: &Path,
    ) -> Result<Self, Report<IdentityError>> {
        Self::from_pem(&read_file(certificate)?, &read_file(key)?, &read_file(authority)?)
    }

    /// Reads PEM text: the certificate chain starting with the process's own, the
    /// private key, and the authority.
    ///
    /// # Errors
    ///
    /// [`IdentityError`] if a text lacks its item, or if key and certificate don't match.
    pub fn from_pem(
        certificate: &str,
        key: &str,
        authority: &str,
    ) -> Result<Self, Report<IdentityError>> {
        let chain = read_certificates(certificate, IdentityError::NoCertificate)?;
        let key =
            PrivateKeyDer::from_pem_slice(key.as_bytes()).change_context(IdentityError::NoKey)?;
        let authorities = read_certificates(authority, IdentityError::NoAuthority)?;
        let roots = root_store(authorities)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        Ok(Self {
            max_concurrent_requests: MAX_CONCURRENT_REQUESTS,
            reset_key: ResetKey::derive_from(key.secret_der()),
            client: client_config(&provider, &roots, chain.clone(), key.clone_key())?,
            server: server_config(&provider, &roots, chain, key)?,
        })
    }
}

impl LinkIdentity {
    /// Limits the requests that a peer may have open at once; further ones wait.
    ///
    /// A connection allocates memory for each of these requests, on both sides: 1.7 MB for the
    /// 12,000 of an entry and its sidecar, measured with 34 connections in one process.
    pub fn with_max_concurrent_requests(self, max_concurrent_requests: u32) -> Self {
        Self { max_concurrent_requests, ..self }
    }

    pub(crate) fn client_config(&self) -> ClientConfig {
        let mut config = ClientConfig::new(self.client.clone());
        config.transport_config(transport_config(self.max_concurrent_requests));
        config
    }

    pub(crate) fn server_config(&self) -> ServerConfig {
        let mut config = ServerConfig::with_crypto(self.server.clone());
        config.transport_config(transport_config(self.max_concurrent_requests));
        config
    }
}

fn read_file(path: &Path) -> Result<String, Report<IdentityError>> {
    fs::read_to_string(path).change_context_lazy(|| IdentityError::Unreadable(path.to_owned()))
}

fn read_certificates(
    text: &str,
    missing: IdentityError,
) -> Result<Vec<CertificateDer<'static>>, Report<IdentityError>> {
    let certificates = CertificateDer::pem_slice_iter(text.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .change_context_lazy(|| missing.clone())?;
    if certificates.is_empty() {
        return Err(Report::new(missing));
    }
    Ok(certificates)
}

fn root_store(
    authorities: Vec<CertificateDer<'static>>,
) -> Result<Arc<RootCertStore>, Report<IdentityError>> {
    let mut roots = RootCertStore::empty();
    for authority in authorities {
        roots.add(authority).change_context(IdentityError::NoAuthority)?;
    }
    Ok(Arc::new(roots))
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<QuicClientConfig>, Report<IdentityError>> {
    let verifier = AuthorityVerifier::new(roots.clone(), provider.clone());
    let mut config = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(IdentityError::Unusable)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(verifier))
        .with_client_auth_cert(chain, key)
        .change_context(IdentityError::Unusable)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    // A resumed session would skip the verification of the peer's certificate.
    config.resumption = Resumption::disabled();
    let config = QuicClientConfig::try_from(config).change_context(IdentityError::Unusable)?;
    Ok(Arc::new(config))
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<QuicServerConfig>, Report<IdentityError>> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .change_context(IdentityError::Unusable)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(IdentityError::Unusable)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .change_context(IdentityError::Unusable)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    config.send_tls13_tickets = 0;
    let config = QuicServerConfig::try_from(config).change_context(IdentityError::Unusable)?;
    Ok(Arc::new(config))
}
