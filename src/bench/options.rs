use std::path::PathBuf;
use std::time::Duration;

use crate::bench::{Deployment, Programs};

/// Command line options of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    pub programs: Programs,
    pub deployment: Deployment,
    pub seed: u64,
    /// Length of the measured load.
    pub load: Duration,
    pub is_json: bool,
    /// File for the plot of goodput and latency over time.
    pub plot: Option<PathBuf>,
}
