//! Commands of the operators' client.
//!
//! Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 conflict.

mod check;
mod cmd_error;
mod diff;
mod edit;
mod endpoint;
mod explain;
mod fleet_status;
mod gateway_client;
mod get;
mod history;
mod key;
mod log_line;
mod logged_send;
mod options;
mod put;
mod refusal;
mod status;
mod table;
mod wait;
mod zone;

use std::process::ExitCode;

use pico_args::Arguments;
use serde_json::{Value, json};
use smol_str::{SmolStr, ToSmolStr};

use crate::usage_error::UsageError;

pub use cmd_error::CmdError;
pub use gateway_client::{GatewayClient, VersionedText};
pub use options::{Credential, Options};
pub use refusal::Refusal;

const USAGE: &str = "\
almondroad: edits the configuration of an almondroad service

usage: almondroad [--gateway ADDRESS] [--credential-file FILE] [--json] COMMAND

commands:
  check FILE                      check a document
  get [SECTION]                   print the document or a section
  edit SECTION                    edit a section in $EDITOR
  put SECTION FILE                replace a section
  diff SECTION FILE               compare a section with a file
  history                         list the newest changes
  key create|withdraw ORGANISATION NAME
  zone in|out ZONE                return a zone to service, or take it out
  endpoint drain|return ENDPOINT  stop new work on an endpoint, or allow it again
  wait VERSION                    wait until every instance has a version in force
  status                          print instances, owners and endpoints
  explain ATTEMPT FILE...         tell from logs what became of a request

`almondroad COMMAND --help` describes a command. The credential of your team comes from
ALMONDROAD_CREDENTIAL or from --credential-file.

exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 conflict
";

/// Runs the command that the arguments name.
pub async fn run(mut arguments: Arguments) -> ExitCode {
    if arguments.contains("--version") {
        println!("almondroad {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let is_json = arguments.clone().contains("--json");
    match dispatch(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if is_json {
                let error_object = json!({ "code": error.code(), "message": error.to_string() });
                eprintln!("{}", json!({ "error": error_object }));
            } else {
                eprintln!("almondroad: {error}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

async fn dispatch(mut arguments: Arguments) -> Result<(), CmdError> {
    let wants_help = arguments.contains(["-h", "--help"]);
    let options = Options::take(&mut arguments)?;
    let command = arguments.subcommand()?;
    let Some(command) = command else {
        if wants_help {
            print!("{USAGE}");
            return Ok(());
        }
        return Err(UsageError::MissingCommand.into());
    };
    if wants_help {
        print!("{}", command_usage(&command)?);
        return Ok(());
    }
    match command.as_str() {
        "check" => check::run(arguments, &options),
        "get" => get::run(arguments, &options).await,
        "edit" => edit::run(arguments, &options).await,
        "put" => put::run(arguments, &options).await,
        "diff" => diff::run(arguments, &options).await,
        "history" => history::run(arguments, &options).await,
        "key" => key::run(arguments, &options).await,
        "zone" => zone::run(arguments, &options).await,
        "endpoint" => endpoint::run(arguments, &options).await,
        "wait" => wait::run(arguments, &options).await,
        "status" => status::run(arguments, &options).await,
        "explain" => explain::run(arguments, &options),
        _ => Err(unknown_command(&command)),
    }
}

fn command_usage(command: &str) -> Result<&'static str, CmdError> {
    Ok(match command {
        "check" => check::USAGE,
        "get" => get::USAGE,
        "edit" => edit::USAGE,
        "put" => put::USAGE,
        "diff" => diff::USAGE,
        "history" => history::USAGE,
        "key" => key::USAGE,
        "zone" => zone::USAGE,
        "endpoint" => endpoint::USAGE,
        "wait" => wait::USAGE,
        "status" => status::USAGE,
        "explain" => explain::USAGE,
        _ => return Err(unknown_command(command)),
    })
}

fn unknown_command(command: &str) -> CmdError {
    UsageError::UnknownCommand { command: command.into() }.into()
}

/// The next argument, which the usage text calls `name`.
fn required_argument(arguments: &mut Arguments, name: &'static str) -> Result<SmolStr, CmdError> {
    next_argument(arguments)?.ok_or_else(|| UsageError::Missing { name }.into())
}

fn next_argument(arguments: &mut Arguments) -> Result<Option<SmolStr>, CmdError> {
    let argument: Option<String> = arguments.opt_free_from_str()?;
    match argument {
        Some(option) if option.starts_with('-') => {
            Err(UsageError::UnknownOption { option: option.into() }.into())
        }
        argument => Ok(argument.map(SmolStr::from)),
    }
}

fn read_file(path: &str) -> Result<String, CmdError> {
    std::fs::read_to_string(path)
        .map_err(|source| CmdError::File { path: path.to_smolstr(), source })
}

/// Prints the response to an edit.
fn print_version(answer: &Value, options: &Options) {
    if options.is_json {
        println!("{answer}");
    } else {
        println!("version {} is accepted", answer["version"]);
    }
}
