//! The gateway instance of almondroad.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondroad::gateway::run_gateway(std::env::args_os().skip(1).collect())
}
