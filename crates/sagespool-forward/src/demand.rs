//! What a caller asks for, as far as forwarding looks at it.

use std::time::Duration;

use sagespool_types::TokenCount;

/// A request's terms, decoded from its header.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestAttributes {
    /// The caller's id of this one try.
    pub request: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The key that tells the client account.
    pub key: Option<String>,
    /// The tokens that it may use.
    pub tokens: Option<DeclaredTokens>,
    /// The parts of its prompt in order; engines keep what they have read.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has, if it goes on with a stream.
    pub resume_after: Option<u64>,
}

/// The tokens that a request declares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeclaredTokens {
    /// Tokens of its prompt.
    pub prompt: TokenCount,
    /// The most tokens of its answer.
    pub answer: TokenCount,
}

impl DeclaredTokens {
    /// The most that the request can cost.
    pub fn most(self) -> TokenCount {
        self.prompt + self.answer
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What the part is known by.
    pub id: u64,
    /// Its length.
    pub tokens: TokenCount,
}
