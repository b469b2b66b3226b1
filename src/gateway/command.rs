//! The command line of `almondroad-gateway`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::{Display, Error, From};
use pico_args::Arguments;

use crate::gateway::{GatewayError, run_process};
use crate::settings::{GatewaySettings, SettingsError, load_settings};

const USAGE: &str = "\
Run an entry instance.

Usage:
    almondroad-gateway --settings FILE
    almondroad-gateway --check --settings FILE

Options:
    --settings FILE   settings in JSON with comments
    --check           check the settings and exit
    -h, --help        print this text
    --version         print the version

SIGTERM or SIGINT stops gracefully; a second one stops at once.
Exit codes: 0 stopped as planned, 1 failed, 2 usage or settings.
";

/// An error that ends the program.
#[derive(Debug, Display, Error, From)]
enum CommandError {
    #[display("{_0}\n\n{USAGE}")]
    Usage(pico_args::Error),
    #[display("unknown argument {}\n\n{USAGE}", argument.display())]
    #[from(ignore)]
    Unexpected { argument: OsString },
    #[display("{_0}")]
    Settings(SettingsError),
    #[display("{_0}")]
    Gateway(GatewayError),
}

/// Runs the program with its arguments, without the program's name.
pub fn run_gateway(arguments: Vec<OsString>) -> ExitCode {
    let Err(error) = run(Arguments::from_vec(arguments)) else { return ExitCode::SUCCESS };
    eprintln!("almondroad-gateway: {error}");
    match error {
        CommandError::Gateway(_) => ExitCode::FAILURE,
        _ => ExitCode::from(2),
    }
}

fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(());
    }
    if arguments.contains("--version") {
        println!("almondroad-gateway {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let is_check = arguments.contains("--check");
    let path = arguments.value_from_os_str("--settings", |path| {
        Ok::<_, std::convert::Infallible>(PathBuf::from(path))
    })?;
    if let Some(argument) = arguments.finish().into_iter().next() {
        return Err(CommandError::Unexpected { argument });
    }
    let settings: GatewaySettings = load_settings(&path)?;
    if is_check {
        println!("{}: ok", path.display());
        return Ok(());
    }
    Ok(run_process(settings)?)
}
