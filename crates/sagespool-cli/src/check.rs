//! `sagespool check`: the validation that a process runs at its start.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use gumdrop::Options;
use sagespool_settings::{
    BranchObject, FleetConfiguration, FleetObject, GatewayOrRelaySettings, SettingsError,
    ValidationError, ValidationErrors, is_gateway_or_relay, load_gateway_or_relay,
    load_process_settings, parse_branches, parse_fleet,
};
use sagespool_types::ConfigVersion;
use serde::Serialize;

use crate::arguments::{CommandUsage, read_arguments};
use crate::error::CommandError;

const USAGE: CommandUsage = CommandUsage {
    synopsis: "sagespool check [FILE…] [--fleet FILE] [--branches FILE] [--json]",
    help: "`sagespool check --help` lists the options",
};

/// Checks settings files, or the objects of a configuration, as a process does at its start. Shows
/// every error at once, with its path in the file, what was found and what is allowed.
///
/// Examples:
/// $ sagespool check examples/entry.json examples/sidecar.json
/// $ sagespool check --fleet fleet.json --branches branches.json
///
/// Exit codes: 0 all are valid, 1 there are errors or a file can't be read, 2 wrong arguments.
#[derive(Debug, Options)]
struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "settings files of processes")]
    settings: Vec<PathBuf>,
    #[options(no_short, meta = "FILE", help = "a file with the classes and services")]
    fleet: Option<PathBuf>,
    #[options(no_short, meta = "FILE", help = "a file with branches; with --fleet, both together")]
    branches: Option<PathBuf>,
    #[options(no_short, help = "print one JSON document for programs")]
    json: bool,
}

/// The result of checking one file; an item of the `--json` output.
#[derive(Serialize)]
struct FileReport {
    file: String,
    holds: String,
    faults: Vec<ValidationError>,
}

/// Checks the files; exit code 0 if all are valid, else 1.
pub fn run(arguments: &[String]) -> Result<ExitCode, Report<CommandError>> {
    match read_arguments::<CheckOptions>(&USAGE, arguments)? {
        Some(options) => check_all(&options),
        None => Ok(ExitCode::SUCCESS),
    }
}

fn check_all(options: &CheckOptions) -> Result<ExitCode, Report<CommandError>> {
    if options.settings.is_empty() && options.fleet.is_none() && options.branches.is_none() {
        return Err(Report::new(CommandError::Usage {
            message: "there is nothing to check",
            help: "sagespool check FILE, or sagespool check --fleet FILE --branches FILE",
        }));
    }
    let mut reports = Vec::new();
    for path in &options.settings {
        reports.push(check_settings(path)?);
    }
    check_configuration(options, &mut reports)?;
    show_reports(&reports, options.json);
    let all_valid = reports.iter().all(|report| report.faults.is_empty());
    Ok(if all_valid { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn check_settings(path: &Path) -> Result<FileReport, Report<CommandError>> {
    let report = match describe_settings(path) {
        Ok(holds) => return Ok(new_report(path, holds, Vec::new())),
        Err(report) => report,
    };
    match report.current_context() {
        SettingsError::Invalid(_, errors) => {
            Ok(new_report(path, "settings".to_owned(), errors.errors.clone()))
        }
        SettingsError::Unreadable(_) => {
            Err(report.change_context(CommandError::Unreadable(path.into())))
        }
    }
}

/// Loads a settings file of any role, and describes it by role and instance.
fn describe_settings(path: &Path) -> Result<String, Report<SettingsError>> {
    let is_gateway_or_relay = fs::read_to_string(path).is_ok_and(|text| is_gateway_or_relay(&text));
    if !is_gateway_or_relay {
        let settings = load_process_settings(path)?;
        return Ok(format!("settings of {} `{}`", settings.role.kind(), settings.instance));
    }
    Ok(match load_gateway_or_relay(path)? {
        GatewayOrRelaySettings::Gateway(gateway) => {
            format!("settings of gateway `{}`", gateway.instance)
        }
        GatewayOrRelaySettings::Relay(relay) => format!("settings of relay `{}`", relay.instance),
    })
}

/// Checks each object alone, then the references between them.
fn check_configuration(
    options: &CheckOptions,
    reports: &mut Vec<FileReport>,
) -> Result<(), Report<CommandError>> {
    let fleet =
        check_object(options.fleet.as_deref(), "classes and services", parse_fleet, reports)?;
    let branches = check_object(options.branches.as_deref(), "branches", parse_branches, reports)?;
    if let (Some(fleet), Some(branches)) = (fleet, branches) {
        let report = reports.last_mut().expect("check_object pushed the report on the branches");
        report.faults = cross_check(fleet, &branches);
    }
    Ok(())
}

fn check_object<T>(
    path: Option<&Path>,
    holds: &str,
    read: fn(&str) -> Result<T, ValidationErrors>,
    reports: &mut Vec<FileReport>,
) -> Result<Option<T>, Report<CommandError>> {
    let Some(path) = path else { return Ok(None) };
    let text =
        fs::read_to_string(path).change_context_lazy(|| CommandError::Unreadable(path.into()))?;
    let (object, errors) = match read(&text) {
        Ok(object) => (Some(object), Vec::new()),
        Err(errors) => (None, errors.errors),
    };
    reports.push(new_report(path, holds.to_owned(), errors));
    Ok(object)
}

fn cross_check(fleet: FleetObject, branches: &BranchObject) -> Vec<ValidationError> {
    FleetConfiguration::build(ConfigVersion(0), fleet, [branches]).validation_errors()
}

fn new_report(path: &Path, holds: String, faults: Vec<ValidationError>) -> FileReport {
    FileReport { file: path.display().to_string(), holds, faults }
}

fn show_reports(reports: &[FileReport], as_json: bool) {
    if as_json {
        let text = serde_json::to_string_pretty(reports).expect("a report is plain data");
        println!("{text}");
        return;
    }
    for report in reports {
        if report.faults.is_empty() {
            println!("{}: good, {}", report.file, report.holds);
            continue;
        }
        let errors = ValidationErrors { errors: report.faults.clone() };
        println!("{}: {}, {errors}", report.file, report.holds);
    }
}
