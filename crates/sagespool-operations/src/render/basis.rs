//! What an answer rests on, in a few lines.

use super::show_time;
use crate::{AnswerBasis, SilentMember, StoreBasis};

/// Silent members named one by one; of more, their number.
const MOST_NAMED: usize = 8;

pub(super) fn render(basis: &AnswerBasis) -> String {
    let mut lines = vec![format!(
        "put together by {} from {} within {} ms",
        basis.entry,
        show_time(basis.from),
        basis.to.0.saturating_sub(basis.from.0)
    )];
    match &basis.store {
        StoreBasis::NotAsked => {}
        StoreBasis::Read { revision } => lines.push(format!("store read at revision {revision}")),
        StoreBasis::Silent { why } => lines.push(format!("store not read: {why}")),
    }
    let asked = basis.answered.len() + basis.silent.len();
    if asked > 0 {
        lines.push(format!("answered: {} of {asked} members", basis.answered.len()));
    }
    lines.extend(basis.silent.iter().take(MOST_NAMED).map(show_silent));
    if basis.silent.len() > MOST_NAMED {
        lines.push(format!("no answer: {} more", basis.silent.len() - MOST_NAMED));
    }
    lines.extend(basis.notes.iter().map(|note| format!("note: {note}")));
    lines.join("\n")
}

fn show_silent(silent: &SilentMember) -> String {
    format!("no answer: {} ({})", silent.member, silent.why)
}
