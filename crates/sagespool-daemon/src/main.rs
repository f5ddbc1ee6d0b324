//! sagespoold: one process of the fleet, as entry or sidecar.

mod options;
mod process;
mod stdin;

use std::process::ExitCode;

use gumdrop::Options;

use crate::options::DaemonOptions;

/// Exit code for wrong arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let options = DaemonOptions::parse_args_default_or_exit();
    if options.version {
        println!("sagespoold {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = options.settings else {
        eprintln!(
            "sagespoold needs a settings file\nhelp: sagespoold FILE, for example examples/entry.json"
        );
        return ExitCode::from(EXIT_USAGE);
    };
    if options.end_with_stdin
        && let Err(error) = stdin::end_with_stdin()
    {
        eprintln!("can't watch standard input: {error}");
        return ExitCode::from(process::EXIT_START_FAILED);
    }
    process::run(&path)
}
