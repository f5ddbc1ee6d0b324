//! The known word that somebody may have meant.

/// Below this likeness (Jaro-Winkler, 0 to 1) a suggestion confuses more than it helps.
const LEAST_LIKENESS: f64 = 0.75;

/// The known word most like a text, if any is like it at all.
pub fn nearest_of(text: &str, known: &[&str]) -> Option<String> {
    let text = text.to_lowercase();
    let likeness =
        |word: &&str| (strsim::jaro_winkler(&text, &word.to_lowercase()), word.to_string());
    let best = known.iter().map(likeness).max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= LEAST_LIKENESS).then_some(best.1)
}
