//! The body that goes to an engine, made from the caller's.

use std::collections::BTreeMap;

use sagespool_messages::ResumePoint;
use sagespool_types::ModelName;
use serde_json::Error;
use serde_json::value::{RawValue, to_raw_value};

/// What the sidecar decides about a completion, whatever the caller's body says.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTerms<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The most tokens that the whole answer may have. No more than was
    /// reserved, so that an engine which keeps to it never makes a token that
    /// nobody pays for.
    pub max_tokens: u32,
    /// The engine's priority; lower goes first.
    pub priority: u8,
    /// Where to go on.
    pub resume: Option<&'a ResumePoint>,
}

/// The caller's body with the sidecar's terms in it; everything else as it came.
///
/// # Errors
///
/// If the body is no JSON object.
pub fn engine_body(body: &[u8], terms: &EngineTerms<'_>) -> Result<Vec<u8>, Error> {
    let mut fields: BTreeMap<String, Box<RawValue>> = serde_json::from_slice(body)?;
    fields.insert("model".to_owned(), to_raw_value(terms.model)?);
    fields.insert("max_tokens".to_owned(), to_raw_value(&terms.max_tokens)?);
    fields.insert("priority".to_owned(), to_raw_value(&terms.priority)?);
    fields.insert("stream".to_owned(), to_raw_value(&true)?);
    match terms.resume {
        Some(resume) => fields.insert("resume".to_owned(), to_raw_value(resume)?),
        None => fields.remove("resume"),
    };
    serde_json::to_vec(&fields)
}
