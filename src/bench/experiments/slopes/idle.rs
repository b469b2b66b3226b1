//! Experiment `slopes-idle`.

use std::time::Duration;

use crate::bench::experiments::slopes::sample::{
    BYTES_LIMIT_PER_S, CPU_LIMIT_PERCENT, Cost, MEMORY_LIMIT_KB, measure,
};
use crate::bench::report::Bound;
use crate::bench::{BenchError, FleetBuilder, Options, Report};
use crate::standin::PlatformFaults;

const SIZES: [usize; 4] = [3, 9, 30, 60];
/// In their first 10 s, instances read the instance list and choose neighbours more often.
const WARM_UP: Duration = Duration::from_secs(12);
/// Time until leases and confirmations come from witnesses instead of the store.
const OUTAGE_WARM_UP: Duration = Duration::from_secs(4);

/// Measures idle fleets of several sizes, with and without the store.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    for size in SIZES {
        let fleet = FleetBuilder::new(options.programs.clone(), options.deployment)
            .gateways(size)
            .engines(1, 1)
            .plain_services(1)
            .slices(1)
            .start()
            .await?;
        report.progress(&format!("{size} instances run"));
        tokio::time::sleep(WARM_UP).await;
        let idle = measure(&fleet, options.load).await?;
        idle.add_to(report, &format!("idle-{size}"));
        add_bounds(&idle, size, report);
        fleet
            .set_faults(&fleet.platform, &PlatformFaults { down: true, ..Default::default() })
            .await?;
        tokio::time::sleep(OUTAGE_WARM_UP).await;
        measure(&fleet, options.load).await?.add_to(report, &format!("outage-{size}"));
    }
    Ok(())
}

fn add_bounds(cost: &Cost, size: usize, report: &mut Report) {
    let mut bounded = |name: &str, value, unit, limit| {
        report.bounded(&format!("{name} of {size}"), value, unit, Bound::AtMost(limit));
    };
    bounded("idle CPU", cost.cpu_percent, "% of core", CPU_LIMIT_PERCENT);
    bounded("idle memory", cost.resident_kb, "KB", MEMORY_LIMIT_KB);
    bounded("idle peer bytes sent", cost.sent_bytes_per_s, "B/s", BYTES_LIMIT_PER_S);
}
