//! Answers as plain-text tables.

mod basis;
mod commands;
mod configuration;
mod fleet;
mod spend;
mod table;

use crate::{AnswerBody, HelpAnswer, HistoryAnswer, OperatorAnswer};
use table::{column_table, show_option, show_time};

/// Renders an answer as text: its tables, then its sources.
pub fn render_answer(answer: &OperatorAnswer) -> String {
    let body = match &answer.answer {
        AnswerBody::Spend(answer) => spend::render(answer),
        AnswerBody::Running(answer) => fleet::render_running(answer),
        AnswerBody::Upstreams(answer) => fleet::render_upstreams(answer),
        AnswerBody::Members(answer) => fleet::render_members(answer),
        AnswerBody::Configuration(answer) => configuration::render(answer),
        AnswerBody::History(answer) => render_history(answer),
        AnswerBody::Quarantine(answer) => fleet::render_quarantine(answer),
        AnswerBody::Commands(answer) => commands::render_list(answer),
        AnswerBody::Command(answer) => commands::render_one(answer),
        AnswerBody::Help(answer) => return render_help(answer),
    };
    format!("{}\n\n{}", body.trim_end(), basis::render(&answer.basis))
}

fn render_help(answer: &HelpAnswer) -> String {
    let lines = answer.lines.iter().map(|line| format!("{}\n    {}", line.usage, line.summary));
    lines.collect::<Vec<_>>().join("\n")
}

fn render_history(answer: &HistoryAnswer) -> String {
    let mut text = String::new();
    if let Some(key) = answer.key {
        text.push_str(&format!("{}, digest {key}\n", answer.about));
    } else {
        text.push_str(&format!("{}\n", answer.about));
    }
    for note in &answer.notes {
        text.push_str(&format!("  {}: {}\n", note.source, note.fact));
    }
    text.push_str(&answer.conclusion);
    text
}
