//! Stand-ins for the external systems, run as processes.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondroad::standin::run_standin(std::env::args_os().skip(1).collect())
}
