//! Loads the settings file of an entry or sidecar, and checks the files that it names.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};

use crate::{ProcessSettings, ValidationError, ValidationErrors, parse_process_settings};

/// Why a settings file can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable(PathBuf),
    /// The content has validation errors.
    Invalid(PathBuf, ValidationErrors),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path) => write!(f, "can't read settings {}", path.display()),
            Self::Invalid(path, errors) => write!(f, "settings {}: {errors}", path.display()),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and validates a settings file. Relative paths in it start at its own directory.
///
/// # Errors
///
/// If the file can't be read, has validation errors, or names files that don't exist. Reports all
/// validation errors, or else all missing files.
pub fn load_process_settings(path: &Path) -> Result<ProcessSettings, Report<SettingsError>> {
    let text =
        fs::read_to_string(path).change_context_lazy(|| SettingsError::Unreadable(path.into()))?;
    let invalid = |errors| Report::new(SettingsError::Invalid(path.into(), errors));
    let mut settings = parse_process_settings(&text).map_err(invalid)?;
    resolve_files(&mut settings, path.parent().unwrap_or(Path::new("")));
    check_files(&settings).map_err(invalid)?;
    Ok(settings)
}

fn resolve_files(settings: &mut ProcessSettings, directory: &Path) {
    let link = &mut settings.link;
    for file in [&mut link.certificate, &mut link.key, &mut link.authority] {
        *file = directory.join(&*file);
    }
}

/// Checks that the files named in the settings exist. The link checks their content.
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
    let errors: Vec<ValidationError> =
        files.into_iter().filter_map(|(path, file)| missing_file(path, file)).collect();
    if errors.is_empty() {
        return Ok(());
    }
    Err(ValidationErrors { errors })
}

fn missing_file(path: &str, file: &Path) -> Option<ValidationError> {
    let found = match fs::metadata(file) {
        Ok(data) if data.is_file() => return None,
        Ok(_) => format!("`{}`, which isn't a file", file.display()),
        Err(error) => format!("`{}` ({error})", file.display()),
    };
    let allowed = "the path of a PEM file that can be read".to_owned();
    Some(ValidationError { path: path.to_owned(), found, allowed, nearest: None })
}
