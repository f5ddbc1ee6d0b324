//! Suggestions for misspelt words.

/// Minimum Jaro-Winkler similarity (0 to 1); less similar suggestions confuse more than they help.
const MIN_SIMILARITY: f64 = 0.75;

/// The known word most similar to `text`, ignoring case; `None` if none is similar enough.
pub fn nearest_of(text: &str, known: &[&str]) -> Option<String> {
    let text = text.to_lowercase();
    let similarity =
        |word: &&str| (strsim::jaro_winkler(&text, &word.to_lowercase()), word.to_string());
    let best = known.iter().map(similarity).max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_SIMILARITY).then_some(best.1)
}
