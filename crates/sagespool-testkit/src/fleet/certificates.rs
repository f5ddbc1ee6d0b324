//! Certificates of a fleet on loopback, made anew for each run.

use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, KeyUsagePurpose};

use super::FleetError;

/// The name that every process's certificate carries; the link expects it.
const LINK_NAME: &str = "sagespool";

/// A fleet's authority, and the files that it has signed.
pub struct CertificateSet {
    directory: PathBuf,
    authority: CertifiedIssuer<'static, KeyPair>,
}

/// The three files that a process's settings name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertificateFiles {
    /// The process's certificate.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// The authority's certificate.
    pub authority: PathBuf,
}

impl CertificateSet {
    /// A new authority whose files go into the directory.
    ///
    /// # Errors
    /// If a key can't be made or a file can't be written.
    pub fn create(directory: &Path) -> Result<Self, Report<FleetError>> {
        let fault = || FleetError::new("making the fleet's authority");
        let mut params = CertificateParams::new(Vec::new()).change_context_lazy(fault)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        let key = KeyPair::generate().change_context_lazy(fault)?;
        let authority = CertifiedIssuer::self_signed(params, key).change_context_lazy(fault)?;
        let path = directory.join("authority.pem");
        std::fs::write(path, authority.pem()).change_context_lazy(fault)?;
        Ok(Self { directory: directory.to_owned(), authority })
    }

    /// A certificate for one process.
    ///
    /// # Errors
    /// If a key can't be made or a file can't be written.
    pub fn issue(&self, name: &str) -> Result<CertificateFiles, Report<FleetError>> {
        let fault = || FleetError::new(format!("making the certificate of {name}"));
        let names = vec![LINK_NAME.to_owned(), "127.0.0.1".to_owned()];
        let params = CertificateParams::new(names).change_context_lazy(fault)?;
        let key = KeyPair::generate().change_context_lazy(fault)?;
        let certificate = params.signed_by(&key, &self.authority).change_context_lazy(fault)?;
        let files = CertificateFiles {
            certificate: self.directory.join(format!("{name}.pem")),
            key: self.directory.join(format!("{name}.key")),
            authority: self.directory.join("authority.pem"),
        };
        std::fs::write(&files.certificate, certificate.pem()).change_context_lazy(fault)?;
        std::fs::write(&files.key, key.serialize_pem()).change_context_lazy(fault)?;
        Ok(files)
    }
}
