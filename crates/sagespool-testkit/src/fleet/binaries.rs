//! Locates the two binaries, and builds them when run by cargo.

use std::path::{Path, PathBuf};
use std::process::Command;

use error_stack::{Report, ResultExt};

use super::FleetError;

/// Paths of the project's two binaries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetBinaries {
    /// `sagespoold`, the daemon.
    pub daemon: PathBuf,
    /// `sagespool`, the operators' command line.
    pub command: PathBuf,
}

/// The build directory of this program's profile, e.g. `target/release` for
/// `target/release/examples/fleet`.
fn profile_directory() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    let directory = program.parent()?;
    let inner = ["examples", "deps"].iter().any(|name| directory.ends_with(name));
    Some(if inner { directory.parent()?.to_owned() } else { directory.to_owned() })
}

fn build(cargo: &str, directory: &Path) -> Result<(), Report<FleetError>> {
    let fault = || FleetError::new("building sagespoold and sagespool");
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "-p", "sagespool-daemon", "-p", "sagespool-cli"]);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().change_context_lazy(fault)?;
    if !status.success() {
        return Err(Report::new(fault()));
    }
    Ok(())
}

/// The binaries in this program's build directory. Under cargo they are built first, so that an
/// example needs no other step and never runs an outdated daemon.
///
/// # Errors
/// If the build fails or a binary is missing.
pub fn find_binaries() -> Result<FleetBinaries, Report<FleetError>> {
    let missing = || FleetError::new("looking for sagespoold beside this program");
    let directory = profile_directory().ok_or_else(|| Report::new(missing()))?;
    if let Ok(cargo) = std::env::var("CARGO") {
        build(&cargo, &directory)?;
    }
    let daemon = directory.join("sagespoold");
    let command = directory.join("sagespool");
    if !daemon.exists() || !command.exists() {
        return Err(Report::new(missing()));
    }
    Ok(FleetBinaries { daemon, command })
}
