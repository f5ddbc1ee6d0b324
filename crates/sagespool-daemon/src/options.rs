//! The daemon's arguments.

use std::path::PathBuf;

use gumdrop::Options;

/// One process of a sagespool fleet.
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
