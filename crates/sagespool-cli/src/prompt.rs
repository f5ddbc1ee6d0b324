//! The interactive prompt, and scripts from standard input.

use std::io::{self, BufRead, IsTerminal, Write};
use std::process::ExitCode;

use error_stack::{Report, ResultExt};

use crate::error::CommandError;

const PROMPT: &str = "sagespool> ";
const EXIT_LINES: [&str; 2] = ["exit", "quit"];

/// Reads lines from standard input and runs each. Without a terminal the input is a script: there is
/// no prompt, and the exit code is the highest one of its lines.
pub fn run(
    run_line: impl Fn(&str) -> Result<u8, Report<CommandError>>,
) -> Result<ExitCode, Report<CommandError>> {
    let input = io::stdin();
    let is_terminal = input.is_terminal();
    let mut worst = 0;
    show_prompt(is_terminal);
    for line in input.lock().lines() {
        let line = line.change_context(CommandError::Input)?;
        let line = line.trim();
        if EXIT_LINES.contains(&line) {
            break;
        }
        if !line.is_empty() && !line.starts_with('#') {
            worst = worst.max(run_line(line)?);
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
