use std::time::{Duration, Instant};

use pico_args::Arguments;

use crate::cmd::{CmdError, Gateway, Options, no_more};

pub(super) const USAGE: &str = "\
usage: almondroad wait [--timeout SECONDS] VERSION

Waits until the gateway has at least this version in force; 10 s unless --timeout says otherwise.
";

const DEFAULT_TIMEOUT_S: u64 = 10;
const PERIOD: Duration = Duration::from_millis(200);

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let timeout_s: Option<u64> = arguments.opt_value_from_str("--timeout")?;
    let wanted: Option<u64> = arguments.opt_free_from_str()?;
    let wanted = wanted.ok_or_else(|| CmdError::usage("VERSION is missing"))?;
    no_more(arguments)?;
    let deadline = Instant::now() + Duration::from_secs(timeout_s.unwrap_or(DEFAULT_TIMEOUT_S));
    let gateway = Gateway::of(options)?;
    loop {
        let answer = gateway.get_json("version").await?;
        let current = answer["version"].as_u64().unwrap_or_default();
        if current >= wanted {
            if options.is_json {
                println!("{answer}");
            } else {
                println!("version {current} is in force");
            }
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CmdError::NotInForce { current, wanted });
        }
        tokio::time::sleep(PERIOD).await;
    }
}
