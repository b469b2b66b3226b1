use std::path::PathBuf;
use std::time::Duration;

use crate::bench::{Deployment, Programs};

/// What the command line asks of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    pub programs: Programs,
    pub deployment: Deployment,
    pub seed: u64,
    /// Length of the measured load.
    pub load: Duration,
    pub is_json: bool,
    /// Where to write a plot of throughput and latency over time.
    pub plot: Option<PathBuf>,
}
