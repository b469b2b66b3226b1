use hyper::Method;
use pico_args::Arguments;

use crate::cmd::{CmdError, GatewayClient, Options, print_version, required_argument};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad endpoint drain ENDPOINT
       almondroad endpoint return ENDPOINT

drain stops new work on an endpoint within 3 s; requests that run there are finished. return
allows new work again.
";

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let action = required_argument(&mut arguments, "drain or return")?;
    let endpoint = required_argument(&mut arguments, "ENDPOINT")?;
    UsageError::check_empty(arguments)?;
    if !["drain", "return"].contains(&action.as_str()) {
        return Err(UsageError::InvalidValue { expected: "drain or return", given: action }.into());
    }
    let path = format!("endpoints/{endpoint}/{action}");
    print_version(&GatewayClient::from_options(options)?.edit(Method::POST, &path).await?, options);
    Ok(())
}
