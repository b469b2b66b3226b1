use std::collections::VecDeque;

use crate::clock::Instant;
use crate::pool::waiter::Waiter;

/// An organisation's waiting admissions in one class.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    /// Service received divided by weight.
    pub pass: f64,
    pub weight: f64,
    short: VecDeque<Waiter>,
    long: VecDeque<Waiter>,
}

impl Flow {
    pub fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn push(&mut self, waiter: Waiter) {
        self.lane(waiter.is_long).push_back(waiter);
    }

    /// Heads of the lanes. The short one is first unless the long one is aged.
    pub fn heads(&self, now: Instant) -> impl Iterator<Item = &Waiter> {
        let (short, long) = (self.short.front(), self.long.front());
        let older = |l: &Waiter| short.is_none_or(|s| l.queued_at < s.queued_at);
        let long_first = long.is_some_and(|l| l.is_aged(now) && older(l));
        let heads = if long_first { [long, short] } else { [short, long] };
        heads.into_iter().flatten()
    }

    pub fn remove(&mut self, id: u64, is_long: bool) -> Option<Waiter> {
        let lane = self.lane(is_long);
        let at = lane.iter().position(|waiter| waiter.id == id)?;
        lane.remove(at)
    }

    pub fn drain(&mut self) -> impl Iterator<Item = Waiter> {
        self.short.drain(..).chain(self.long.drain(..))
    }

    pub fn expired(&self, now: Instant) -> Vec<(u64, bool)> {
        let waiters = self.short.iter().chain(&self.long);
        waiters.filter(|w| w.expires_at <= now).map(|w| (w.id, w.is_long)).collect()
    }

    fn lane(&mut self, is_long: bool) -> &mut VecDeque<Waiter> {
        if is_long { &mut self.long } else { &mut self.short }
    }
}
