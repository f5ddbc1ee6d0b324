//! sagespool: the operators' command line.

mod certificates;
mod check;
mod error;
mod line_client;
mod operate;
mod prompt;

use std::process::ExitCode;

use error_stack::Report;
use gumdrop::Options;

use crate::certificates::CertificateOptions;
use crate::check::CheckOptions;
use crate::error::CommandError;
use crate::operate::OperateOptions;

/// Exit code of a command that was given wrongly.
const USAGE_FAULT: u8 = 2;

/// What works on files here and asks no fleet.
#[derive(Debug, Options)]
struct LocalOptions {
    #[options(help = "print this help, or a command's after its name")]
    help: bool,
    #[options(command)]
    command: Option<LocalCommand>,
}

#[derive(Debug, Options)]
enum LocalCommand {
    #[options(help = "check settings files, or a configuration's objects")]
    Check(CheckOptions),
    #[options(help = "make a development set of link certificates")]
    Certificates(CertificateOptions),
}

fn main() -> ExitCode {
    let first = std::env::args().nth(1);
    let ended = match first.as_deref() {
        Some("check" | "certificates") => run_local(),
        _ => run_operate(),
    };
    ended.unwrap_or_else(|report| show_error(&report))
}

fn run_local() -> Result<ExitCode, Report<CommandError>> {
    match LocalOptions::parse_args_default_or_exit().command {
        Some(LocalCommand::Check(options)) => check::run(&options),
        Some(LocalCommand::Certificates(options)) => certificates::run(&options),
        None => Ok(ExitCode::from(USAGE_FAULT)),
    }
}

fn run_operate() -> Result<ExitCode, Report<CommandError>> {
    let options = OperateOptions::parse_args_default_or_exit();
    if options.version {
        println!("sagespool {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    operate::run(&options)
}

fn show_error(report: &Report<CommandError>) -> ExitCode {
    let error = report.current_context();
    eprintln!("error: {error}");
    for cause in report.frames().skip(1).filter_map(|frame| frame.downcast_ref::<std::io::Error>())
    {
        eprintln!("cause: {cause}");
    }
    eprintln!("help: {}", error.help());
    ExitCode::from(error.exit_code())
}
