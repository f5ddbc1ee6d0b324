//! The interactive prompt: one line after the other.

use std::io::{self, BufRead, IsTerminal, Write};
use std::process::ExitCode;

use error_stack::{Report, ResultExt};

use crate::error::CommandError;

const PROMPT: &str = "sagespool> ";
const ENDINGS: [&str; 2] = ["exit", "quit"];

/// Reads lines from the standard input and carries each out. Without a terminal it is a script: no
/// prompt, and the exit code is the worst of its lines'.
pub fn run(
    carry_out: impl Fn(&str) -> Result<u8, Report<CommandError>>,
) -> Result<ExitCode, Report<CommandError>> {
    let input = io::stdin();
    let is_terminal = input.is_terminal();
    let mut worst = 0;
    show_prompt(is_terminal);
    for line in input.lock().lines() {
        let line = line.change_context(CommandError::Input)?;
        let line = line.trim();
        if ENDINGS.contains(&line) {
            break;
        }
        if !line.is_empty() && !line.starts_with('#') {
            worst = worst.max(carry_out(line)?);
        }
        show_prompt(is_terminal);
    }
    Ok(ExitCode::from(if is_terminal { 0 } else { worst }))
}

fn show_prompt(is_terminal: bool) {
    if is_terminal {
        print!("{PROMPT}");
        let _ = io::stdout().flush();
    }
}
