//! Who this process is to its peers: certificate, key and the fleet's authority.

use std::error::Error;
use std::fmt;
use std::path::Path;

use error_stack::Report;

/// Why a certificate, a key or an authority can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdentityError {
    detail: String,
}

impl fmt::Display for IdentityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl Error for IdentityError {}

/// A process's certificate chain, its private key and the authority that it
/// trusts for its peers.
#[derive(Debug, Clone)]
pub struct LinkIdentity {}

impl LinkIdentity {
    /// Reads PEM files.
    pub fn from_files(
        certificate: &Path,
        key: &Path,
        authority: &Path,
    ) -> Result<Self, Report<IdentityError>> {
        let _ = (certificate, key, authority);
        Ok(Self {})
    }

    /// Reads PEM text.
    pub fn from_pem(
        certificate: &str,
        key: &str,
        authority: &str,
    ) -> Result<Self, Report<IdentityError>> {
        let _ = (certificate, key, authority);
        Ok(Self {})
    }
}
