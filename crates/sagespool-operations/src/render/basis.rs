//! An answer's sources as text.

use super::show_time;
use crate::{AnswerBasis, SilentMember, StoreBasis};

/// Limit on members without a reply that are listed by name; the rest is counted.
const MAX_NAMED: usize = 8;

pub(super) fn render(basis: &AnswerBasis) -> String {
    let mut lines = vec![format!(
        "compiled by {} from {} within {} ms",
        basis.entry,
        show_time(basis.from),
        basis.to.0.saturating_sub(basis.from.0)
    )];
    match &basis.store {
        StoreBasis::NotAsked => {}
        StoreBasis::Read { revision } => lines.push(format!("store read at revision {revision}")),
        StoreBasis::Silent { why } => lines.push(format!("store not read: {why}")),
    }
    let queried = basis.answered.len() + basis.silent.len();
    if queried > 0 {
        lines.push(format!("answered: {} of {queried} members", basis.answered.len()));
    }
    lines.extend(basis.silent.iter().take(MAX_NAMED).map(show_silent));
    if basis.silent.len() > MAX_NAMED {
        lines.push(format!("no answer: {} more", basis.silent.len() - MAX_NAMED));
    }
    lines.extend(basis.notes.iter().map(|note| format!("note: {note}")));
    lines.join("\n")
}

fn show_silent(silent: &SilentMember) -> String {
    format!("no answer: {} ({})", silent.member, silent.why)
}
