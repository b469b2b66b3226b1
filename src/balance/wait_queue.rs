use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::clock::Instant;

/// Longest period over which placements are counted to estimate the drain rate.
const RATE_WINDOW_MS: u64 = 2_000;
/// Time for which the queue must have been non-empty before the drain rate is estimated.
const MIN_OBSERVED_MS: u64 = 500;

/// Priority queue of requests that wait for an endpoint. Requests that can still meet their
/// deadline come first, ordered by deadline plus a penalty for their size; late requests follow,
/// oldest first.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    state: Rc<RefCell<State>>,
    dequeued: Rc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    next_number: u64,
    waiting: BTreeMap<u64, Entry>,
    /// Recent placements, oldest first.
    placements: VecDeque<Instant>,
    /// Time since which the queue has been continuously non-empty.
    non_empty_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    due_at: Instant,
    size_penalty_ms: u64,
}

/// A request's entry in the queue, removed on drop.
#[derive(Debug)]
pub struct Ticket {
    queue: WaitQueue,
    number: u64,
}

impl WaitQueue {
    /// Adds a request. `due_at` is the latest time at which it can be placed to meet its deadline;
    /// `size_penalty_ms` is added to `due_at` in the order, so that large requests rank lower.
    pub fn enqueue(&self, due_at: Instant, size_penalty_ms: u64, now: Instant) -> Ticket {
        let mut state = self.state.borrow_mut();
        state.non_empty_since.get_or_insert(now);
        let number = state.next_number;
        state.next_number += 1;
        state.waiting.insert(number, Entry { due_at, size_penalty_ms });
        Ticket { queue: self.clone(), number }
    }

    pub fn len(&self) -> usize {
        self.state.borrow().waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records the placement of a request of this service.
    pub fn record_placement(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.placements.push_back(now);
        while state.placements.front().is_some_and(|at| now.ms_since(*at) > RATE_WINDOW_MS) {
            state.placements.pop_front();
        }
    }

    /// Estimated time until all queued requests are placed; 0 while the drain rate is unknown.
    /// The rate is measured only while requests wait: otherwise it would reflect the arrival rate
    /// and not the capacity.
    pub fn expected_wait_ms(&self, now: Instant) -> u64 {
        let state = self.state.borrow();
        let Some(since) = state.non_empty_since else { return 0 };
        let observed_ms = now.ms_since(since).min(RATE_WINDOW_MS);
        if observed_ms < MIN_OBSERVED_MS {
            return 0;
        }
        let placements = state.placements.iter().filter(|at| now.ms_since(**at) <= observed_ms);
        state.waiting.len() as u64 * observed_ms / placements.count().max(1) as u64
    }

    /// Waits until a request leaves the queue.
    pub async fn dequeued(&self) {
        self.dequeued.notified().await;
    }
}

impl Ticket {
    /// Whether the request is the next to be placed.
    pub fn is_next(&self, now: Instant) -> bool {
        let state = self.queue.state.borrow();
        let first = state.waiting.iter().min_by_key(|(number, entry)| {
            let is_late = entry.due_at < now;
            let order_at = entry.due_at.plus_ms(entry.size_penalty_ms);
            (is_late, if is_late { Instant::default() } else { order_at }, **number)
        });
        first.is_some_and(|(number, _)| *number == self.number)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.queue.state.borrow_mut();
        state.waiting.remove(&self.number);
        if state.waiting.is_empty() {
            state.non_empty_since = None;
        }
        drop(state);
        self.queue.dequeued.notify_waiters();
    }
}
