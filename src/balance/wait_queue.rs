use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::admission::{FairShare, Rank, ShareTag};
use crate::clock::Instant;
use crate::units::OrganisationId;

/// Longest period over which placements are counted to estimate the drain rate.
const RATE_WINDOW_MS: u64 = 2_000;
/// Time for which the queue must have been non-empty before the drain rate is estimated.
const MIN_OBSERVED_MS: u64 = 500;

/// Priority queue of requests that wait for an endpoint. Requests that can still meet their
/// deadline come first, the more urgent ranks before the others. Within a rank, organisations that
/// stay within their share come first, ordered by deadline plus a penalty for their size. Late
/// requests follow by rank, oldest first: they must not delay a request that can be in time.
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
    shares: FairShare,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    rank: Rank,
    memory_tokens: u64,
    due_at: Instant,
    size_penalty_ms: u64,
    /// `None` if the request belongs to no organisation.
    share: Option<ShareTag>,
}

/// A request that waits for an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitingRequest<'a> {
    pub rank: Rank,
    /// The organisation whose share the request uses, and the rate by which shares are weighted.
    pub organisation: Option<(&'a OrganisationId, Option<u64>)>,
    /// Memory that the request needs.
    pub memory_tokens: u64,
    /// Latest time at which the request can be placed to meet its deadline.
    pub due_at: Instant,
    /// Added to `due_at` in the order, so that large requests rank lower.
    pub size_penalty_ms: u64,
}

/// A request's entry in the queue, removed on drop.
#[derive(Debug)]
pub struct Ticket {
    queue: WaitQueue,
    number: u64,
}

impl WaitQueue {
    pub fn enqueue(&self, request: &WaitingRequest<'_>, now: Instant) -> Ticket {
        let mut state = self.state.borrow_mut();
        let share = request.organisation.map(|(organisation, tokens_per_s)| {
            state.shares.add(organisation, request.memory_tokens, tokens_per_s)
        });
        let entry = Entry {
            rank: request.rank,
            memory_tokens: request.memory_tokens,
            due_at: request.due_at,
            size_penalty_ms: request.size_penalty_ms,
            share,
        };
        state.non_empty_since.get_or_insert(now);
        let number = state.next_number;
        state.next_number += 1;
        state.waiting.insert(number, entry);
        Ticket { queue: self.clone(), number }
    }

    pub fn len(&self) -> usize {
        self.state.borrow().waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that the queued requests of a rank need.
    pub fn waiting_tokens(&self, rank: Rank) -> u64 {
        let state = self.state.borrow();
        let waiting = state.waiting.values().filter(|entry| entry.rank == rank);
        waiting.map(|entry| entry.memory_tokens).sum()
    }

    /// Records the placement of a request of this service.
    pub fn record_placement(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.placements.push_back(now);
        while state.placements.front().is_some_and(|at| now.ms_since(*at) > RATE_WINDOW_MS) {
            state.placements.pop_front();
        }
    }

    /// Estimated time until all queued requests of the rank and of more urgent ones are placed; 0
    /// while the drain rate is unknown.
    /// The rate is measured only while requests wait: otherwise it would reflect the arrival rate
    /// and not the capacity.
    pub fn expected_wait_ms(&self, rank: Rank, now: Instant) -> u64 {
        let state = self.state.borrow();
        let Some(since) = state.non_empty_since else { return 0 };
        let observed_ms = now.ms_since(since).min(RATE_WINDOW_MS);
        if observed_ms < MIN_OBSERVED_MS {
            return 0;
        }
        let placements = state.placements.iter().filter(|at| now.ms_since(**at) <= observed_ms);
        let ahead = state.waiting.values().filter(|entry| entry.rank <= rank).count();
        ahead as u64 * observed_ms / placements.count().max(1) as u64
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
        let mut least_shares: BTreeMap<Rank, ShareTag> = BTreeMap::new();
        for entry in state.waiting.values().filter(|entry| entry.due_at >= now) {
            if let Some(share) = entry.share {
                let least = least_shares.entry(entry.rank).or_insert(share);
                if share < *least {
                    *least = share;
                }
            }
        }
        let first = state.waiting.iter().min_by_key(|(number, entry)| {
            let is_late = entry.due_at < now;
            let order_at = entry.due_at.plus_ms(entry.size_penalty_ms);
            let is_ahead = entry
                .share
                .zip(least_shares.get(&entry.rank))
                .is_some_and(|(share, least)| share.is_ahead(*least));
            let order_at = if is_late { Instant::default() } else { order_at };
            (is_late, entry.rank, is_ahead, order_at, **number)
        });
        first.is_some_and(|(number, _)| *number == self.number)
    }

    /// Records that the request has been placed.
    pub fn record_placement(&self, now: Instant) {
        self.queue.record_placement(now);
        let mut state = self.queue.state.borrow_mut();
        if let Some(share) = state.waiting.get(&self.number).and_then(|entry| entry.share) {
            state.shares.record_placement(share);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.queue.state.borrow_mut();
        state.waiting.remove(&self.number);
        if state.waiting.is_empty() {
            state.non_empty_since = None;
            state.shares.clear();
        }
        drop(state);
        self.queue.dequeued.notify_waiters();
    }
}
