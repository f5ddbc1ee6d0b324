//! Builds the body of an engine request from the caller's body.

use std::collections::BTreeMap;

use sagespool_messages::ResumePoint;
use sagespool_types::ModelName;
use serde_json::Error;
use serde_json::value::{RawValue, to_raw_value};

/// Fields of a completion that the sidecar sets regardless of the caller's body.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineOverrides<'a> {
    /// The model to run.
    pub model: &'a ModelName,
    /// Most tokens of the whole answer, at most those reserved. An engine that
    /// respects the limit produces no token without budget.
    pub max_tokens: u32,
    /// The engine's priority; lower goes first.
    pub priority: u8,
    /// The point to resume the answer at; `None` starts from the beginning.
    pub resume: Option<&'a ResumePoint>,
}

/// The caller's body with the sidecar's overrides; all other fields are unchanged.
///
/// # Errors
///
/// Returns an error if the body is not a JSON object.
pub fn engine_body(body: &[u8], overrides: &EngineOverrides<'_>) -> Result<Vec<u8>, Error> {
    let mut fields: BTreeMap<String, Box<RawValue>> = serde_json::from_slice(body)?;
    fields.insert("model".to_owned(), to_raw_value(overrides.model)?);
    fields.insert("max_tokens".to_owned(), to_raw_value(&overrides.max_tokens)?);
    fields.insert("priority".to_owned(), to_raw_value(&overrides.priority)?);
    fields.insert("stream".to_owned(), to_raw_value(&true)?);
    match overrides.resume {
        Some(resume) => fields.insert("resume".to_owned(), to_raw_value(resume)?),
        None => fields.remove("resume"),
    };
    serde_json::to_vec(&fields)
}
