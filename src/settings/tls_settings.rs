use std::path::PathBuf;

use serde::Deserialize;

use crate::http::{Transport, TransportError};

/// Paths of the certificate chain and private key, in PEM format.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    pub certificate_file: PathBuf,
    pub key_file: PathBuf,
}

impl TlsSettings {
    pub fn transport(&self) -> Result<Transport, TransportError> {
        Transport::tls(&self.certificate_file, &self.key_file)
    }
}
