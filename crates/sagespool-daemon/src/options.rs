//! The daemon's arguments.

use std::path::PathBuf;

use gumdrop::Options;

/// One process of a sagespool fleet: an entry or a sidecar, as its settings say. SIGTERM or SIGINT stops
/// it gracefully; its log is on the standard error.
///
/// Example:
/// $ sagespoold examples/entry.json
///
/// Exit codes:
/// 0  stopped, with nothing left undone
/// 1  couldn't start, for example because its address is taken
/// 2  the settings or the arguments are wrong; `sagespool check FILE` tells all faults of a file
/// 3  stopped, but requests were cut off at the limit, or something couldn't be handed back
#[derive(Debug, Options)]
pub struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Print the version and end.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// The settings file.
    #[options(free, help = "the settings file, JSON; check it with `sagespool check FILE`")]
    pub settings: Option<PathBuf>,
}
