use pico_args::Arguments;

use crate::cmd::table::{object_rows, print_text, render_table};
use crate::cmd::{CmdError, GatewayClient, Options};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad history

Lists the newest changes, newest first: version, team, section, size and the attempt's id. A
section that starts with @ was changed by the service itself.
";

const COLUMNS: [&str; 6] =
    ["version", "team", "section", "removed_bytes", "inserted_bytes", "attempt"];

pub(super) async fn run(arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    UsageError::check_empty(arguments)?;
    let answer = GatewayClient::from_options(options)?.get_json("history").await?;
    if options.is_json {
        print_text(&format!("{answer}\n"));
    } else {
        print_text(&render_table(&COLUMNS, &object_rows(&answer["changes"], &COLUMNS)));
    }
    Ok(())
}
