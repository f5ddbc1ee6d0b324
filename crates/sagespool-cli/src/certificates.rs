//! `sagespool certificates`: a development set for the link.

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

/// Makes certificates with which a development fleet's processes know each other.
///
/// Writes `authority.pem` and `authority.key`, and `NAME.pem` and `NAME.key` for each name. Run again
/// with the same directory it keeps the authority, and adds or renews the names.
///
/// Example:
/// $ sagespool certificates examples/certificates --names entry-1,sidecar-1
///
/// Exit codes: 0 written, 1 a file can't be read or written, 2 wrong arguments.
#[derive(Debug, Options)]
struct CertificateOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the directory to write to; made if it isn't there")]
    directory: Option<PathBuf>,
    #[options(no_short, meta = "A,B", help = "the processes to make certificates for")]
    names: Option<String>,
}

const AUTHORITY_NAME: &str = "authority";
const AUTHORITY_TITLE: &str = "sagespool development authority";
/// The name, beside 127.0.0.1, that every certificate of the set is good for.
const SERVER_NAME: &str = "sagespool";
const EXAMPLE: &str = "sagespool certificates DIR --names entry-1,sidecar-1";
const USAGE: CommandUsage = CommandUsage {
    synopsis: "sagespool certificates DIR --names A,B",
    help: "`sagespool certificates --help` lists the options",
};

/// Writes `authority.pem`, and `NAME.pem` and `NAME.key` for each name.
///
/// An authority that is there from an earlier run is kept, so that processes
/// that trust it accept the new certificates: a set is added to, and renewed,
/// by running the command again.
pub fn run(arguments: &[String]) -> Result<ExitCode, Report<CommandError>> {
    match read_arguments::<CertificateOptions>(&USAGE, arguments)? {
        Some(options) => make_set(&options),
        None => Ok(ExitCode::SUCCESS),
    }
}

fn make_set(options: &CertificateOptions) -> Result<ExitCode, Report<CommandError>> {
    let usage = |message| Report::new(CommandError::Usage { message, help: EXAMPLE });
    let directory =
        options.directory.as_deref().ok_or_else(|| usage("the directory is missing"))?;
    let names = options.names.as_deref().ok_or_else(|| usage("`--names` is missing"))?;
    let names = parse_names(names)?;
    fs::create_dir_all(directory)
        .change_context_lazy(|| CommandError::Unwritable(directory.into()))?;
    let authority = take_authority(directory)?;
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
            part.trim().parse().map_err(|fault| Report::new(CommandError::Argument(fault)))?;
        if name.as_str() == AUTHORITY_NAME {
            let help = "any other name: this one is the authority's own";
            let fault = ParseError::new("a name for a process's certificate", part, help);
            return Err(Report::new(CommandError::Argument(fault)));
        }
        if names.contains(&name) {
            return Err(Report::new(CommandError::RepeatedName(name.to_string())));
        }
        names.push(name);
    }
    Ok(names)
}

/// The authority that is there, or a new one.
fn take_authority(directory: &Path) -> Result<Issuer<'static, KeyPair>, Report<CommandError>> {
    let certificate_path = file_path(directory, AUTHORITY_NAME, "pem");
    let key_path = file_path(directory, AUTHORITY_NAME, "key");
    match (certificate_path.exists(), key_path.exists()) {
        (true, true) => read_authority(&key_path),
        (false, false) => new_authority(&certificate_path, &key_path),
        (true, false) => Err(incomplete("`authority.key` is missing beside `authority.pem`")),
        (false, true) => Err(incomplete("`authority.pem` is missing beside `authority.key`")),
    }
}

/// What the certificate says is the same each time, so only the key is read.
fn read_authority(key_path: &Path) -> Result<Issuer<'static, KeyPair>, Report<CommandError>> {
    let text = fs::read_to_string(key_path)
        .change_context_lazy(|| CommandError::Unreadable(key_path.into()))?;
    let key = KeyPair::from_pem(&text).map_err(failed)?;
    Ok(Issuer::new(authority_params()?, key))
}

fn new_authority(
    certificate_path: &Path,
    key_path: &Path,
) -> Result<Issuer<'static, KeyPair>, Report<CommandError>> {
    let key = KeyPair::generate().map_err(failed)?;
    let params = authority_params()?;
    let certificate = params.self_signed(&key).map_err(failed)?;
    write_secret(key_path, &key.serialize_pem())?;
    write_file(certificate_path, &certificate.pem())?;
    Ok(Issuer::new(params, key))
}

fn authority_params() -> Result<CertificateParams, Report<CommandError>> {
    let mut params = CertificateParams::new(Vec::new()).map_err(failed)?;
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_TITLE);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

/// Good for both ends of a connection, for 127.0.0.1 and the name `sagespool`.
/// It doesn't run out in a developer's lifetime: the set is for development.
fn write_certificate(
    directory: &Path,
    name: &InstanceName,
    authority: &Issuer<'static, KeyPair>,
) -> Result<(), Report<CommandError>> {
    let mut params = CertificateParams::new(vec![SERVER_NAME.to_owned()]).map_err(failed)?;
    params.subject_alt_names.push(SanType::IpAddress(IpAddr::V4(Ipv4Addr::LOCALHOST)));
    params.distinguished_name.push(DnType::CommonName, name.as_str());
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate().map_err(failed)?;
    let certificate = params.signed_by(&key, authority).map_err(failed)?;
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

/// Guards a process that renews its certificate meanwhile against half a
/// file: the new one takes the old one's place whole, by a rename. What an
/// interrupted run left is removed, as it may be readable by others.
fn replace_file(path: &Path, text: &str, mode: u32) -> Result<(), Report<CommandError>> {
    let unwritable = || CommandError::Unwritable(path.into());
    let mut fresh = path.as_os_str().to_owned();
    fresh.push(".new");
    let fresh = PathBuf::from(fresh);
    if fresh.exists() {
        fs::remove_file(&fresh).change_context_lazy(unwritable)?;
    }
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    let mut file = options.open(&fresh).change_context_lazy(unwritable)?;
    file.write_all(text.as_bytes()).change_context_lazy(unwritable)?;
    drop(file);
    fs::rename(&fresh, path).change_context_lazy(unwritable)
}

fn incomplete(detail: &str) -> Report<CommandError> {
    Report::new(CommandError::Certificate(detail.to_owned()))
}

fn failed(error: rcgen::Error) -> Report<CommandError> {
    Report::new(CommandError::Certificate(error.to_string()))
}
