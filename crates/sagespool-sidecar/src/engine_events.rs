//! Parses the events of an engine's completion stream.

use std::error::Error;
use std::fmt;

use sagespool_messages::FinishReason;
use serde::Deserialize;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// One event of a completion's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token.
    Token {
        /// Position in the whole answer, from 0; `None` if the engine does not send it.
        index: Option<u32>,
        /// Text of the token.
        text: String,
    },
    /// The engine has finished.
    Finished {
        /// Why the answer ended.
        reason: FinishReason,
        /// The engine's own token count; `None` if it does not send it.
        completion_tokens: Option<u32>,
    },
    /// The engine aborted the request, with its finish reason.
    Aborted(String),
    /// The stream is complete.
    Done,
    /// An event without a token.
    Empty,
}

/// An event that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEventError {
    /// The parser's message.
    pub detail: String,
}

impl fmt::Display for EngineEventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to parse an event from the engine: {}", self.detail)
    }
}

impl Error for EngineEventError {}

#[derive(Deserialize)]
struct WireEvent {
    index: Option<u32>,
    #[serde(default)]
    choices: Vec<WireChoice>,
    usage: Option<WireUsage>,
}

#[derive(Deserialize)]
struct WireChoice {
    delta: Option<WireDelta>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct WireDelta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct WireUsage {
    completion_tokens: Option<u32>,
}

impl EngineEvent {
    /// Parses the data of one server-sent event.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineEventError`] for data that is neither a completion event
    /// nor the end of the stream.
    pub fn parse(data: &str) -> Result<Self, EngineEventError> {
        if data == DONE {
            return Ok(Self::Done);
        }
        let event: WireEvent = serde_json::from_str(data)
            .map_err(|error| EngineEventError { detail: error.to_string() })?;
        let completion_tokens = event.usage.and_then(|usage| usage.completion_tokens);
        let Some(choice) = event.choices.into_iter().next() else {
            return Ok(Self::Empty);
        };
        if let Some(reason) = choice.finish_reason {
            return Ok(Self::finish(reason, completion_tokens));
        }
        match choice.delta.and_then(|delta| delta.content) {
            Some(text) => Ok(Self::Token { index: event.index, text }),
            None => Ok(Self::Empty),
        }
    }

    /// Only `stop` and `length` mean a complete answer. A cancelled engine also
    /// closes its stream regularly, with another reason.
    fn finish(reason: String, completion_tokens: Option<u32>) -> Self {
        match reason.as_str() {
            "stop" => Self::Finished { reason: FinishReason::Stop, completion_tokens },
            "length" => Self::Finished { reason: FinishReason::Length, completion_tokens },
            _ => Self::Aborted(reason),
        }
    }
}
