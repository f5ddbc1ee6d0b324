//! Who this process is to its peers: certificate, key and the fleet's authority.

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
use crate::transport::{MOST_QUESTIONS, transport_config};

/// The protocol that both sides name in the handshake. A version that can't
/// read this one's messages takes another number.
const PROTOCOL: &[u8] = b"sagespool/1";

/// Why a certificate, a key or an authority can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdentityError {
    /// A file can't be read.
    Unreadable(PathBuf),
    /// No certificate where the process's own should be.
    NoCertificate,
    /// No private key where the process's own should be.
    NoKey,
    /// No certificate where the authority's should be.
    NoAuthority,
    /// Certificate, key and authority are there but can't be used together.
    Unusable,
}

impl IdentityError {
    /// What a person can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "check the paths under `link` in the settings",
            Self::NoCertificate | Self::NoAuthority => {
                "give PEM text with at least one `BEGIN CERTIFICATE`"
            }
            Self::NoKey => "give PEM text with one unencrypted private key",
            Self::Unusable => "check that the key belongs to the certificate",
        }
    }
}

impl fmt::Display for IdentityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path) => write!(f, "can't read `{}`", path.display()),
            Self::NoCertificate => f.write_str("no certificate of this process"),
            Self::NoKey => f.write_str("no private key of this process"),
            Self::NoAuthority => f.write_str("no certificate of the fleet's authority"),
            Self::Unusable => f.write_str("certificate, key and authority can't be used"),
        }
    }
}

impl Error for IdentityError {}

/// A process's certificate chain, its private key and the authority that it
/// trusts for its peers, ready for handshakes. Clones share them.
///
/// A peer is whoever holds a certificate of the authority: names in it aren't
/// checked, since peers are reached by IP numbers that change. So the authority
/// has to be the fleet's own. Several certificates of authorities may be given,
/// for the time in which one replaces another.
#[derive(Clone)]
pub struct LinkIdentity {
    client: Arc<QuicClientConfig>,
    server: Arc<QuicServerConfig>,
    pub(crate) reset_key: ResetKey,
    most_questions: u32,
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
    /// [`IdentityError`] with the file that can't be read, or what it doesn't hold.
    pub fn from_files(
        certificate: &Path,
        key: &Path,
        authority: &Path,
    ) -> Result<Self, Report<IdentityError>> {
        Self::from_pem(&read_file(certificate)?, &read_file(key)?, &read_file(authority)?)
    }

    /// Reads PEM text: the certificate chain with the process's own first, the
    /// private key, and the authority.
    ///
    /// # Errors
    ///
    /// [`IdentityError`] with what a text doesn't hold, or that key and certificate don't fit.
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
            most_questions: MOST_QUESTIONS,
            reset_key: ResetKey::of(key.secret_der()),
            client: client_config(&provider, &roots, chain.clone(), key.clone_key())?,
            server: server_config(&provider, &roots, chain, key)?,
        })
    }
}

impl LinkIdentity {
    /// Lets a peer have at most so many questions open at once; further ones wait for answers.
    ///
    /// A connection sets memory aside for each that may come, on both sides: 1.7 MB for the 12,000
    /// of an entry and its sidecar, as measured with 34 connections in one process.
    pub fn with_max_concurrent_requests(self, most_questions: u32) -> Self {
        Self { most_questions, ..self }
    }

    pub(crate) fn client_config(&self) -> ClientConfig {
        let mut config = ClientConfig::new(self.client.clone());
        config.transport_config(transport_config(self.most_questions));
        config
    }

    pub(crate) fn server_config(&self) -> ServerConfig {
        let mut config = ServerConfig::with_crypto(self.server.clone());
        config.transport_config(transport_config(self.most_questions));
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
    // A resumed session would skip the look at the peer's certificate.
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
