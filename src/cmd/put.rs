use pico_args::Arguments;

use crate::cmd::{CmdError, GatewayClient, Options, print_version, read_file, required_argument};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad put [--base VERSION] SECTION FILE

Replaces a section by the file's text. With --base, the put is refused with exit code 4 if
someone edited the document after that version; without it, the newest version is the base.
";

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let base: Option<u64> = arguments.opt_value_from_str("--base")?;
    let section = required_argument(&mut arguments, "SECTION")?;
    let path = required_argument(&mut arguments, "FILE")?;
    UsageError::check_empty(arguments)?;
    let text = read_file(&path)?;
    let gateway = GatewayClient::from_options(options)?;
    let base = match base {
        Some(base) => base,
        None => gateway.get_text(Some(&section)).await?.version,
    };
    print_version(&gateway.put_section(&section, base, text).await?, options);
    Ok(())
}
