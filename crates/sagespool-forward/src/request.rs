//! The attributes of a request that forwarding uses.

use std::time::Duration;

use sagespool_types::TokenCount;

/// Attributes of a request, decoded from its header.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestAttributes {
    /// The caller's id of this attempt.
    pub request: String,
    /// How long the caller waits for the response. None if the header has no deadline.
    pub timeout: Option<Duration>,
    /// The key that identifies the client account.
    pub key: Option<String>,
    /// The tokens that it may use.
    pub tokens: Option<DeclaredTokens>,
    /// The parts of its prompt in order. Engines cache parts that they have prefilled.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// The caller's id of the attempt that brought the stream's first event, if it resumes one.
    pub resumes: Option<String>,
}

/// The tokens that a request declares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeclaredTokens {
    /// Tokens of its prompt.
    pub prompt: TokenCount,
    /// Maximum tokens of its response.
    pub answer: TokenCount,
}

impl DeclaredTokens {
    /// The maximum cost of the request.
    pub fn most(self) -> TokenCount {
        self.prompt + self.answer
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies equal parts across requests.
    pub id: u64,
    /// Its length.
    pub tokens: TokenCount,
}
