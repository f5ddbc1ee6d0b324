//! An engine's stream of events, read into typed ones.

use std::error::Error;
use std::fmt;

use sagespool_messages::FinishReason;
use serde::Deserialize;

/// The text of the event that closes a stream.
const DONE: &str = "[DONE]";

/// One event of a completion's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token.
    Token {
        /// Its place in the whole answer, from 0, if the engine says it.
        index: Option<u32>,
        /// Its text.
        text: String,
    },
    /// The engine has finished.
    Finished {
        /// Why.
        stop: FinishReason,
        /// How many tokens the engine says it made, if it does.
        completion_tokens: Option<u32>,
    },
    /// The engine gave the request up, for the reason it says.
    Aborted(String),
    /// Nothing follows.
    Done,
    /// An event without a token, which counts for nothing.
    Empty,
}

/// An event that is none of an engine's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventFault {
    /// Where the event differs from what was expected.
    pub detail: String,
}

impl fmt::Display for EventFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the engine sent an event that can't be read: {}", self.detail)
    }
}

impl Error for EventFault {}

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
    /// Reads the data of one server-sent event.
    ///
    /// # Errors
    ///
    /// An [`EventFault`] for data that is neither a completion's event nor the
    /// closing mark.
    pub fn read(data: &str) -> Result<Self, EventFault> {
        if data == DONE {
            return Ok(Self::Done);
        }
        let event: WireEvent =
            serde_json::from_str(data).map_err(|error| EventFault { detail: error.to_string() })?;
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

    /// Only two reasons stand for a whole answer. An engine that was told to
    /// cancel closes its stream in good order too, with another one.
    fn finish(reason: String, completion_tokens: Option<u32>) -> Self {
        match reason.as_str() {
            "stop" => Self::Finished { stop: FinishReason::Stop, completion_tokens },
            "length" => Self::Finished { stop: FinishReason::Length, completion_tokens },
            _ => Self::Aborted(reason),
        }
    }
}
