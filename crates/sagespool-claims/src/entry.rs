//! One claim, and the intent for one.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use sagespool_messages::ClaimRequest;
use sagespool_types::{
    AttemptNumber, ContentDigest, IncarnationId, KeyDigest, ParseError, RequestId, WallTime,
    derives,
};

derives! { record;
    /// A claim: this request alone may run under the key, and on this sidecar alone.
    ///
    /// Written as one line of text, which takes half the room of an object.
    #[derive(Eq)]
    #[serde(try_from = "String", into = "String")]
    pub struct ClaimEntry {
        /// The request.
        pub request: RequestId,
        /// What it asks for.
        pub content: ContentDigest,
        /// The sidecar that may run it.
        pub sidecar: IncarnationId,
        /// The attempt at it.
        pub attempt: AttemptNumber,
        /// When it was claimed, by the claiming home's wall clock.
        pub at: WallTime,
    }
}

impl fmt::Display for ClaimEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { request, content, sidecar, attempt, at } = self;
        write!(f, "{request} {content} {sidecar} {attempt} {at}")
    }
}

impl FromStr for ClaimEntry {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parts: Vec<&str> = text.split(' ').collect();
        let &[request, content, sidecar, attempt, at] = parts.as_slice() else {
            return Err(ParseError::new("a claim", text, "REQUEST CONTENT SIDECAR ATTEMPT TIME"));
        };
        Ok(Self {
            request: request.parse()?,
            content: content.parse()?,
            sidecar: sidecar.parse()?,
            attempt: attempt.parse()?,
            at: at.parse()?,
        })
    }
}

sagespool_types::string_conversions!(ClaimEntry);

derives! { value;
    /// A claim that can't be used any more: its sidecar, still the same
    /// incarnation, never saw the key and refuses the request from now on.
    pub struct FencedClaim {
        /// The request that held the claim.
        pub request: RequestId,
        /// The sidecar that refuses it.
        pub sidecar: IncarnationId,
    }
}

/// A claim that a home wants to make for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimIntent {
    /// The key.
    pub key: KeyDigest,
    /// The request that is to run under it.
    pub request: RequestId,
    /// What it asks for.
    pub content: ContentDigest,
    /// The sidecar that alone may run it.
    pub sidecar: IncarnationId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The home that writes the claim.
    pub home: IncarnationId,
    /// The claim that this one may take the place of.
    pub overturns: Option<FencedClaim>,
    /// How long the claim may take; a home refuses it after that.
    pub time_left: Duration,
}

impl ClaimIntent {
    /// The intent that a home has for an entry's request.
    pub fn of(request: &ClaimRequest, home: IncarnationId) -> Self {
        Self {
            key: request.key,
            request: request.request,
            content: request.content,
            sidecar: request.sidecar,
            attempt: request.attempt,
            home,
            overturns: None,
            time_left: request.time_left,
        }
    }

    /// The same intent after the sidecar of the claim in its way fenced it.
    pub fn replacing(self, fenced: FencedClaim) -> Self {
        Self { overturns: Some(fenced), ..self }
    }

    pub(crate) fn entry(&self, at: WallTime) -> ClaimEntry {
        ClaimEntry {
            request: self.request,
            content: self.content,
            sidecar: self.sidecar,
            attempt: self.attempt,
            at,
        }
    }

    /// True if an entry is what this intent asks for.
    pub(crate) fn is_met_by(&self, entry: &ClaimEntry) -> bool {
        entry.request == self.request
            && entry.sidecar == self.sidecar
            && entry.attempt == self.attempt
    }
}
