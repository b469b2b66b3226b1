use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::clock::Instant;

/// Longest span over which placements are counted to tell how fast the line moves.
const PLACED_WINDOW_MS: u64 = 2_000;
/// Time for which somebody must have waited before the pace of the line is known.
const MIN_OBSERVED_MS: u64 = 500;

/// Requests that wait for an endpoint, in the order in which they are placed: those that can
/// still be on time first, by the moment they are due, larger ones behind smaller ones; then the
/// late ones, oldest first.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    state: Rc<RefCell<State>>,
    dequeued: Rc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    next_number: u64,
    waiting: BTreeMap<u64, Waiting>,
    /// Recent placements, oldest first.
    placed: VecDeque<Instant>,
    /// Since when somebody has waited at any moment.
    waiting_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    due_at: Instant,
    handicap_ms: u64,
}

/// A request's place in the line, given up when it is dropped.
#[derive(Debug)]
pub struct Ticket {
    line: WaitQueue,
    number: u64,
}

impl WaitQueue {
    /// Joins the line. `due_at` is the last moment at which placing the request makes it be on
    /// time; `handicap_ms` puts a request that takes more than others behind them.
    pub fn enqueue(&self, due_at: Instant, handicap_ms: u64, now: Instant) -> Ticket {
        let mut state = self.state.borrow_mut();
        state.waiting_since.get_or_insert(now);
        let number = state.next_number;
        state.next_number += 1;
        state.waiting.insert(number, Waiting { due_at, handicap_ms });
        Ticket { line: self.clone(), number }
    }

    pub fn len(&self) -> usize {
        self.state.borrow().waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Notes that a request of this service was placed.
    pub fn record_placement(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.placed.push_back(now);
        while state.placed.front().is_some_and(|at| now.ms_since(*at) > PLACED_WINDOW_MS) {
            state.placed.pop_front();
        }
    }

    /// Time until all that wait now are placed, at the present pace. Only the time in which
    /// somebody waited tells the pace: with few requests few are placed, however much room there
    /// is. 0 while it is not known.
    pub fn expected_wait_ms(&self, now: Instant) -> u64 {
        let state = self.state.borrow();
        let Some(since) = state.waiting_since else { return 0 };
        let observed_ms = now.ms_since(since).min(PLACED_WINDOW_MS);
        if observed_ms < MIN_OBSERVED_MS {
            return 0;
        }
        let placed = state.placed.iter().filter(|at| now.ms_since(**at) <= observed_ms);
        state.waiting.len() as u64 * observed_ms / placed.count().max(1) as u64
    }

    /// Waits until somebody has left the line.
    pub async fn dequeued(&self) {
        self.dequeued.notified().await;
    }
}

impl Ticket {
    /// Whether the request is the next one to be placed.
    pub fn is_next(&self, now: Instant) -> bool {
        let state = self.line.state.borrow();
        let first = state.waiting.iter().min_by_key(|(number, waiting)| {
            let is_late = waiting.due_at < now;
            let rank = waiting.due_at.plus_ms(waiting.handicap_ms);
            (is_late, if is_late { Instant::default() } else { rank }, **number)
        });
        first.is_some_and(|(number, _)| *number == self.number)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.line.state.borrow_mut();
        state.waiting.remove(&self.number);
        if state.waiting.is_empty() {
            state.waiting_since = None;
        }
        drop(state);
        self.line.dequeued.notify_waiters();
    }
}
