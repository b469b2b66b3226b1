use std::ffi::OsString;

use derive_more::{Display, Error, From};
use smol_str::SmolStr;

/// An invalid command line or environment.
#[derive(Debug, Display, Error, From)]
pub enum UsageError {
    #[display("{_0}")]
    Arguments(pico_args::Error),
    #[display("name a command")]
    MissingCommand,
    #[display("there is no command {command}")]
    #[from(ignore)]
    UnknownCommand { command: SmolStr },
    #[display("there is no option {option}")]
    #[from(ignore)]
    UnknownOption { option: SmolStr },
    #[display("unexpected argument {}", argument.display())]
    #[from(ignore)]
    Unexpected { argument: OsString },
    #[display("{name} is missing")]
    #[from(ignore)]
    Missing { name: &'static str },
    #[display("expected {expected}, not {given}")]
    #[from(ignore)]
    InvalidValue { expected: &'static str, given: SmolStr },
    #[display("VERSION must be a number, as `almondroad history` lists them")]
    InvalidVersion,
    #[display("name an instance with --gateway ADDRESS, such as --gateway 127.0.0.1:9131")]
    MissingGateway,
    #[display("{address} is not a valid address; expected HOST:PORT without a scheme")]
    #[from(ignore)]
    InvalidAddress { address: SmolStr },
    #[display("{path} is not a valid path or address")]
    #[from(ignore)]
    InvalidPath { path: SmolStr },
    #[display("set ALMONDROAD_CREDENTIAL or give --credential-file FILE")]
    NoCredential,
    #[display("the credential contains characters that are not allowed in a credential")]
    MalformedCredential,
    #[display("set EDITOR to the program that edits the text, such as EDITOR=vi")]
    MissingEditor,
    #[display("no experiment is named {name}; `almondroad-bench list` names them")]
    #[from(ignore)]
    UnknownExperiment { name: SmolStr },
}

impl UsageError {
    /// Returns an error if unparsed arguments remain.
    pub fn check_empty(rest: pico_args::Arguments) -> Result<(), UsageError> {
        match rest.finish().into_iter().next() {
            None => Ok(()),
            Some(argument) => Err(UsageError::Unexpected { argument }),
        }
    }
}
