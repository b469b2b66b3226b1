use pico_args::Arguments;

use crate::cmd::table::print_table;
use crate::cmd::{CmdError, Gateway, Options, no_more};

pub(super) const USAGE: &str = "\
usage: almondroad status

Prints the instances with their versions in force, the shards' holders and the endpoints.
";

pub(super) async fn run(arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    no_more(arguments)?;
    let answer = Gateway::of(options)?.get_json("status").await?;
    if options.is_json {
        println!("{answer}");
        return Ok(());
    }
    for part in ["instances", "holders", "endpoints"] {
        println!("{part}:");
        print_table(&answer[part]);
        println!();
    }
    Ok(())
}
