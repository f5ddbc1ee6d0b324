//! Commands as tables.

use super::configuration::render_in_force;
use super::{column_table, show_time};
use crate::{CommandAnswer, CommandState, CommandSummary, CommandsAnswer, ItemAnswer};

/// Limit on the characters of a line in the list.
const MAX_SHOWN_CHARS: usize = 48;

pub(super) fn render_list(answer: &CommandsAnswer) -> String {
    let Some(rows) = &answer.rows else {
        return "commands unknown: the store could not be read".to_owned();
    };
    if rows.is_empty() {
        return "no command is recorded".to_owned();
    }
    let header = ["command", "at", "by", "state", "items", "succeeded", "line"];
    column_table(&header, &[], rows.iter().map(show_summary))
}

fn show_summary(row: &CommandSummary) -> Vec<String> {
    let mut line: String = row.line.chars().take(MAX_SHOWN_CHARS).collect();
    if line.len() < row.line.len() {
        line.push('…');
    }
    let state = match (row.state, row.cancelled) {
        (CommandState::Running, true) => "cancelling".to_owned(),
        (CommandState::Ended, true) => "cancelled".to_owned(),
        (state, false) => state.to_string(),
    };
    vec![
        row.command.to_string(),
        show_time(row.at),
        row.by.to_string(),
        state,
        format!("{} of {}", row.ended, row.items),
        row.good.to_string(),
        line,
    ]
}

pub(super) fn render_one(answer: &CommandAnswer) -> String {
    let mut text = format!("command {}: {}", answer.command, answer.state);
    if answer.repeated {
        text.push_str(", submitted before");
    }
    if answer.cancelled {
        text.push_str(", cancelled");
    }
    for item in &answer.items {
        text.push('\n');
        text.push_str(&show_item(item));
    }
    if let Some(in_force) = &answer.in_force {
        text.push('\n');
        text.push_str(&render_in_force(in_force));
    }
    text
}

fn show_item(item: &ItemAnswer) -> String {
    let Some(outcome) = &item.outcome else {
        return format!("{}: not finished yet", item.item);
    };
    let mut text = format!("{}: {}, {}", item.item, outcome.state, outcome.message);
    if let Some(nearest) = &outcome.nearest {
        text.push_str(&format!("; did you mean `{nearest}`?"));
    }
    for change in &outcome.changes {
        text.push_str(&format!("\n    {change}"));
    }
    text
}
