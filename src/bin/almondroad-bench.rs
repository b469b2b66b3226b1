//! Load generation and experiments on loopback.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondroad::bench::run_bench(pico_args::Arguments::from_env())
}
