use pico_args::Arguments;

use crate::cmd::table::print_table;
use crate::cmd::{CmdError, Gateway, Options, no_more};

pub(super) const USAGE: &str = "\
usage: almondroad history

Lists the newest changes, newest first: version, team, section and size.
";

pub(super) async fn run(arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    no_more(arguments)?;
    let answer = Gateway::of(options)?.get_json("history").await?;
    if options.is_json {
        println!("{answer}");
    } else {
        print_table(&answer["changes"]);
    }
    Ok(())
}
