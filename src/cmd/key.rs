use hyper::Method;
use pico_args::Arguments;

use crate::cmd::{CmdError, GatewayClient, Options, print_version, required_argument};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad key create ORGANISATION NAME
       almondroad key withdraw ORGANISATION NAME

create prints a new key once; the service keeps only its hash. withdraw makes a key invalid
everywhere within 3 s.
";

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let action = required_argument(&mut arguments, "create or withdraw")?;
    let organisation = required_argument(&mut arguments, "ORGANISATION")?;
    let name = required_argument(&mut arguments, "NAME")?;
    UsageError::check_empty(arguments)?;
    let path = format!("organisations/{organisation}/keys/{name}");
    let is_new = match action.as_str() {
        "create" => true,
        "withdraw" => false,
        _ => {
            return Err(
                UsageError::InvalidValue { expected: "create or withdraw", given: action }.into()
            );
        }
    };
    let method = if is_new { Method::POST } else { Method::DELETE };
    let answer = GatewayClient::from_options(options)?.edit(method, &path).await?;
    print_version(&answer, options);
    if is_new && !options.is_json {
        println!("{}", answer["key"].as_str().unwrap_or_default());
        eprintln!("This key is not shown again.");
    }
    Ok(())
}
