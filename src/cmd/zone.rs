use hyper::Method;
use pico_args::Arguments;

use crate::cmd::{CmdError, GatewayClient, Options, print_version, required_argument};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad zone out ZONE
       almondroad zone in ZONE

out stops new work in an availability zone within 3 s; requests that run there are finished.
in returns the zone to service.
";

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let action = required_argument(&mut arguments, "in or out")?;
    let zone = required_argument(&mut arguments, "ZONE")?;
    UsageError::check_empty(arguments)?;
    if !["in", "out"].contains(&action.as_str()) {
        return Err(UsageError::InvalidValue { expected: "in or out", given: action }.into());
    }
    let path = format!("zones/{zone}/{action}");
    print_version(&GatewayClient::from_options(options)?.edit(Method::POST, &path).await?, options);
    Ok(())
}
