//! sagespool: the operators' command line.

mod certificates;
mod check;
mod error;

use std::process::ExitCode;

use error_stack::Report;
use gumdrop::Options;

use crate::certificates::CertificateOptions;
use crate::check::CheckOptions;
use crate::error::CommandError;

/// Exit code of a command that was given wrongly.
const USAGE_FAULT: u8 = 2;

/// The operators' command line of a sagespool fleet.
#[derive(Debug, Options)]
struct CliOptions {
    #[options(help = "print this help, or a command's after its name")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<CliCommand>,
}

#[derive(Debug, Options)]
enum CliCommand {
    #[options(help = "check settings files, or a configuration's objects")]
    Check(CheckOptions),
    #[options(help = "make a development set of link certificates")]
    Certificates(CertificateOptions),
}

fn main() -> ExitCode {
    let options = CliOptions::parse_args_default_or_exit();
    if options.version {
        println!("sagespool {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = options.command else {
        eprintln!("sagespool needs a command\n\nUsage: sagespool COMMAND\n");
        eprintln!("{}", CliOptions::command_list().unwrap_or_default());
        return ExitCode::from(USAGE_FAULT);
    };
    run(command).unwrap_or_else(|report| show_error(&report))
}

fn run(command: CliCommand) -> Result<ExitCode, Report<CommandError>> {
    match command {
        CliCommand::Check(options) => check::run(&options),
        CliCommand::Certificates(options) => certificates::run(&options),
    }
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
