//! `sagespool certificates`: link certificates for a development fleet.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use gumdrop::Options;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};
use sagespool_types::{InstanceName, ParseError};

use crate::arguments::{CommandUsage, read_arguments};
use crate::error::CommandError;

/// Creates certificates for mutual authentication in a development fleet.
///
/// Writes `authority.pem` and `authority.key`, and `NAME.pem` and `NAME.key` for each name. If the
/// directory already has an authority, keeps it, and adds or renews the names.
///
/// Example:
/// $ sagespool certificates examples/certificates --names entry-1,sidecar-1
///
/// Exit codes: 0 written, 1 a file can't be read or written, 2 wrong arguments.
#[derive(Debug, Options)]
struct CertificateOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the directory to write to; created if missing")]
    directory: Option<PathBuf>,
    #[options(no_short, meta = "A,B", help = "the processes to create certificates for")]
    names: Option<String>,
}

const AUTHORITY_NAME: &str = "authority";
const AUTHORITY_COMMON_NAME: &str = "sagespool development authority";
/// The DNS name, beside 127.0.0.1, for which every certificate is valid.
const SERVER_NAME: &str = "sagespool";
const EXAMPLE: &str = "sagespool certificates DIR --names entry-1,sidecar-1";
const USAGE: CommandUsage = CommandUsage {
    synopsis: "sagespool certificates DIR --names A,B",
    help: "`sagespool certificates --help` lists the options",
};

/// Writes `authority.pem`, and `NAME.pem` and `NAME.key` for each name.
///
/// Keeps an existing authority, so that processes that trust it accept the new certificates:
/// running the command again adds or renews certificates.
pub fn run(arguments: &[String]) -> Result<ExitCode, Report<CommandError>> {
    match read_arguments::<CertificateOptions>(&USAGE, arguments)? {
        Some(options) => create_certificates(&options),
        None => Ok(ExitCode::SUCCESS),
    }
}

fn create_certificates(options: &CertificateOptions) -> Result<ExitCode, Report<CommandError>> {
    let usage = |message| Report::new(CommandError::Usage { message, help: EXAMPLE });
    let directory =
        options.directory.as_deref().ok_or_else(|| usage("the directory is missing"))?;
    let names = options.names.as_deref().ok_or_else(|| usage("`--names` is missing"))?;
    let names = parse_names(names)?;
    fs::create_dir_all(directory)
        .change_context_lazy(|| CommandError::Unwritable(directory.into()))?;
    let authority = load_or_create_authority(directory)?;
    for name in &names {
        write_certificate(directory, name, &authority)?;
    }
    println!("wrote certificates for {} names to {}", names.len(), directory.display());
    Ok(ExitCode::SUCCESS)
}

fn parse_names(text: &str) -> Result<Vec<InstanceName>, Report<CommandError>> {
    let mut names: Vec<InstanceName> = Vec::new();
    for part in text.split(',') {
        let name: InstanceName =
            part.trim().parse().map_err(|error| Report::new(CommandError::Argument(error)))?;
        if name.as_str() == AUTHORITY_NAME {
            let help = "any other name: this one is the authority's own";
            let error = ParseError::new("a name for a process's certificate", part, help);
            return Err(Report::new(CommandError::Argument(error)));
        }
        if names.contains(&name) {
            return Err(Report::new(CommandError::RepeatedName(name.to_string())));
        }
        names.push(name);
    }
    Ok(names)
}

/// The existing authority, or a new one.
fn load_or_create_authority(
    directory: &Path,
) -> Result<Issuer<'static, KeyPair>, Report<CommandError>> {
    let certificate_path = file_path(directory, AUTHORITY_NAME, "pem");
    let key_path = file_path(directory, AUTHORITY_NAME, "key");
    match (certificate_path.exists(), key_path.exists()) {
        (true, true) => read_authority(&key_path),
        (false, false) => new_authority(&certificate_path, &key_path),
        (true, false) => {
            Err(incomplete_authority("`authority.key` is missing beside `authority.pem`"))
        }
        (false, true) => {
            Err(incomplete_authority("`authority.pem` is missing beside `authority.key`"))
        }
    }
}

