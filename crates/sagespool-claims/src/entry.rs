//! A stored claim, and the intent to make one.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use sagespool_messages::ClaimRequest;
use sagespool_types::{
    AttemptNumber, ContentDigest, IncarnationId, KeyDigest, ParseError, RequestId, WallTime,
    derives,
};

derives! { record;
    /// A claim: only this request may run under the key, and only on this sidecar.
    ///
    /// Serialized as one line of text, which takes half the space of a JSON object.
    #[derive(Eq)]
    #[serde(try_from = "String", into = "String")]
    pub struct ClaimEntry {
        /// The request.
        pub request: RequestId,
        /// Digest of the request's target and body.
        pub content: ContentDigest,
        /// The sidecar that may run it.
        pub sidecar: IncarnationId,
        /// The attempt that the claim is for.
        pub attempt: AttemptNumber,
        /// Time of the claim, by the claiming home's wall clock.
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
    /// A claim that can no longer be used: the same incarnation of its sidecar has
    /// never seen the key, and refuses the request from now on.
    pub struct FencedClaim {
        /// The request that held the claim.
        pub request: RequestId,
        /// The sidecar that refuses it.
        pub sidecar: IncarnationId,
    }
}

/// A claim that a home is about to make for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimIntent {
    /// The key.
    pub key: KeyDigest,
    /// The request that is to run under it.
    pub request: RequestId,
    /// Digest of the request's target and body.
    pub content: ContentDigest,
    /// The only sidecar that may run it.
    pub sidecar: IncarnationId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The home that writes the claim.
    pub home: IncarnationId,
    /// The claim that this one may replace.
    pub replaces: Option<FencedClaim>,
    /// Time until the claim expires; it counts from [`ClaimBatch::add`](crate::ClaimBatch::add).
    pub time_left: Duration,
}

impl ClaimIntent {
    /// The claim that an entry requests from the home `home`.
    pub fn of(request: &ClaimRequest, home: IncarnationId) -> Self {
        Self {
            key: request.key,
            request: request.request,
            content: request.content,
            sidecar: request.sidecar,
            attempt: request.attempt,
            home,
            replaces: None,
            time_left: request.time_left,
        }
    }

    /// The same intent, allowed to replace a conflicting claim that its sidecar has fenced.
    pub fn replacing(self, fenced: FencedClaim) -> Self {
        Self { replaces: Some(fenced), ..self }
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

    /// True if the entry is the claim of this intent.
    pub(crate) fn matches(&self, entry: &ClaimEntry) -> bool {
        entry.request == self.request
            && entry.sidecar == self.sidecar
            && entry.attempt == self.attempt
    }
}
