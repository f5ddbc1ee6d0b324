//! Digests of idempotency keys, request contents and secrets.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use twox_hash::XxHash3_128;

use crate::binary::id_serde;
use crate::{BranchName, ParseError};

macro_rules! digest_newtypes {
    ($($(#[$doc:meta])* $name:ident, $wanted:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let error = |_| ParseError::new($wanted, text, "up to 32 hexadecimal digits");
                u128::from_str_radix(text, 16).map(Self).map_err(error)
            }
        }

        id_serde!($name(u128));
    )*};
}

/// The upper half of the identities of prompt parts.
const PART_TAG: u128 = (u64::MAX as u128) << u64::BITS;

digest_newtypes! {
    /// Digest of a branch and a caller's idempotency key, the same in every process.
    KeyDigest, "a key digest";
    /// Digest of a request's target and body, or the identity of a part of prompts. It doesn't depend
    /// on the key or the entry.
    ContentDigest, "a content digest";
}

/// The first 16 bytes of a SHA-256 digest. Callers choose the input, and a caller must
/// not be able to find a key that collides with another branch's.
fn sha256_prefix(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let sum = hasher.finalize();
    let mut first = [0; 16];
    first.copy_from_slice(&sum[..16]);
    u128::from_le_bytes(first)
}

impl KeyDigest {
    /// The digest of a caller's key. The same key text of two branches gives two digests.
    pub fn of(branch: &BranchName, key: &str) -> Self {
        Self(sha256_prefix(&[branch.as_str().as_bytes(), key.as_bytes()]))
    }
}

impl ContentDigest {
    /// The digest of a request's target and body.
    pub fn of(target: &str, body: &[u8]) -> Self {
        Self(sha256_prefix(&[target.as_bytes(), body]))
    }

    /// The identity of a part of prompts. A request's digest equals one with a chance of 2^-64.
    pub fn of_part(id: u64) -> Self {
        Self(PART_TAG | u128::from(id))
    }

    /// The id of a part of prompts; `None` for the digest of a request.
    pub fn part_id(self) -> Option<u64> {
        ((self.0 ^ PART_TAG) >> u64::BITS == 0).then_some(self.0 as u64)
    }

    /// A fast, non-sha256_prefix digest, for content that callers can't choose.
    pub fn fast(body: &[u8]) -> Self {
        Self(XxHash3_128::oneshot(body))
    }
}

/// SHA-256 of a bearer token, in lower-case hexadecimal. The token itself is not stored.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SecretHash(String);

impl SecretHash {
    /// The hash of a secret.
    pub fn of(secret: &str) -> Self {
        let sum = Sha256::digest(secret.as_bytes());
        Self(sum.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// The hash in lower-case hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretHash({}…)", &self.0[..8])
    }
}

impl fmt::Display for SecretHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SecretHash {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_valid = text.len() == 64
            && text.chars().all(|c| c.is_ascii_digit() || ('a'..='f').contains(&c));
        if !is_valid {
            return Err(ParseError::new(
                "a key hash",
                text,
                "SHA-256 as 64 lower-case hexadecimal digits",
            ));
        }
        Ok(Self(text.to_owned()))
    }
}

crate::string_conversions!(SecretHash);
