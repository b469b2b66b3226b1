use crate::clock::Instant;
use crate::roles::PoolSample;

/// Time constant of the averages. Longer than the gaps between clumps of requests, shorter than a
/// burst.
const AVERAGE_MS: f64 = 4_000.0;
/// Time for which samples are collected before the averages count.
const MIN_OBSERVED_MS: u64 = 2_500;

/// How the engines of a service were used lately.
#[derive(Clone, Debug, Default)]
pub struct PoolUsage {
    since: Option<Instant>,
    sampled_at: Instant,
    /// Sum of the weights of all samples; the averages are divided by it.
    weight: f64,
    busy_prefill: f64,
    filled_decode: f64,
}

impl PoolUsage {
    /// Adds a sample. Averages start anew with the first request after a time without any.
    pub fn add_sample(&mut self, sample: &PoolSample, now: Instant) {
        if self.since.is_none() {
            if sample.is_idle() {
                return;
            }
            self.since = Some(now);
            self.sampled_at = now;
        }
        if sample.is_idle() && now.ms_since(self.since.unwrap_or(now)) < MIN_OBSERVED_MS {
            self.reset();
            return;
        }
        let elapsed_ms = now.ms_since(self.sampled_at).max(1) as f64;
        self.sampled_at = now;
        let kept = (-elapsed_ms / AVERAGE_MS).exp();
        let added = 1.0 - kept;
        self.weight = self.weight * kept + added;
        let busy = f64::from(sample.busy_prefill_engines);
        self.busy_prefill = self.busy_prefill * kept + busy * added;
        self.filled_decode = self.filled_decode * kept + sample.decode_capacity_used * added;
    }

    /// Forgets the samples, as after a change of the engines' roles.
    pub fn reset(&mut self) {
        *self = PoolUsage::default();
    }

    /// Whether enough samples were collected.
    pub fn has_enough_samples(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now.ms_since(since) >= MIN_OBSERVED_MS)
    }

    /// Average number of prefill engines that were reading.
    pub fn busy_prefill_engines(&self) -> f64 {
        if self.weight > 0.0 { self.busy_prefill / self.weight } else { 0.0 }
    }

    /// Average memory that generations took, in engines.
    pub fn decode_capacity_used(&self) -> f64 {
        if self.weight > 0.0 { self.filled_decode / self.weight } else { 0.0 }
    }
}
