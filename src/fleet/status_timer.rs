use crate::clock::Instant;

/// Divisor of the interval while a shared limit is nearly exhausted.
const URGENT_INTERVAL_DIVISOR: u64 = 4;

/// Decides when an instance sends its next status to all peers. Urgency counts from the last status,
/// so that it also shortens an interval that has begun before.
#[derive(Clone, Copy, Debug)]
pub struct StatusTimer {
    sent_at: Instant,
}

impl StatusTimer {
    pub fn new(started_at: Instant) -> StatusTimer {
        StatusTimer { sent_at: started_at }
    }

    /// Returns whether a status is due, which is then taken as sent.
    pub fn take_due(&mut self, interval_ms: u64, is_urgent: bool, now: Instant) -> bool {
        let is_due = self.remaining_ms(interval_ms, is_urgent, now) == 0;
        if is_due {
            self.sent_at = now;
        }
        is_due
    }

    /// Time until a status is due if nothing changes.
    pub fn remaining_ms(&self, interval_ms: u64, is_urgent: bool, now: Instant) -> u64 {
        let pause_ms = if is_urgent { interval_ms / URGENT_INTERVAL_DIVISOR } else { interval_ms };
        pause_ms.saturating_sub(now.ms_since(self.sent_at))
    }
}
