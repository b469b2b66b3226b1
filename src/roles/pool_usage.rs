use crate::clock::Instant;
use crate::roles::PoolSample;

/// Time constant of the moving averages. Longer than the gaps between batches of requests, shorter
/// than a burst.
const AVERAGE_TIME_CONSTANT_MS: f64 = 4_000.0;
/// Time for which samples are collected before the averages are used.
const MIN_OBSERVED_MS: u64 = 2_500;

/// Exponential moving averages of the use of the engines of a service.
#[derive(Clone, Debug, Default)]
pub struct PoolUsage {
    started_at: Option<Instant>,
    sampled_at: Instant,
    /// Sum of the weights of all samples, by which the averages are normalised.
    weight: f64,
    busy_prefill: f64,
    used_decode: f64,
}

impl PoolUsage {
    /// Adds a sample. The averages start with the first request, and restart if the pool becomes
    /// idle before enough samples were collected.
    pub fn add_sample(&mut self, sample: &PoolSample, now: Instant) {
        if self.started_at.is_none() {
            if sample.is_idle() {
                return;
            }
            self.started_at = Some(now);
            self.sampled_at = now;
        }
        if sample.is_idle() && now.ms_since(self.started_at.unwrap_or(now)) < MIN_OBSERVED_MS {
            self.reset();
            return;
        }
        let elapsed_ms = now.ms_since(self.sampled_at).max(1) as f64;
        self.sampled_at = now;
        let decay = (-elapsed_ms / AVERAGE_TIME_CONSTANT_MS).exp();
        let added = 1.0 - decay;
        self.weight = self.weight * decay + added;
        let busy = f64::from(sample.busy_prefill_engines);
        self.busy_prefill = self.busy_prefill * decay + busy * added;
        self.used_decode = self.used_decode * decay + sample.decode_capacity_used * added;
    }

    /// Discards all samples, for example after a role change.
    pub fn reset(&mut self) {
        *self = PoolUsage::default();
    }

    /// Whether samples cover a long enough period for the averages to be used.
    pub fn has_enough_samples(&self, now: Instant) -> bool {
        self.started_at.is_some_and(|started_at| now.ms_since(started_at) >= MIN_OBSERVED_MS)
    }

    /// Average number of prefill engines that were processing a prompt.
    pub fn busy_prefill_engines(&self) -> f64 {
        if self.weight > 0.0 { self.busy_prefill / self.weight } else { 0.0 }
    }

    /// Average KV cache memory used by generations, as a multiple of the capacity of one engine.
    pub fn decode_capacity_used(&self) -> f64 {
        if self.weight > 0.0 { self.used_decode / self.weight } else { 0.0 }
    }
}
