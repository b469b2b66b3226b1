//! Samples of a fleet's resource usage.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::Method;
use tokio::time::Instant;

use crate::bench::{BenchError, Fleet, ProcessUsage, Report};
use crate::http::HttpClient;
use crate::standin::{PlatformStats, RowCounts};

const METRICS_TIMEOUT: Duration = Duration::from_secs(5);
const PEER_BYTES_METRIC: &str = "almondroad_peer_bytes_total{direction=\"sent\"}";
const PEER_CALLS_METRIC: &str = "almondroad_peer_calls_total{method=\"";

/// Limits of an idle instance for CPU, memory and bytes sent to peers.
pub const CPU_LIMIT_PERCENT: f64 = 2.5;
pub const MEMORY_LIMIT_KB: f64 = 32.0 * 1024.0;
pub const BYTES_LIMIT_PER_S: f64 = 14.0 * 1024.0;

/// Counters of a whole fleet at a point in time.
pub struct Sample {
    at: Instant,
    usages: Vec<ProcessUsage>,
    peer_bytes: f64,
    /// Number of calls between peers by method.
    peer_calls: BTreeMap<String, f64>,
    rows: RowCounts,
    calls: u64,
}

/// Resource usage between two samples: means over the gateways, with rates per second, and the
/// peaks of single gateways.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub cpu_percent: f64,
    pub peak_cpu_percent: f64,
    pub resident_kb: f64,
    pub peak_resident_kb: f64,
    pub anonymous_kb: f64,
    /// Bytes sent to peers. On average a gateway receives as much.
    pub sent_bytes_per_s: f64,
    pub reads_per_s: f64,
    pub writes_per_s: f64,
    pub calls_per_s: f64,
}

impl Sample {
    pub async fn of(fleet: &Fleet) -> Result<Sample, BenchError> {
        let mut peer_bytes = 0.0;
        let mut peer_calls = BTreeMap::new();
        for gateway in &fleet.gateways {
            let metrics = read_metrics(gateway.address().clone()).await?;
            peer_bytes +=
                metric_values(&metrics, PEER_BYTES_METRIC).map(|(_, value)| value).sum::<f64>();
            for (method, count) in metric_values(&metrics, PEER_CALLS_METRIC) {
                let method = method.trim_end_matches("\"}").to_owned();
                *peer_calls.entry(method).or_insert(0.0) += count;
            }
        }
        let stats: PlatformStats = fleet.stats(&fleet.platform).await?;
        Ok(Sample {
            at: Instant::now(),
            usages: fleet.gateways.iter().map(|gateway| gateway.usage()).collect(),
            peer_bytes,
            peer_calls,
            rows: stats.total,
            calls: stats.calls,
        })
    }

    /// Returns the CPU time of all gateways.
    pub fn cpu_ns(&self) -> u64 {
        self.usages.iter().map(|usage| usage.cpu_ns).sum()
    }

    pub fn peer_bytes(&self) -> f64 {
        self.peer_bytes
    }

    /// Returns the number of calls between peers since an earlier sample, by method.
    pub fn peer_calls_since(&self, earlier: &Sample) -> BTreeMap<String, f64> {
        let since = |(method, count): (&String, &f64)| {
            let before = earlier.peer_calls.get(method).copied().unwrap_or(0.0);
            (method.clone(), count - before)
        };
        self.peer_calls.iter().map(since).collect()
    }

    pub fn cost_since(&self, earlier: &Sample) -> Cost {
        let elapsed_s = (self.at - earlier.at).as_secs_f64();
        let gateways = self.usages.len() as f64;
        let mean = |total: f64| total / gateways / elapsed_s;
        let pairs = self.usages.iter().zip(&earlier.usages);
        let cpu = pairs
            .map(|(now, then)| now.cpu_ns.saturating_sub(then.cpu_ns) as f64 / elapsed_s / 1e7);
        let resident = self.usages.iter().map(|usage| usage.resident_kb as f64);
        let anonymous: f64 = self.usages.iter().map(|usage| usage.anonymous_kb as f64).sum();
        Cost {
            cpu_percent: cpu.clone().sum::<f64>() / gateways,
            peak_cpu_percent: cpu.fold(0.0, f64::max),
            resident_kb: resident.clone().sum::<f64>() / gateways,
            peak_resident_kb: resident.fold(0.0, f64::max),
            anonymous_kb: anonymous / gateways,
            sent_bytes_per_s: mean(self.peer_bytes - earlier.peer_bytes),
            reads_per_s: mean((self.rows.reads - earlier.rows.reads) as f64),
            writes_per_s: mean((self.rows.writes - earlier.rows.writes) as f64),
            calls_per_s: mean((self.calls - earlier.calls) as f64),
        }
    }
}

impl Cost {
    /// Adds the cost to a report without bounds; only `idle` adds bounds.
    pub fn add_to(&self, report: &mut Report, variant: &str) {
        let mut add = |name, value, unit| report.value(variant, name, value, unit);
        add("CPU", self.cpu_percent, "% of core");
        add("CPU of the busiest", self.peak_cpu_percent, "% of core");
        add("resident memory", self.resident_kb, "KB");
        add("resident memory of the largest", self.peak_resident_kb, "KB");
        add("anonymous memory", self.anonymous_kb, "KB");
        add("peer bytes sent", self.sent_bytes_per_s, "B/s");
        add("platform calls", self.calls_per_s, "1/s");
        add("rows read", self.reads_per_s, "1/s");
        add("rows written", self.writes_per_s, "1/s");
    }
}

/// Measures the cost over `length`.
pub async fn measure(fleet: &Fleet, length: Duration) -> Result<Cost, BenchError> {
    let before = Sample::of(fleet).await?;
    tokio::time::sleep(length).await;
    Ok(Sample::of(fleet).await?.cost_since(&before))
}

async fn read_metrics(address: smol_str::SmolStr) -> Result<String, BenchError> {
    let client = HttpClient::new(address);
    let request = client.request(Method::GET, "/metrics", Default::default())?;
    let response = client.send(request, METRICS_TIMEOUT).await?;
    let body = client.read_body(response).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Returns the rest of the name and the value of each metric whose name starts with `prefix`.
fn metric_values<'a>(metrics: &'a str, prefix: &'a str) -> impl Iterator<Item = (&'a str, f64)> {
    metrics.lines().filter_map(move |line| {
        let (rest, value) = line.strip_prefix(prefix)?.rsplit_once(' ')?;
        Some((rest, value.parse().ok()?))
    })
}
