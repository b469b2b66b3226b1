//! The command line of `almondroad-gateway`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::error::Error;
use crate::gateway::run_process;
use crate::settings::{GatewaySettings, load_settings};
use crate::usage_error::UsageError;

const USAGE: &str = "\
Run a gateway instance.

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

/// Runs the program with its arguments, without the program's name.
pub fn run_gateway(arguments: Vec<OsString>) -> ExitCode {
    Error::report_result("almondroad-gateway", USAGE, run(Arguments::from_vec(arguments)))
}

fn run(mut arguments: Arguments) -> Result<(), Error> {
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
    UsageError::check_empty(arguments)?;
    let settings: GatewaySettings = load_settings(&path)?;
    if is_check {
        println!("{}: ok", path.display());
        return Ok(());
    }
    Ok(run_process(settings)?)
}
