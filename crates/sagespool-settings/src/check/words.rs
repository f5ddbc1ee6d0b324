//! How paths, values and known words are written in a fault.

use serde_json::Value;

/// Below this likeness (Jaro-Winkler, 0 to 1) a suggestion confuses more than it helps.
const LEAST_LIKENESS: f64 = 0.75;

/// The known word most like a text, if any is like it at all.
pub(crate) fn nearest_of(text: &str, words: &[&str]) -> Option<String> {
    let likeness = |word: &&str| (strsim::jaro_winkler(text, word), word.to_string());
    let best = words.iter().map(likeness).max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= LEAST_LIKENESS).then_some(best.1)
}

pub(super) fn quote_all(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    quoted.join(", ")
}

/// `$.a.b`, or `$.a["odd name"]` where the name would be misread.
pub(crate) fn field_path(parent: &str, name: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "_-".contains(c);
    if !name.is_empty() && name.chars().all(plain) {
        return format!("{parent}.{name}");
    }
    format!("{parent}[{name:?}]")
}

const SHOWN_CHARACTERS: usize = 64;

pub(super) fn show_value(value: &Value) -> String {
    match value {
        Value::Array(_) | Value::Object(_) => show_kind(value).to_owned(),
        Value::String(text) if text.chars().count() > SHOWN_CHARACTERS => {
            let start: String = text.chars().take(SHOWN_CHARACTERS).collect();
            format!("{start:?}… (a text of {} bytes)", text.len())
        }
        Value::String(text) => format!("{text:?}"),
        scalar => scalar.to_string(),
    }
}

pub(super) fn show_kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a flag",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
