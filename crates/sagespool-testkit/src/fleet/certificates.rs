//! Certificates of a loopback fleet, generated for each run.

use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, KeyUsagePurpose};

use super::FleetError;

/// The subject name in every process's certificate, which the link verifies.
const LINK_NAME: &str = "sagespool";

/// A certificate authority for one fleet, which writes its files to a directory.
pub struct CertificateSet {
    directory: PathBuf,
    authority: CertifiedIssuer<'static, KeyPair>,
}

/// Paths of the certificate files in a process's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertificateFiles {
    /// Certificate of the process.
    pub certificate: PathBuf,
    /// Private key of the process.
    pub key: PathBuf,
    /// Certificate of the authority.
    pub authority: PathBuf,
}

impl CertificateSet {
    /// Generates an authority and writes its certificate to the directory.
    ///
    /// # Errors
    /// If a key can't be generated or a file can't be written.
    pub fn create(directory: &Path) -> Result<Self, Report<FleetError>> {
        let fault = || FleetError::new("generating the fleet's certificate authority");
        let mut params = CertificateParams::new(Vec::new()).change_context_lazy(fault)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        let key = KeyPair::generate().change_context_lazy(fault)?;
        let authority = CertifiedIssuer::self_signed(params, key).change_context_lazy(fault)?;
        let path = directory.join("authority.pem");
        std::fs::write(path, authority.pem()).change_context_lazy(fault)?;
        Ok(Self { directory: directory.to_owned(), authority })
    }

    /// Issues a certificate for one process.
    ///
    /// # Errors
    /// If a key can't be generated or a file can't be written.
    pub fn issue(&self, name: &str) -> Result<CertificateFiles, Report<FleetError>> {
        let fault = || FleetError::new(format!("issuing the certificate of {name}"));
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
