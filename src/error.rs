use std::process::ExitCode;

use derive_more::{Display, Error, From};

use crate::bench::BenchError;
use crate::cmd::CmdError;
use crate::gateway::GatewayError;
use crate::settings::SettingsError;
use crate::standin::StandinError;
use crate::usage_error::UsageError;

/// Top-level error of this crate's programs.
#[derive(Debug, Display, Error, From)]
#[display("{_0}")]
pub enum Error {
    Usage(UsageError),
    Settings(SettingsError),
    Gateway(GatewayError),
    Standin(StandinError),
    Cmd(CmdError),
    Bench(BenchError),
}

impl Error {
    /// Returns the process exit code: 2 for command-line and settings errors, 1 for other failures.
    /// The operators' client defines further codes.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage(_) | Error::Settings(_) | Error::Bench(BenchError::Usage(_)) => 2,
            Error::Cmd(error) => error.exit_code(),
            Error::Gateway(_) | Error::Standin(_) | Error::Bench(_) => 1,
        }
    }

    /// Prints an error to standard error, followed by the usage text for usage errors, and returns
    /// the program's exit code.
    pub fn report_result(program: &str, usage: &str, result: Result<(), Error>) -> ExitCode {
        let Err(error) = result else { return ExitCode::SUCCESS };
        match &error {
            Error::Usage(_) => eprintln!("{program}: {error}\n\n{usage}"),
            _ => eprintln!("{program}: {error}"),
        }
        ExitCode::from(error.exit_code())
    }
}

impl From<pico_args::Error> for Error {
    fn from(error: pico_args::Error) -> Error {
        Error::Usage(error.into())
    }
}
