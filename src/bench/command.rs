//! The commands of `almondroad-bench`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;

use crate::bench::experiments::{self, EXPERIMENTS};
use crate::bench::{BenchError, Deployment, Options, Programs, demo};
use crate::error::Error;
use crate::usage_error::UsageError;

const DEFAULT_LOAD_S: f64 = 15.0;
/// Minimum and maximum load time of an experiment.
const LOAD_LIMITS_S: (f64, f64) = (1.0, 600.0);

const USAGE: &str = "\
Run experiments with a fleet of processes on loopback.

Usage:
    almondroad-bench demo
    almondroad-bench list
    almondroad-bench run NAME [options]

Commands:
    demo    send one request through separate prefill and decode endpoints
    list    list the experiments
    run     run one experiment

Options:
    --deployment NAME   association (default) or loomworks
    --seed N            seed of the load, 1 by default
    --seconds S         length of the load, 15 by default
    --plot FILE         write an SVG of goodput and first-token p95 over time
    --json              print one JSON object per line
    -h, --help          print this text
    --version           print the version

Exit codes: 0 all bounds met, 1 failed or a bound missed, 2 usage.
";

/// Runs the command that the arguments name.
pub fn run_bench(mut arguments: Arguments) -> ExitCode {
    // The processes of a fleet run this executable with the subcommand `process`.
    if let Some(program) = take_process(&mut arguments) {
        return program(arguments.finish());
    }
    Error::report_result("almondroad-bench", USAGE, run(arguments))
}

fn take_process(arguments: &mut Arguments) -> Option<fn(Vec<std::ffi::OsString>) -> ExitCode> {
    let mut rest = arguments.clone();
    if rest.subcommand().ok().flatten().as_deref() != Some("process") {
        return None;
    }
    let program = match rest.subcommand().ok().flatten().as_deref() {
        Some("gateway") => crate::gateway::run_gateway,
        Some("standin") => crate::standin::run_standin,
        _ => return None,
    };
    *arguments = rest;
    Some(program)
}

fn run(mut arguments: Arguments) -> Result<(), Error> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(());
    }
    if arguments.contains("--version") {
        println!("almondroad-bench {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = arguments.subcommand()?.ok_or(UsageError::MissingCommand)?;
    match command.as_str() {
        "demo" => {
            UsageError::check_empty(arguments)?;
            Ok(block_on(demo::run())?)
        }
        "list" => {
            UsageError::check_empty(arguments)?;
            list();
            Ok(())
        }
        "run" => {
            let (name, options) = parse(arguments)?;
            Ok(block_on(run_experiment(name, options))?)
        }
        _ => Err(UsageError::UnknownCommand { command: command.into() }.into()),
    }
}

fn list() {
    for (name, purpose) in EXPERIMENTS {
        println!("{name:14} {purpose}");
    }
}

fn block_on(work: impl Future<Output = Result<(), BenchError>>) -> Result<(), BenchError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(BenchError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

fn parse(mut arguments: Arguments) -> Result<(String, Options), Error> {
    let deployment = arguments.opt_value_from_str("--deployment")?;
    let seed = arguments.opt_value_from_str("--seed")?;
    let seconds: Option<f64> = arguments.opt_value_from_str("--seconds")?;
    let is_json = arguments.contains("--json");
    let plot = arguments.opt_value_from_os_str("--plot", |path| {
        Ok::<_, std::convert::Infallible>(PathBuf::from(path))
    })?;
    let name = arguments.opt_free_from_str()?.ok_or(UsageError::Missing { name: "NAME" })?;
    UsageError::check_empty(arguments)?;
    let (shortest_s, longest_s) = LOAD_LIMITS_S;
    let load_s = seconds.unwrap_or(DEFAULT_LOAD_S).clamp(shortest_s, longest_s);
    let options = Options {
        programs: Programs::from_current_exe().map_err(BenchError::Runtime)?,
        deployment: deployment.unwrap_or(Deployment::Association),
        seed: seed.unwrap_or(1),
        load: Duration::from_secs_f64(load_s),
        is_json,
        plot,
    };
    Ok((name, options))
}

async fn run_experiment(name: String, options: Options) -> Result<(), BenchError> {
    let report = experiments::run(&name, &options).await?;
    if report.is_ok() { Ok(()) } else { Err(BenchError::BoundMissed) }
}
