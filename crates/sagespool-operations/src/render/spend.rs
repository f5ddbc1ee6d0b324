//! Answers to `spend` as tables.

use super::{column_table, show_option};
use crate::{BookFigures, SpendAnswer, SpendRow, TokenRange};

const HEADER: [&str; 8] =
    ["branch", "prepaid", "settled", "granted", "in doubt", "free", "running", "spent"];

pub(super) fn render(answer: &SpendAnswer) -> String {
    let mut text = column_table(&HEADER, &[1, 2, 3, 4, 5, 6, 7], answer.rows.iter().map(show_row));
    let in_doubt = answer
        .rows
        .iter()
        .flat_map(|row| row.in_doubt_grants.iter().map(move |in_doubt| (&row.branch, in_doubt)));
    for (branch, in_doubt) in in_doubt {
        let (grant, tokens) = (in_doubt.grant, in_doubt.tokens);
        text.push_str(&format!("\nin doubt: {tokens} of {branch} under grant {grant}"));
    }
    if answer.left_out > 0 {
        text.push_str(&format!("\n{} more branches; name the ones to show", answer.left_out));
    }
    text
}

fn show_row(row: &SpendRow) -> Vec<String> {
    let figure = |pick: fn(&BookFigures) -> u64| show_option(row.book.as_ref().map(pick));
    vec![
        row.branch.to_string(),
        figure(|book| book.prepaid.0),
        figure(|book| book.settled.0),
        figure(|book| book.granted.0),
        figure(|book| book.in_doubt.0),
        figure(|book| book.free.0),
        show_range(&row.running),
        show_range(&row.spent),
    ]
}

fn show_range(range: &TokenRange) -> String {
    match range.most {
        Some(most) if most == range.least => most.to_string(),
        Some(most) => format!("{} to {most}", range.least),
        None => format!("{} or more", range.least),
    }
}
