//! Deterministic answers: they depend on the model and the prompt alone.

use twox_hash::XxHash3_64;

const BYTES_PER_TOKEN: usize = 4;
const LENGTH_PREFIX: &str = "len:";

/// Token `index` (from 0) of the answer to a prompt (the concatenated contents of the messages).
pub fn answer_token(model: &str, prompt: &str, index: u32) -> String {
    AnswerSeed::of(model, prompt).token(index)
}

/// The first `count` tokens of the answer to a prompt, joined.
pub fn answer_text(model: &str, prompt: &str, count: u32) -> String {
    let seed = AnswerSeed::of(model, prompt);
    (0..count).map(|index| seed.token(index)).collect()
}

/// The length of a text in tokens: its bytes divided by 4, rounded up.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// The answer length that the prompt requests with `len:<n>`, if any.
pub fn natural_length(prompt: &str) -> Option<u32> {
    prompt.split(LENGTH_PREFIX).skip(1).find_map(leading_number)
}

fn leading_number(text: &str) -> Option<u32> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    text[..digits].parse().ok()
}

/// The seed of all tokens of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnswerSeed(u64);

impl AnswerSeed {
    pub(crate) fn of(model: &str, prompt: &str) -> Self {
        let model = XxHash3_64::oneshot(model.as_bytes());
        Self(XxHash3_64::oneshot_with_seed(model, prompt.as_bytes()))
    }

    pub(crate) fn token(self, index: u32) -> String {
        let hash = XxHash3_64::oneshot_with_seed(self.0, &index.to_le_bytes());
        format!(" w{:08x}", hash as u32)
    }
}
