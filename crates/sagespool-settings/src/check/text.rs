//! Formats paths, values and known names for error texts.

use serde_json::Value;

/// Less similar names (Jaro-Winkler, 0 to 1) are not suggested: they confuse more than they help.
const MIN_SIMILARITY: f64 = 0.75;

/// The known name most similar to `text`, if one is similar enough.
pub(crate) fn nearest_of(text: &str, names: &[&str]) -> Option<String> {
    let similarity = |name: &&str| (strsim::jaro_winkler(text, name), name.to_string());
    let best = names.iter().map(similarity).max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_SIMILARITY).then_some(best.1)
}

pub(super) fn quote_names(names: &[&str]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}

/// `$.a.b`, or `$.a["odd name"]` for a name with other characters.
pub(crate) fn field_path(parent: &str, name: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "_-".contains(c);
    if !name.is_empty() && name.chars().all(plain) {
        return format!("{parent}.{name}");
    }
    format!("{parent}[{name:?}]")
}

const MAX_SHOWN_CHARS: usize = 64;

pub(super) fn show_value(value: &Value) -> String {
    match value {
        Value::Array(_) | Value::Object(_) => show_kind(value).to_owned(),
        Value::String(text) if text.chars().count() > MAX_SHOWN_CHARS => {
            let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
            format!("{start:?}… (a string of {} bytes)", text.len())
        }
        Value::String(text) => format!("{text:?}"),
        scalar => scalar.to_string(),
    }
}

pub(super) fn show_kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
