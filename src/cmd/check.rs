use pico_args::Arguments;
use serde_json::json;

use crate::cmd::{CmdError, Options, no_more, read_file, required};
use crate::config::{Finding, check_document};

pub(super) const USAGE: &str = "\
usage: almondroad check [--json] FILE

Checks a whole document as the gateway does before it accepts an edit. Needs no gateway.
Prints each finding with its line and column. Warnings alone do not make the check fail.
";

pub(super) fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let path = required(&mut arguments, "FILE")?;
    no_more(arguments)?;
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
