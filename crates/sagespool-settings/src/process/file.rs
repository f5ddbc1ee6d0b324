//! The settings file itself, and the files that it names.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};

use crate::{ProcessSettings, ValidationError, ValidationErrors, parse_process_settings};

/// A settings file that can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// It can't be read.
    Unreadable(PathBuf),
    /// Its content has faults.
    Faulty(PathBuf, ValidationErrors),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path) => write!(f, "can't read settings {}", path.display()),
            Self::Faulty(path, faults) => write!(f, "settings {}: {faults}", path.display()),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks a settings file. Paths in it are taken from its own directory.
///
/// # Errors
///
/// If it can't be read, or has faults, or names files that aren't there: all of them at once.
pub fn load_process_settings(path: &Path) -> Result<ProcessSettings, Report<SettingsError>> {
    let text =
        fs::read_to_string(path).change_context_lazy(|| SettingsError::Unreadable(path.into()))?;
    let faulty = |faults| Report::new(SettingsError::Faulty(path.into(), faults));
    let mut settings = parse_process_settings(&text).map_err(faulty)?;
    resolve_files(&mut settings, path.parent().unwrap_or(Path::new("")));
    check_files(&settings).map_err(faulty)?;
    Ok(settings)
}

fn resolve_files(settings: &mut ProcessSettings, directory: &Path) {
    let link = &mut settings.link;
    for file in [&mut link.certificate, &mut link.key, &mut link.authority] {
        *file = directory.join(&*file);
    }
}

/// Checks that the files that settings name are there. Their content is the link's business.
///
/// # Errors
///
/// Each file that is missing or isn't a file.
pub fn check_files(settings: &ProcessSettings) -> Result<(), ValidationErrors> {
    let link = &settings.link;
    let files = [
        ("$.link.certificate", &link.certificate),
        ("$.link.key", &link.key),
        ("$.link.authority", &link.authority),
    ];
    let faults: Vec<ValidationError> =
        files.into_iter().filter_map(|(path, file)| missing_file(path, file)).collect();
    if faults.is_empty() {
        return Ok(());
    }
    Err(ValidationErrors { faults })
}

fn missing_file(path: &str, file: &Path) -> Option<ValidationError> {
    let found = match fs::metadata(file) {
        Ok(data) if data.is_file() => return None,
        Ok(_) => format!("`{}`, which isn't a file", file.display()),
        Err(fault) => format!("`{}` ({fault})", file.display()),
    };
    let allowed = "the path of a PEM file that can be read".to_owned();
    Some(ValidationError { path: path.to_owned(), found, allowed, nearest: None })
}
