//! Validation errors of a file or an object.

use std::error::Error;
use std::fmt;

use serde::Serialize;

/// One invalid, unknown or missing value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ValidationError {
    /// Its position as a JSON path: `$.link.listen`, `$.peers[1]`.
    pub path: String,
    /// What the input has there. Never a secret.
    pub found: String,
    /// What is accepted there.
    pub allowed: String,
    /// For an unknown field or value: the most similar known name, if one is similar enough.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nearest: Option<String>,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}; allowed: {}", self.path, self.found, self.allowed)?;
        if let Some(nearest) = &self.nearest {
            write!(f, "; did you mean `{nearest}`?")?;
        }
        Ok(())
    }
}

/// Every error of one file or object, in the order of the checks. Never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationErrors {
    /// At least one error.
    pub errors: Vec<ValidationError>,
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.errors.len() {
            1 => write!(f, "1 error")?,
            count => write!(f, "{count} errors")?,
        }
        for error in &self.errors {
            write!(f, "\n  {error}")?;
        }
        Ok(())
    }
}

impl Error for ValidationErrors {}