/// The authority's certificate parameters are constant, so only the key is read.
fn read_authority(key_path: &Path) -> Result<Issuer<'static, KeyPair>, Report<CommandError>> {
    let text = fs::read_to_string(key_path)
        .change_context_lazy(|| CommandError::Unreadable(key_path.into()))?;
    let key = KeyPair::from_pem(&text).map_err(certificate_error)?;
    Ok(Issuer::new(authority_params()?, key))
}

fn new_authority(
    certificate_path: &Path,
    key_path: &Path,
) -> Result<Issuer<'static, KeyPair>, Report<CommandError>> {
    let key = KeyPair::generate().map_err(certificate_error)?;
    let params = authority_params()?;
    let certificate = params.self_signed(&key).map_err(certificate_error)?;
    write_secret(key_path, &key.serialize_pem())?;
    write_file(certificate_path, &certificate.pem())?;
    Ok(Issuer::new(params, key))
}

fn authority_params() -> Result<CertificateParams, Report<CommandError>> {
    let mut params = CertificateParams::new(Vec::new()).map_err(certificate_error)?;
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_COMMON_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

/// Valid for client and server authentication, for 127.0.0.1 and the name `sagespool`. Keeps
/// the default validity of rcgen, until the year 4096: the certificates are for development.
fn write_certificate(
    directory: &Path,
    name: &InstanceName,
    authority: &Issuer<'static, KeyPair>,
) -> Result<(), Report<CommandError>> {
    let mut params =
        CertificateParams::new(vec![SERVER_NAME.to_owned()]).map_err(certificate_error)?;
    params.subject_alt_names.push(SanType::IpAddress(IpAddr::V4(Ipv4Addr::LOCALHOST)));
    params.distinguished_name.push(DnType::CommonName, name.as_str());
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate().map_err(certificate_error)?;
    let certificate = params.signed_by(&key, authority).map_err(certificate_error)?;
    write_secret(&file_path(directory, name.as_str(), "key"), &key.serialize_pem())?;
    write_file(&file_path(directory, name.as_str(), "pem"), &certificate.pem())
}

fn file_path(directory: &Path, name: &str, kind: &str) -> PathBuf {
    directory.join(format!("{name}.{kind}"))
}

fn write_file(path: &Path, text: &str) -> Result<(), Report<CommandError>> {
    const READABLE_BY_ALL: u32 = 0o644;
    replace_file(path, text, READABLE_BY_ALL)
}

fn write_secret(path: &Path, text: &str) -> Result<(), Report<CommandError>> {
    const READABLE_BY_OWNER: u32 = 0o600;
    replace_file(path, text, READABLE_BY_OWNER)
}

/// Writes a new file and renames it, so that a process that loads its certificate meanwhile never
/// reads a partial file. Removes the file of an interrupted run first, because others may be able
/// to read it.
fn replace_file(path: &Path, text: &str, mode: u32) -> Result<(), Report<CommandError>> {
    let unwritable = || CommandError::Unwritable(path.into());
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    if temporary.exists() {
        fs::remove_file(&temporary).change_context_lazy(unwritable)?;
    }
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    let mut file = options.open(&temporary).change_context_lazy(unwritable)?;
    file.write_all(text.as_bytes()).change_context_lazy(unwritable)?;
    drop(file);
    fs::rename(&temporary, path).change_context_lazy(unwritable)
}

fn incomplete_authority(detail: &str) -> Report<CommandError> {
    Report::new(CommandError::Certificate(detail.to_owned()))
}

fn certificate_error(error: rcgen::Error) -> Report<CommandError> {
    Report::new(CommandError::Certificate(error.to_string()))
}
