use crate::clock::Instant;

/// Rate of admissions, measured only while the queue is backlogged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdmissionRate {
    backlogged_since: Option<Instant>,
    admitted: u32,
    per_s: Option<f64>,
}

impl AdmissionRate {
    /// Shorter backlogs are bursts and say nothing about capacity.
    const WINDOW_MS: u64 = 1000;

    pub fn record_admitted(&mut self) {
        self.admitted += 1;
    }

    /// Returns `None` until the queue has been backlogged for a whole window.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s.filter(|rate| *rate > 0.0)
    }

    pub fn observe(&mut self, is_backlogged: bool, now: Instant) {
        if !is_backlogged {
            *self = AdmissionRate::default();
            return;
        }
        let since = *self.backlogged_since.get_or_insert(now);
        let elapsed_ms = now.ms_since(since);
        if since == now {
            self.admitted = 0;
        } else if elapsed_ms >= AdmissionRate::WINDOW_MS {
            let rate = f64::from(self.admitted) * 1000.0 / elapsed_ms as f64;
            self.per_s = Some(self.per_s.map_or(rate, |old| (old + rate) / 2.0));
            (self.admitted, self.backlogged_since) = (0, Some(now));
        }
    }
}
