//! The configuration as tables.

use super::{column_table, show_option};
use crate::{ConfigObjectRow, ConfigRollout, ConfigurationAnswer};

pub(super) fn render(answer: &ConfigurationAnswer) -> String {
    let mut text = String::new();
    if let Some(shown) = &answer.shown {
        let value = serde_json::to_string_pretty(&shown.value).unwrap_or_default();
        text.push_str(&format!("{} at version {}:\n{value}\n\n", shown.place, shown.version));
    }
    match &answer.objects {
        Some(objects) => {
            let header = ["object", "version", "holds"];
            text.push_str(&column_table(&header, &[1, 2], objects.iter().map(show_object)));
        }
        None => text.push_str("stored versions unknown: the store could not be read"),
    }
    let version = show_option(answer.entry_version);
    text.push_str(&format!("\napplied at the answering entry: version {version}\n"));
    text.push_str(&render_in_force(&answer.in_force));
    text
}

fn show_object(row: &ConfigObjectRow) -> Vec<String> {
    vec![row.key.clone(), row.version.to_string(), row.holds.to_string()]
}

/// Counts the members that have applied a change and lists those that have not reported it.
pub(super) fn render_in_force(in_force: &ConfigRollout) -> String {
    let rows = [("entries", &in_force.entries), ("sidecars", &in_force.sidecars)];
    let mut lines = Vec::new();
    for (role, row) in rows {
        let Some(row) = row else { continue };
        let (applied, all) = (row.members.len(), row.members.len() + row.not_known.len());
        lines.push(format!("version {} is applied at {applied} of {all} {role}", row.version));
    }
    let not_known = in_force.not_known();
    lines.extend(not_known.map(|other| {
        format!("not reported as applied: {} (at version {})", other.member, other.version)
    }));
    lines.join("\n")
}
