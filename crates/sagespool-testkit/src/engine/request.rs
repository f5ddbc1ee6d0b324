//! The body of a completion call.

use std::fmt;

use serde::Deserialize;

use super::answer::{AnswerSeed, natural_length, prompt_tokens};
use super::cache::prefix_digest;

const DEFAULT_MAX_TOKENS: u32 = 256;
const DEFAULT_PRIORITY: u8 = 100;
const POISON_MARKER: &str = "poison";

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    priority: Option<u8>,
    resume: Option<ResumePlace>,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Deserialize)]
struct ResumePlace {
    tokens: u32,
    text: String,
}

/// Whether a text makes the upstream that runs it crash.
pub(crate) fn is_poisonous(text: &str) -> bool {
    text.contains(POISON_MARKER)
}

/// Why an engine doesn't take a call's body.
#[derive(Debug)]
pub(crate) enum RequestFault {
    Malformed(serde_json::Error),
    NotStreamed,
    WrongResume,
}

impl fmt::Display for RequestFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "the body is not a completion request: {error}"),
            Self::NotStreamed => f.write_str("this engine only streams: set `stream` to true"),
            Self::WrongResume => {
                f.write_str("`resume.text` is not the first `resume.tokens` tokens of the answer")
            }
        }
    }
}

/// A completion that an engine is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CompletionOrder {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) priority: u8,
    pub(crate) seed: AnswerSeed,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefix: u128,
    pub(crate) resumed_from: u32,
    pub(crate) length: u32,
    pub(crate) finish_reason: &'static str,
    pub(crate) poisonous: bool,
}

impl CompletionOrder {
    pub(crate) fn read(body: &[u8]) -> Result<Self, RequestFault> {
        let body: CompletionBody = serde_json::from_slice(body).map_err(RequestFault::Malformed)?;
        if !body.stream {
            return Err(RequestFault::NotStreamed);
        }
        let prompt: String = body.messages.iter().map(|message| &*message.content).collect();
        let seed = AnswerSeed::of(&body.model, &prompt);
        let resumed_from = check_resume(seed, body.resume.as_ref())?;
        let most = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let (length, finish_reason) = match natural_length(&prompt) {
            Some(natural) if natural <= most => (natural, "stop"),
            _ => (most, "length"),
        };
        Ok(Self {
            seed,
            prompt_tokens: prompt_tokens(&prompt),
            prefix: prefix_digest(&prompt),
            resumed_from: resumed_from.min(length),
            length,
            finish_reason,
            poisonous: is_poisonous(&prompt),
            priority: body.priority.unwrap_or(DEFAULT_PRIORITY),
            model: body.model,
            prompt,
        })
    }
}

/// A resumed answer must go on from this engine's own words, or it would have a gap.
fn check_resume(seed: AnswerSeed, resume: Option<&ResumePlace>) -> Result<u32, RequestFault> {
    let Some(resume) = resume else {
        return Ok(0);
    };
    let mut rest = &*resume.text;
    for place in 0..resume.tokens {
        let token = seed.token(place);
        rest = rest.strip_prefix(&*token).ok_or(RequestFault::WrongResume)?;
    }
    if !rest.is_empty() {
        return Err(RequestFault::WrongResume);
    }
    Ok(resume.tokens)
}
