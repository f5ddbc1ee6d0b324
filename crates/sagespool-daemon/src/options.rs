//! Command-line arguments.

use std::path::PathBuf;

use gumdrop::Options;

/// One process of a sagespool fleet: an entry or a sidecar, as set in its settings file. SIGTERM or
/// SIGINT stops it gracefully. It logs to standard error.
///
/// Example:
/// $ sagespoold examples/entry.json
///
/// Exit codes:
/// 0  stopped gracefully with all requests completed
/// 1  couldn't start, for example because its address is in use
/// 2  the settings or the arguments are invalid; `sagespool check FILE` lists all errors of a file
/// 3  stopped, but requests were cut off at the stop limit, or state couldn't be written or returned
/// 4  ended at once, since its standard input closed (--end-with-stdin)
#[derive(Debug, Options)]
pub struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Print the version and exit.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// End at once, as if killed, when standard input closes.
    #[options(no_short, help = "end at once, as if killed, when standard input closes")]
    pub end_with_stdin: bool,
    /// Path of the settings file.
    #[options(free, help = "the settings file, JSON; check it with `sagespool check FILE`")]
    pub settings: Option<PathBuf>,
}
