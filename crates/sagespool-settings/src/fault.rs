//! What is wrong with a file or an object, every fault at once.

use std::error::Error;
use std::fmt;

use serde::Serialize;

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ValidationError {
    /// Where it is, as a JSON path: `$.link.listen`, `$.peers[1]`.
    pub path: String,
    /// What was found there. Never a secret.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
    /// For an unknown field or word: the nearest one that is known.
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

/// Every fault of one file or object, in the order of their checks. Never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationErrors {
    /// The faults.
    pub faults: Vec<ValidationError>,
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.faults.len() {
            1 => write!(f, "1 fault")?,
            count => write!(f, "{count} faults")?,
        }
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl Error for ValidationErrors {}
