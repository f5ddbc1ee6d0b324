//! `sagespool certificates`: the certificates must work for mutual authentication.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::Arc;

use rustls::RootCertStore;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring::default_provider;
use rustls::server::WebPkiClientVerifier;
use rustls::sign::CertifiedKey;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};

fn make(directory: &Path, names: &str) -> Output {
    let arguments = ["certificates", directory.to_str().unwrap(), "--names", names];
    Command::new(env!("CARGO_BIN_EXE_sagespool")).args(arguments).output().unwrap()
}

#[track_caller]
fn make_valid(directory: &Path, names: &str) {
    let output = make(directory, names);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

fn certificate(directory: &Path, name: &str) -> CertificateDer<'static> {
    CertificateDer::from_pem_file(directory.join(format!("{name}.pem"))).unwrap()
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(default_provider())
}

fn roots(directory: &Path) -> Arc<RootCertStore> {
    let mut roots = RootCertStore::empty();
    roots.add(certificate(directory, "authority")).unwrap();
    Arc::new(roots)
}

fn accepted_as_client(authority: &Path, certificate: &CertificateDer) -> bool {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots(authority), provider());
    let verifier = verifier.build().unwrap();
    verifier.verify_client_cert(certificate, &[], UnixTime::now()).is_ok()
}

fn accepted_as_server(authority: &Path, certificate: &CertificateDer, name: &str) -> bool {
    let verifier = WebPkiServerVerifier::builder_with_provider(roots(authority), provider());
    let verifier = verifier.build().unwrap();
    let name = ServerName::try_from(name.to_owned()).unwrap();
    verifier.verify_server_cert(certificate, &[], &name, &[], UnixTime::now()).is_ok()
}

fn key_matches(directory: &Path, name: &str) -> bool {
    let key = PrivateKeyDer::from_pem_file(directory.join(format!("{name}.key"))).unwrap();
    let chain = vec![certificate(directory, name)];
    CertifiedKey::from_der(chain, key, &provider()).unwrap().keys_match().is_ok()
}

#[test]
fn mutual_authentication() {
    let directory = tempfile::tempdir().unwrap();
    let directory = directory.path().join("certificates");
    make_valid(&directory, "entry-1,sidecar-1");
    for name in ["entry-1", "sidecar-1"] {
        let certificate = certificate(&directory, name);
        assert!(accepted_as_client(&directory, &certificate));
        assert!(accepted_as_server(&directory, &certificate, "127.0.0.1"));
        assert!(accepted_as_server(&directory, &certificate, "sagespool"));
        assert!(!accepted_as_server(&directory, &certificate, "127.0.0.2"));
        assert!(key_matches(&directory, name));
        let key = fs::metadata(directory.join(format!("{name}.key"))).unwrap();
        assert_eq!(key.permissions().mode() & 0o777, 0o600);
    }
}

#[test]
fn added_names() {
    // A process is added to a running fleet, and another's certificate is renewed. With a new
    // authority, the running processes would reject both.
    let directory = tempfile::tempdir().unwrap();
    let directory = directory.path();
    make_valid(directory, "entry-1");
    let authority = certificate(directory, "authority");
    let first = certificate(directory, "entry-1");
    make_valid(directory, "entry-1,entry-2");
    assert_eq!(certificate(directory, "authority"), authority);
    assert_ne!(certificate(directory, "entry-1"), first);
    for name in ["entry-1", "entry-2"] {
        assert!(accepted_as_client(directory, &certificate(directory, name)));
        assert!(key_matches(directory, name));
    }
    assert!(accepted_as_client(directory, &first));
}

#[test]
fn other_authority() {
    let (one, other) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    make_valid(one.path(), "entry-1");
    make_valid(other.path(), "entry-1");
    assert!(!accepted_as_client(one.path(), &certificate(other.path(), "entry-1")));
}

#[test]
fn invalid_names() {
    let directory = tempfile::tempdir().unwrap();
    for names in ["", "../entry", "entry 1", "entry-1,entry-1", "authority", "entry-1,"] {
        let output = make(directory.path(), names);
        assert_eq!(output.status.code(), Some(2), "{names}");
        assert!(String::from_utf8_lossy(&output.stderr).contains("help: "), "{names}");
    }
    assert_eq!(fs::read_dir(directory.path()).unwrap().count(), 0);
}

#[test]
fn missing_authority_key() {
    let directory = tempfile::tempdir().unwrap();
    make_valid(directory.path(), "entry-1");
    fs::remove_file(directory.path().join("authority.key")).unwrap();
    let output = make(directory.path(), "entry-2");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("`authority.key` is missing"), "{text}");
    assert!(!directory.path().join("entry-2.pem").exists());
}
