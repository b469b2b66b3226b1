use std::time::{Duration, Instant};

use pico_args::Arguments;
use serde_json::json;

use crate::cmd::fleet_status::FleetStatus;
use crate::cmd::{CmdError, GatewayClient, Options};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad wait [--timeout SECONDS] VERSION

Waits until every live instance has at least this version in force; 10 s unless --timeout says
otherwise. Names the instances that lag if the time is over, with exit code 1.
";

const DEFAULT_TIMEOUT_S: u64 = 10;
const POLL_PERIOD: Duration = Duration::from_millis(200);

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let timeout_s: Option<u64> = arguments.opt_value_from_str("--timeout")?;
    let wanted: Option<u64> =
        arguments.opt_free_from_str().map_err(|_| UsageError::InvalidVersion)?;
    let wanted = wanted.ok_or(UsageError::Missing { name: "VERSION" })?;
    UsageError::check_empty(arguments)?;
    let deadline = Instant::now() + Duration::from_secs(timeout_s.unwrap_or(DEFAULT_TIMEOUT_S));
    let gateway = GatewayClient::from_options(options)?;
    loop {
        let status = FleetStatus::read(&gateway).await?;
        let lagging = status.lagging(&gateway, wanted).await;
        if lagging.is_empty() {
            let count = status.instances.len();
            if options.is_json {
                println!("{}", json!({ "version": wanted, "instances": count }));
            } else {
                println!("version {wanted} is in force on all live instances ({count})");
            }
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CmdError::NotInForce { wanted, lagging });
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}
