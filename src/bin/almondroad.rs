//! The operators' command-line client.

use std::process::ExitCode;

fn main() -> ExitCode {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(almondroad::cmd::run(pico_args::Arguments::from_env())),
        Err(error) => {
            eprintln!("almondroad: cannot start: {error}");
            ExitCode::from(2)
        }
    }
}
