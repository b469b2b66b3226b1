use std::path::Path;
use std::sync::Arc;

use derive_more::{Display, Error, From};
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

/// Transport of a server's connections.
#[derive(Clone)]
pub enum Transport {
    Plain,
    Tls(TlsAcceptor),
}

/// A certificate or key that cannot be read or used.
#[derive(Debug, Display, Error, From)]
pub enum TransportError {
    #[display("certificate or key cannot be read: {_0}")]
    Pem(pem::Error),
    #[display("certificate and key cannot be used: {_0}")]
    Tls(rustls::Error),
}

impl Transport {
    /// Creates a TLS transport for HTTP/2 and HTTP/1.1 from a certificate chain and key in PEM
    /// format.
    pub fn tls(certificate_file: &Path, key_file: &Path) -> Result<Transport, TransportError> {
        let chain: Result<Vec<_>, _> = CertificateDer::pem_file_iter(certificate_file)?.collect();
        let key = PrivateKeyDer::from_pem_file(key_file)?;
        let builder = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()));
        let mut config = builder
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_single_cert(chain?, key)?;
        config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
        Ok(Transport::Tls(TlsAcceptor::from(Arc::new(config))))
    }
}
