//! Parsing and checking of chat completion requests.

use sagespool_settings::{FleetConfiguration, ModelConfig};
use sagespool_types::{ContentDigest, ModelName, ServiceName, TokenCount};
use serde::Deserialize;
use twox_hash::XxHash3_128;

use super::CallerError;

/// Length of the prompt prefix that keys the engines' prompt caches, see docs/PLATFORM.md.
const PREFIX_BYTES: usize = 256;

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<i64>,
    stream: Option<bool>,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// A checked chat completion request.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionCall {
    /// The requested model.
    pub model: ModelName,
    /// The service whose engines serve it.
    pub service: ServiceName,
    /// The maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// The cost of the prompt in tokens.
    pub prompt_tokens: u32,
    /// True if the answer is requested as server-sent events.
    pub stream: bool,
    /// Digest of the messages and the model, independent of the token limit and of streaming.
    pub content: ContentDigest,
    /// The key of engines' prompt caches.
    pub prefix: u128,
}

impl CompletionCall {
    /// The maximum cost.
    pub fn max_cost(&self) -> TokenCount {
        TokenCount(u64::from(self.prompt_tokens) + u64::from(self.max_tokens))
    }
}

const ROLES: [&str; 4] = ["system", "user", "assistant", "tool"];

fn check_messages(messages: &[ChatMessage]) -> Result<(), CallerError> {
    if messages.is_empty() {
        return Err(CallerError::bad("no-messages", "`messages` is empty", "at least one message"));
    }
    for (place, message) in messages.iter().enumerate() {
        if !ROLES.contains(&message.role.as_str()) {
            let text = format!("messages[{place}].role is `{}`", message.role);
            return Err(CallerError::bad(
                "message-role",
                text,
                format!("one of: {}", ROLES.join(", ")),
            ));
        }
    }
    if messages.iter().all(|message| message.content.is_empty()) {
        return Err(CallerError::bad("empty-prompt", "every message is empty", "some content"));
    }
    Ok(())
}

fn find_model<'a>(
    name: &str,
    config: &'a FleetConfiguration,
) -> Result<(&'a ServiceName, &'a ModelConfig), CallerError> {
    let error = || {
        let known: Vec<String> = config.models().map(|model| model.name.to_string()).collect();
        let help = format!("one of: {}", known.join(", "));
        CallerError::new(
            trillium::Status::NotFound,
            "unknown-model",
            format!("there is no model `{name}`"),
            help,
        )
    };
    let name: ModelName = name.parse().map_err(|_| error())?;
    let service = config.service_of_model(&name).ok_or_else(error)?;
    let model = config.model(&name).ok_or_else(error)?;
    Ok((&service.name, model))
}

fn check_max_tokens(given: Option<i64>, model: &ModelConfig) -> Result<u32, CallerError> {
    let most = model.most_tokens;
    let Some(given) = given else {
        return Ok(most);
    };
    let fits = given >= 1 && given <= i64::from(most);
    if !fits {
        let text = format!("max_tokens is {given}");
        return Err(CallerError::bad(
            "max-tokens",
            text,
            format!("1 to {most} for {}", model.name),
        ));
    }
    Ok(given as u32)
}

/// Parses and checks a chat completion request.
///
/// # Errors
/// 400 with the position of the error in the JSON, 404 for an unknown model.
pub fn read_completion(
    body: &[u8],
    config: &FleetConfiguration,
) -> Result<CompletionCall, CallerError> {
    let malformed = |error: serde_json::Error| {
        let place = format!("line {} column {}", error.line(), error.column());
        let text = format!("the body is not a chat completion, at {place}: {error}");
        CallerError::bad("malformed-json", text, "an object with `model` and `messages`")
    };
    let body: CompletionBody = serde_json::from_slice(body).map_err(malformed)?;
    check_messages(&body.messages)?;
    let (service, model) = find_model(&body.model, config)?;
    let max_tokens = check_max_tokens(body.max_tokens, model)?;
    let prompt: String = body.messages.iter().map(|message| message.content.as_str()).collect();
    let prompt_tokens = (prompt.len() as u64).div_ceil(u64::from(model.bytes_per_token.max(1)));
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    Ok(CompletionCall {
        model: model.name.clone(),
        service: service.clone(),
        max_tokens,
        prompt_tokens: prompt_tokens.min(u64::from(u32::MAX)) as u32,
        stream: body.stream.unwrap_or(false),
        content: content_digest(&model.name, &body.messages),
        prefix: XxHash3_128::oneshot(prefix),
    })
}

/// Digest without the token limit and the form of the answer, so that a request that crashes
/// upstreams is recognized with other options too.
fn content_digest(model: &ModelName, messages: &[ChatMessage]) -> ContentDigest {
    let mut parts = Vec::new();
    for message in messages {
        parts.extend_from_slice(&(message.role.len() as u64).to_le_bytes());
        parts.extend_from_slice(message.role.as_bytes());
        parts.extend_from_slice(&(message.content.len() as u64).to_le_bytes());
        parts.extend_from_slice(message.content.as_bytes());
    }
    ContentDigest::of(model.as_str(), &parts)
}
