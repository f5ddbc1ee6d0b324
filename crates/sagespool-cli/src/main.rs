//! sagespool: the operators' command line.

mod arguments;
mod certificates;
mod check;
mod error;
mod line_client;
mod operate;
mod prompt;

use std::process::ExitCode;

use error_stack::Report;

use crate::error::CommandError;

/// Exit code for wrong arguments.
const EXIT_USAGE: u8 = 2;

/// Commands that work on local files, without a fleet.
const LOCAL_COMMANDS: [&str; 2] = ["check", "certificates"];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    run(&arguments).unwrap_or_else(|report| show_error(&report))
}

fn run(arguments: &[String]) -> Result<ExitCode, Report<CommandError>> {
    match arguments.split_first() {
        Some((first, rest)) if first == "check" => check::run(rest),
        Some((first, rest)) if first == "certificates" => certificates::run(rest),
        _ => operate::run(arguments),
    }
}

fn show_error(report: &Report<CommandError>) -> ExitCode {
    let error = report.current_context();
    eprintln!("error: {error}");
    for cause in report.frames().skip(1).filter_map(|frame| frame.downcast_ref::<std::io::Error>())
    {
        eprintln!("cause: {cause}");
    }
    if let Some(nearest) = error.nearest() {
        eprintln!("did you mean `{nearest}`?");
    }
    eprintln!("help: {}", error.help());
    ExitCode::from(error.exit_code())
}
