//! Statistics of the engines: slot occupancy and wasted prefills.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::bench::Fleet;
use crate::engine::{Engine, HttpEngine};
use crate::standin::EngineStats;

const SAMPLE_PERIOD: Duration = Duration::from_millis(250);

/// Returns the mean share of the decode endpoints' slots in use, from the engines' load reports.
/// Sampling starts after `after` and lasts for `length`.
pub async fn sample_occupancy(fleet: &Fleet, after: Duration, length: Duration) -> f64 {
    sleep(after).await;
    let end = Instant::now() + length;
    let engines: Vec<HttpEngine> =
        fleet.decode.iter().map(|engine| HttpEngine::new(engine.address().clone())).collect();
    let (mut running, mut samples) = (0, 0);
    while Instant::now() < end {
        let loads = futures::future::join_all(engines.iter().map(|engine| engine.load())).await;
        for load in loads.into_iter().flatten() {
            running += u64::from(load.running);
            samples += 1;
        }
        sleep(SAMPLE_PERIOD).await;
    }
    running as f64 / f64::from(samples.max(1) as u32) / f64::from(fleet.slots())
}

/// Returns the number of prefills that ran and the number of those whose result no decode endpoint
/// imported.
pub async fn count_prefills(fleet: &Fleet) -> (u64, u64) {
    let (mut ran, mut imported) = (0, 0);
    for engine in &fleet.prefill {
        ran += fleet.stats::<EngineStats>(engine).await.map_or(0, |stats| stats.prefills);
    }
    for engine in &fleet.decode {
        imported += fleet.stats::<EngineStats>(engine).await.map_or(0, |stats| stats.imports);
    }
    (ran, ran.saturating_sub(imported))
}
