use hyper::Method;
use pico_args::Arguments;

use crate::cmd::{CmdError, Gateway, Options, no_more, print_version, required};

pub(super) const USAGE: &str = "\
usage: almondroad endpoint drain ENDPOINT
       almondroad endpoint return ENDPOINT

drain stops new work on an endpoint within 3 s; requests that run there are finished. return
allows new work again.
";

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let action = required(&mut arguments, "drain or return")?;
    let endpoint = required(&mut arguments, "ENDPOINT")?;
    no_more(arguments)?;
    if !["drain", "return"].contains(&action.as_str()) {
        return Err(CmdError::usage(format!("expected drain or return, not {action}")));
    }
    let path = format!("endpoints/{endpoint}/{action}");
    print_version(&Gateway::of(options)?.edit(Method::POST, &path).await?, options);
    Ok(())
}
