use pico_args::Arguments;
use serde_json::json;

use crate::cmd::table::print_text;
use crate::cmd::{CmdError, GatewayClient, Options};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad get [SECTION]

Prints the document or one section. The version goes to the error output; give it to
`almondroad put --base` to detect edits of others.
";

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let section: Option<String> = arguments.opt_free_from_str()?;
    UsageError::check_empty(arguments)?;
    let read = GatewayClient::from_options(options)?.get_text(section.as_deref()).await?;
    if options.is_json {
        let answer = json!({ "version": read.version, "text": read.text });
        print_text(&format!("{answer}\n"));
    } else {
        print_text(&read.text);
        if !read.text.ends_with('\n') {
            print_text("\n");
        }
        eprintln!("version {}", read.version);
    }
    Ok(())
}
