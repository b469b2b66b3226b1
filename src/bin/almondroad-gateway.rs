//! The entry instance of almondroad.

use std::path::PathBuf;
use std::process::ExitCode;

use almondroad::gateway;
use almondroad::settings::{GatewaySettings, load_settings};

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

struct Args {
    settings: PathBuf,
    is_check: bool,
}

fn main() -> ExitCode {
    let args = match parse() {
        Ok(Some(args)) => args,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("almondroad-gateway: {error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let settings: GatewaySettings = match load_settings(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("almondroad-gateway: {error}");
            return ExitCode::from(2);
        }
    };
    if args.is_check {
        println!("{}: ok", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match gateway::run_process(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("almondroad-gateway: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse() -> Result<Option<Args>, pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(None);
    }
    if args.contains("--version") {
        println!("almondroad-gateway {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let is_check = args.contains("--check");
    let settings = args.value_from_str("--settings")?;
    let unused = args.finish();
    match unused.first() {
        None => Ok(Some(Args { settings, is_check })),
        Some(argument) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unknown argument {}", argument.display()),
        }),
    }
}
