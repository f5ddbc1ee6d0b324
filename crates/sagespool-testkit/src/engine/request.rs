//! The request body of a completion.

use std::fmt;

use serde::Deserialize;

use super::answer::{AnswerSeed, natural_length, prompt_tokens};
use super::cache::prefix_digest;

const DEFAULT_MAX_TOKENS: u32 = 256;
const DEFAULT_PRIORITY: u8 = 100;
const POISON_MARKER: &str = "poison";
/// Marks a prompt that crashes an engine only after some tokens.
const LATE_POISON_MARKER: &str = "late-poison";
/// Tokens that a run of such a prompt generates before the crash.
const TOKENS_BEFORE_CRASH: u32 = 2;

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    priority: Option<u8>,
    resume: Option<ResumePosition>,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Deserialize)]
struct ResumePosition {
    tokens: u32,
    text: String,
}

/// True if a text crashes the upstream that runs it.
pub(crate) fn is_poisonous(text: &str) -> bool {
    text.contains(POISON_MARKER)
}

/// Index of the token before which a run of a prompt crashes the engine.
fn crash_index(prompt: &str, resumed_from: u32) -> Option<u32> {
    let tokens = if prompt.contains(LATE_POISON_MARKER) { TOKENS_BEFORE_CRASH } else { 0 };
    is_poisonous(prompt).then(|| resumed_from.saturating_add(tokens))
}

/// Why the body of a completion request is refused.
#[derive(Debug)]
pub(crate) enum RequestError {
    Malformed(serde_json::Error),
    NotStreamed,
    WrongResume,
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "the body is not a completion request: {error}"),
            Self::NotStreamed => f.write_str("only streaming is supported: set `stream` to true"),
            Self::WrongResume => {
                f.write_str("`resume.text` is not the first `resume.tokens` tokens of the answer")
            }
        }
    }
}

/// A validated completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CompletionRequest {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) priority: u8,
    pub(crate) seed: AnswerSeed,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefix: u128,
    pub(crate) resumed_from: u32,
    pub(crate) length: u32,
    pub(crate) finish_reason: &'static str,
    /// Index of the token before which a run of it crashes the engine; `None` if it doesn't.
    pub(crate) crashes_at: Option<u32>,
}

impl CompletionRequest {
    pub(crate) fn read(body: &[u8]) -> Result<Self, RequestError> {
        let body: CompletionBody = serde_json::from_slice(body).map_err(RequestError::Malformed)?;
        if !body.stream {
            return Err(RequestError::NotStreamed);
        }
        let prompt: String = body.messages.iter().map(|message| &*message.content).collect();
        let seed = AnswerSeed::of(&body.model, &prompt);
        let resumed_from = check_resume(seed, body.resume.as_ref())?;
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let (length, finish_reason) = match natural_length(&prompt) {
            Some(natural) if natural <= max_tokens => (natural, "stop"),
            _ => (max_tokens, "length"),
        };
        Ok(Self {
            seed,
            prompt_tokens: prompt_tokens(&prompt),
            prefix: prefix_digest(&prompt),
            resumed_from: resumed_from.min(length),
            length,
            finish_reason,
            crashes_at: crash_index(&prompt, resumed_from),
            priority: body.priority.unwrap_or(DEFAULT_PRIORITY),
            model: body.model,
            prompt,
        })
    }
}

/// A resumed answer must continue a prefix of this engine's own answer; otherwise it would have
/// a gap.
fn check_resume(seed: AnswerSeed, resume: Option<&ResumePosition>) -> Result<u32, RequestError> {
    let Some(resume) = resume else {
        return Ok(0);
    };
    let mut rest = &*resume.text;
    for index in 0..resume.tokens {
        let token = seed.token(index);
        rest = rest.strip_prefix(&*token).ok_or(RequestError::WrongResume)?;
    }
    if !rest.is_empty() {
        return Err(RequestError::WrongResume);
    }
    Ok(resume.tokens)
}
