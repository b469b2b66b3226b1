//! TLS towards callers, through the real gateway.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};

/// A directory that is removed at the end of the test.
struct WorkDir(PathBuf);

impl WorkDir {
    fn new(name: &str) -> WorkDir {
        let path = std::env::temp_dir().join(format!("almondroad-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        WorkDir(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Settings of a gateway without a platform: it answers `/healthz` all the same.
    fn settings(&self, certificate: &Path, key: &Path) -> PathBuf {
        let text = format!(
            r#"{{ "instance": "g", "region": "r", "zone": "z", "platform_address": "127.0.0.1:1",
                 "tls": {{ "certificate_file": {certificate:?}, "key_file": {key:?} }} }}"#
        );
        self.write("gateway.jsonc", &text)
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Gateway(Child);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn gateway(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_almondroad-gateway"));
    command.arg("--settings").arg(settings).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn start(settings: &Path) -> (Gateway, String) {
    let mut child = gateway(settings).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    (Gateway(child), line.split_whitespace().nth(2).unwrap().to_owned())
}

fn certificate(work_dir: &WorkDir) -> (PathBuf, PathBuf) {
    let signed = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    let certificate = work_dir.write("certificate.pem", &signed.cert.pem());
    (certificate, work_dir.write("key.pem", &signed.signing_key.serialize_pem()))
}

fn get_over_tls(address: &str, certificate: &Path) -> String {
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_file(certificate).unwrap()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from("localhost").unwrap();
    let connection = ClientConnection::new(Arc::new(config), name).unwrap();
    let mut stream = StreamOwned::new(connection, TcpStream::connect(address).unwrap());
    let request = b"GET /healthz HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n";
    stream.write_all(request).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Guards against a gateway that cannot serve over TLS, or that a plain request to its TLS port
/// brings down.
#[test]
fn serves_over_tls_after_a_plain_request() {
    let work_dir = WorkDir::new("tls");
    let (certificate, key) = certificate(&work_dir);
    let (_gateway, address) = start(&work_dir.settings(&certificate, &key));
    let mut plain = TcpStream::connect(&address).unwrap();
    plain.write_all(b"GET /healthz HTTP/1.1\r\nhost: localhost\r\n\r\n").unwrap();
    let mut answer = Vec::new();
    let _ = plain.read_to_end(&mut answer);
    assert!(!answer.starts_with(b"HTTP/1.1 200"), "answered in plain text on the TLS port");
    assert!(get_over_tls(&address, &certificate).starts_with("HTTP/1.1 200"));
}

/// Guards against a gateway that starts in plain text when its key cannot be used.
#[test]
fn does_not_start_with_an_unusable_key() {
    let work_dir = WorkDir::new("tls-key");
    let (certificate, _) = certificate(&work_dir);
    let key = work_dir.write("bad.pem", "not a key");
    let output = gateway(&work_dir.settings(&certificate, &key)).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("certificate or key cannot be read"), "{error}");
}
