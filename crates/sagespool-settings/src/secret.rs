//! Secrets in settings.

use std::fmt;

/// A secret. `Debug` and `Display` print a placeholder, so that a secret doesn't get into a log
/// with the settings that contain it.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps the plain text of a secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The plain text, only for the header that carries it.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretText(hidden)")
    }
}

impl fmt::Display for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}
