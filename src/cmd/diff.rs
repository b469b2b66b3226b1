use pico_args::Arguments;
use similar::TextDiff;

use crate::cmd::{CmdError, GatewayClient, Options, read_file, required_argument};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad diff SECTION FILE

Compares the section in force with a file, as a unified diff. Exit code 1 if they differ.
";

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let section = required_argument(&mut arguments, "SECTION")?;
    let path = required_argument(&mut arguments, "FILE")?;
    UsageError::check_empty(arguments)?;
    let file = read_file(&path)?;
    let read = GatewayClient::from_options(options)?.get_text(Some(&section)).await?;
    let (old, new) = (read.text.trim(), file.trim());
    if old == new {
        return Ok(());
    }
    let label = format!("{section} at version {}", read.version);
    print!("{}", TextDiff::from_lines(old, new).unified_diff().header(&label, &path));
    Err(CmdError::Different)
}
