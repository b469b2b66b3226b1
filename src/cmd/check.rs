use pico_args::Arguments;
use serde_json::json;

use crate::cmd::{CmdError, Options, read_file, required_argument};
use crate::config::{Finding, check_document};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad check [--json] FILE

Checks a whole document as the gateway does before it accepts an edit. Needs no gateway.
Prints each finding with its line and column. Warnings alone do not make the check fail.
";

pub(super) fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let path = required_argument(&mut arguments, "FILE")?;
    UsageError::check_empty(arguments)?;
    let (_, findings) = check_document(&read_file(&path)?);
    if options.is_json {
        println!("{}", json!({ "findings": findings }));
    } else {
        for Finding { severity, line, column, message } in &findings {
            println!("{path}:{line}:{column}: {severity}: {message}");
        }
    }
    if findings.iter().any(Finding::is_error) {
        return Err(CmdError::Invalid { path });
    }
    Ok(())
}
