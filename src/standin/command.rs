//! Command line of `almondroad-standin`.

use std::ffi::OsString;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::settings::load_settings;
use crate::standin::{
    Effects, PlainSettings, Standin, StandinError, start_engine, start_plain, start_platform,
    start_weights,
};
use crate::usage_error::UsageError;

const USAGE: &str = "\
Runs a stand-in for an external system.

Usage: almondroad-standin COMMAND [--settings FILE] [--listen ADDRESS]

Commands:
  engine    model engine: prefill, decode, transfer of KV caches
  platform  table, object store and instance list
  plain     plain service that counts side effects
  weights   weight store

Options:
  --settings FILE    settings, JSON with comments; every setting has a default
  --listen ADDRESS   listening address and port, 127.0.0.1:0 by default
  --help             prints this text
  --version          prints the version

Prints `listening on ADDRESS` when ready. GET /standin/stats returns statistics,
POST /standin/faults injects faults.
Exit status: 1 after a failure or an injected crash, 2 if the arguments or the
settings are invalid.
";

struct Options {
    command: String,
    listen: SocketAddr,
    settings: Option<PathBuf>,
}

/// Runs the program. `arguments` excludes the program name.
pub fn run_standin(arguments: Vec<OsString>) -> ExitCode {
    Error::report_result("almondroad-standin", USAGE, run(Arguments::from_vec(arguments)))
}

fn run(mut arguments: Arguments) -> Result<(), Error> {
    if arguments.contains("--help") {
        return Ok(print(USAGE)?);
    }
    if arguments.contains("--version") {
        return Ok(print(concat!("almondroad-standin ", env!("CARGO_PKG_VERSION"), "\n"))?);
    }
    let options = read_options(arguments)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StandinError::Io)?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let standin = options.start().await?;
        print(&format!("listening on {}\n", standin.address()))?;
        standin.stopped().await;
        Err(StandinError::Crashed.into())
    })
}

fn read_options(mut arguments: Arguments) -> Result<Options, Error> {
    let settings = arguments.opt_value_from_os_str("--settings", |path| {
        Ok::<_, std::convert::Infallible>(PathBuf::from(path))
    })?;
    let listen = arguments.opt_value_from_str("--listen")?;
    let command = arguments.subcommand()?.ok_or(UsageError::MissingCommand)?;
    UsageError::check_empty(arguments)?;
    let listen = listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    Ok(Options { command, listen, settings })
}

impl Options {
    async fn start(&self) -> Result<Standin, Error> {
        let started = match self.command.as_str() {
            "engine" => start_engine(self.listen, self.read_settings()?).await,
            "platform" => start_platform(self.listen, self.read_settings()?).await,
            "weights" => start_weights(self.listen, self.read_settings()?).await,
            "plain" => {
                let settings: PlainSettings = self.read_settings()?;
                let effects = match &settings.effects_file {
                    Some(path) => Effects::from_file(path).map_err(StandinError::Io)?,
                    None => Effects::default(),
                };
                start_plain(self.listen, settings, effects).await
            }
            other => return Err(UsageError::UnknownCommand { command: other.into() }.into()),
        };
        Ok(started.map_err(StandinError::Io)?)
    }

    fn read_settings<T: DeserializeOwned + Default>(&self) -> Result<T, Error> {
        let Some(path) = &self.settings else { return Ok(T::default()) };
        Ok(load_settings(path)?)
    }
}

/// Prints and flushes, because another process may wait for the text.
fn print(text: &str) -> Result<(), StandinError> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    Ok(out.flush()?)
}
