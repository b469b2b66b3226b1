use std::collections::VecDeque;

use crate::clock::Instant;
use crate::fleet::Rumour;

/// Largest number of rumours in one datagram.
const MAX_PER_DATAGRAM: usize = 8;
/// Sends of a rumour by one instance, for each doubling of the fleet. The probability that a rumour
/// misses an instance falls with the number of sends.
const SENDS_PER_DOUBLING: u32 = 3;

/// Time for which a rumour is passed on. By then it has reached everyone that can be reached, and
/// much may have changed for the others.
const RUMOUR_TTL_MS: u64 = 2_000;

/// Rumours to pass on, each a limited number of times. The least sent ones come first.
#[derive(Debug, Default)]
pub(super) struct RumourQueue {
    pending: VecDeque<Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    rumour: Rumour,
    remaining_sends: u32,
    expires_at: Instant,
}

impl RumourQueue {
    /// Adds a rumour in place of an earlier one about the same instance.
    pub(super) fn add(&mut self, rumour: Rumour, fleet: usize, now: Instant) {
        self.pending.retain(|known| known.rumour.subject != rumour.subject);
        let doublings = usize::BITS - fleet.leading_zeros();
        self.pending.push_front(Pending {
            rumour,
            remaining_sends: SENDS_PER_DOUBLING * doublings,
            expires_at: now.plus_ms(RUMOUR_TTL_MS),
        });
    }

    /// Returns the rumours for one datagram and counts them as sent.
    pub(super) fn take(&mut self, now: Instant) -> Vec<Rumour> {
        self.pending.retain(|known| now < known.expires_at);
        let count = self.pending.len().min(MAX_PER_DATAGRAM);
        let sent: Vec<Pending> = self.pending.drain(..count).collect();
        let remaining = sent.iter().filter(|known| known.remaining_sends > 1);
        self.pending.extend(
            remaining.map(|known| Pending { remaining_sends: known.remaining_sends - 1, ..*known }),
        );
        sent.into_iter().map(|known| known.rumour).collect()
    }
}
