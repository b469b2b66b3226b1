//! Load generation and experiments on loopback.

use std::process::ExitCode;
use std::time::Duration;

use almondroad::bench::experiments::{self, EXPERIMENTS};
use almondroad::bench::{BenchError, Deployment, Options, Programs, demo};
use pico_args::Arguments;

const DEFAULT_LOAD_S: f64 = 15.0;

const USAGE: &str = "\
Run experiments with a fleet of processes on loopback.

Usage:
    almondroad-bench demo
    almondroad-bench list
    almondroad-bench run NAME [options]

Commands:
    demo    send one request through separate prefill and decode endpoints
    list    name the experiments
    run     run one experiment

Options:
    --deployment NAME   association (default) or loomworks
    --seed N            seed of the load, 1 by default
    --seconds S         length of the load, 15 by default
    --plot FILE         write an SVG of goodput and first-token p95 over time
    --json              print one JSON object a line
    -h, --help          print this text
    --version           print the version

Exit codes: 0 all bounds met, 1 failed or a bound missed, 2 usage.
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--version") {
        println!("almondroad-bench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let command = arguments.subcommand();
    match command.as_ref().map(|command| command.as_deref()) {
        Ok(Some("demo")) => run(demo::run()),
        Ok(Some("list")) => {
            for (name, purpose) in EXPERIMENTS {
                println!("{name:14} {purpose}");
            }
            ExitCode::SUCCESS
        }
        Ok(Some("run")) if !arguments.contains(["-h", "--help"]) => match parse(arguments) {
            Ok((name, options)) => run(run_experiment(name, options)),
            Err(error) => fail(&error),
        },
        Ok(Some("process")) => run_process(arguments),
        _ if arguments.contains(["-h", "--help"]) => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        _ => {
            eprint!("{USAGE}");
            ExitCode::from(2)
        }
    }
}

fn run(experiment: impl Future<Output = Result<(), BenchError>>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&BenchError::Runtime(error)),
    };
    match tokio::task::LocalSet::new().block_on(&runtime, experiment) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn parse(mut arguments: Arguments) -> Result<(String, Options), BenchError> {
    let deployment = arguments.opt_value_from_str("--deployment")?;
    let seed = arguments.opt_value_from_str("--seed")?;
    let seconds: Option<f64> = arguments.opt_value_from_str("--seconds")?;
    let is_json = arguments.contains("--json");
    let path = |path: &std::ffi::OsStr| Ok::<_, BenchError>(std::path::PathBuf::from(path));
    let plot = arguments.opt_value_from_os_str("--plot", path)?;
    let name = arguments.free_from_str()?;
    if let Some(argument) = arguments.finish().first() {
        let cause = format!("unknown argument {}", argument.display());
        return Err(pico_args::Error::ArgumentParsingFailed { cause }.into());
    }
    let options = Options {
        programs: Programs::of_this_program().map_err(BenchError::Runtime)?,
        deployment: deployment.unwrap_or(Deployment::Association),
        seed: seed.unwrap_or(1),
        load: Duration::from_secs_f64(seconds.unwrap_or(DEFAULT_LOAD_S).clamp(1.0, 600.0)),
        is_json,
        plot,
    };
    Ok((name, options))
}

async fn run_experiment(name: String, options: Options) -> Result<(), BenchError> {
    let report = experiments::run(&name, &options).await?;
    if report.is_ok() { Ok(()) } else { Err(BenchError::BoundMissed) }
}

/// Runs one process of a fleet: the gateway or a stand-in.
fn run_process(mut arguments: Arguments) -> ExitCode {
    match arguments.subcommand().ok().flatten().as_deref() {
        Some("gateway") => almondroad::gateway::run_gateway(arguments.finish()),
        Some("standin") => almondroad::standin::run_standin(arguments.finish()),
        _ => ExitCode::from(2),
    }
}

fn fail(error: &BenchError) -> ExitCode {
    eprintln!("almondroad-bench: {error}");
    match error {
        BenchError::Usage(_) | BenchError::UnknownExperiment { .. } => ExitCode::from(2),
        _ => ExitCode::FAILURE,
    }
}
