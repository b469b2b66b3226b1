use std::fmt;
use std::path::PathBuf;

use smol_str::{SmolStr, ToSmolStr};

use crate::cmd::CmdError;
use crate::usage_error::UsageError;

/// Options that all commands share.
#[derive(Debug)]
pub struct Options {
    gateway: Option<SmolStr>,
    credential_file: Option<PathBuf>,
    pub is_json: bool,
}

/// A team's credential. It is never displayed.
#[derive(Clone)]
pub struct Credential(pub(super) String);

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

impl Options {
    /// Takes the shared options out of the arguments.
    pub fn take(arguments: &mut pico_args::Arguments) -> Result<Options, CmdError> {
        Ok(Options {
            gateway: arguments.opt_value_from_str("--gateway")?,
            credential_file: arguments.opt_value_from_str("--credential-file")?,
            is_json: arguments.contains("--json"),
        })
    }

    /// Address of the instance to ask, as HOST:PORT.
    pub(super) fn gateway(&self) -> Result<SmolStr, CmdError> {
        let address = self.gateway.clone().ok_or(UsageError::MissingGateway)?;
        if address.contains('/') || !address.contains(':') {
            return Err(UsageError::InvalidAddress { address }.into());
        }
        Ok(address)
    }

    pub(super) fn credential(&self) -> Result<Credential, CmdError> {
        let text = match &self.credential_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|source| CmdError::File { path: path.display().to_smolstr(), source })?,
            None => std::env::var("ALMONDROAD_CREDENTIAL").map_err(|_| UsageError::NoCredential)?,
        };
        Ok(Credential(text.trim().to_owned()))
    }
}
