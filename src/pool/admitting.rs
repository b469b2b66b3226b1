//! Queues admissions and reserves endpoints for them.

use tokio::sync::oneshot;

use crate::clock::Instant;
use crate::pool::lane::Lane;
use crate::pool::pool_state::PoolState;
use crate::pool::prefill_queue::Job;
use crate::pool::reservation::Reservation;
use crate::pool::selection::{Blocked, Choice, Selection};
use crate::pool::ticket::Ticket;
use crate::pool::waiter::Waiter;
use crate::pool::{Admission, AdmitAnswer, Plan, PriorityClass};

impl PoolState {
    /// The waiting class gets one admission in ten.
    const MAX_INTERACTIVE_STREAK: u32 = 9;
    const MAX_QUEUED: usize = 4096;
    /// Blocked heads that are passed over in one pass; bounds the cost of a pass under overload.
    const MAX_TRIED: usize = 16;
    /// Puts an admission into the queue, or refuses it if its wait cannot be met.
    pub fn enqueue(
        &mut self,
        admission: Admission,
        queue_ms: u64,
        answer: oneshot::Sender<AdmitAnswer>,
        now: Instant,
    ) -> Result<Ticket, Blocked> {
        let is_served = self.selection(now).map(|selection| selection.check(&admission));
        let (Some(model), Some(Ok(()))) = (&self.model, is_served) else {
            return Err(Blocked::NoEndpoint);
        };
        let tokens = admission.prompt_tokens.get();
        let tokens = self.prompt_ratios.estimate(&admission.organisation, tokens);
        let prefill_ms = Selection::prefill_ms(model, tokens);
        let is_long = prefill_ms >= Selection::LONG_PREFILL_MS;
        let weight = self.weight(&admission.organisation);
        let lane = Lane::of(admission.class, admission.is_suspect);
        let queue = &self.queues[lane as usize];
        let wait_ms = queue.expected_wait_ms(&admission.organisation, weight).unwrap_or(0);
        if wait_ms > queue_ms || queue.len() >= PoolState::MAX_QUEUED {
            return Err(Blocked::Busy);
        }
        if is_long {
            self.long_prefill_ms += prefill_ms as f64;
        } else {
            self.short_prefill_ms += prefill_ms as f64;
        }
        self.next_waiter += 1;
        let ticket = Ticket {
            lane,
            organisation: admission.organisation.clone(),
            attempt: admission.attempt.clone(),
            id: self.next_waiter,
            is_long,
        };
        let expires_at = now.plus_ms(queue_ms);
        let id = ticket.id;
        let waiter = Waiter { id, admission, queued_at: now, expires_at, is_long, answer };
        self.queues[ticket.lane as usize].push(waiter, weight);
        Ok(ticket)
    }

    /// Removes an admission whose caller no longer waits.
    pub fn abandon(&mut self, ticket: &Ticket) {
        let queue = &mut self.queues[ticket.lane as usize];
        queue.take(&ticket.organisation, ticket.id, ticket.is_long);
    }

    /// Admits as many as the endpoints can take.
    pub fn pump(&mut self, now: Instant) {
        while self.serve_one(now) {}
    }

    fn serve_one(&mut self, now: Instant) -> bool {
        self.update_kept(now);
        let is_due = self.interactive_streak >= PoolState::MAX_INTERACTIVE_STREAK;
        let order = if is_due {
            [Lane::Suspects, Lane::Waiting, Lane::Interactive]
        } else {
            [Lane::Suspects, Lane::Interactive, Lane::Waiting]
        };
        for lane in order {
            let (id, result) = match self.next_of(lane, now) {
                // A large request that has waited long gets the memory that becomes free.
                Some((_, Err(Blocked::Memory))) => return false,
                Some(next) => next,
                None => continue,
            };
            let queue = &mut self.queues[lane as usize];
            if let Some(waiter) = queue.take(&id.organisation, id.id, id.is_long) {
                self.answer(waiter, result, now);
            }
            return true;
        }
        false
    }

    /// The next admission to answer. With `Blocked::Memory` it is to wait, and others with it.
    fn next_of(&self, lane: Lane, now: Instant) -> Option<(Ticket, Result<Choice, Blocked>)> {
        let queue = &self.queues[lane as usize];
        let selection = self.selection(now).filter(|selection| !selection.is_full())?;
        for (at, waiter) in queue.candidates(now).take(PoolState::MAX_TRIED).enumerate() {
            let deadline = waiter.queued_at.plus_ms(waiter.admission.remaining_ms);
            let result = match selection.select(&waiter.admission, deadline) {
                Err(Blocked::Memory)
                    if at == 0 && lane != Lane::Suspects && waiter.is_aged(now) =>
                {
                    Err(Blocked::Memory)
                }
                Err(Blocked::Memory | Blocked::Busy) => continue,
                result => result,
            };
            let ticket = Ticket {
                lane,
                organisation: waiter.admission.organisation.clone(),
                attempt: waiter.admission.attempt.clone(),
                id: waiter.id,
                is_long: waiter.is_long,
            };
            return Some((ticket, result));
        }
        None
    }

    fn answer(&mut self, waiter: Waiter, result: Result<Choice, Blocked>, now: Instant) {
        let request = &waiter.admission;
        let answer = match result {
            Ok(choice) => match self.reserve(request, &choice, now) {
                Some(plan) => {
                    let wait_s = now.ms_since(waiter.queued_at) as f64 / 1000.0;
                    let class = request.class.to_string();
                    metrics::histogram!("pool_queue_wait_seconds", "class" => class).record(wait_s);
                    AdmitAnswer::Plan(plan)
                }
                None => AdmitAnswer::NoEndpoint,
            },
            Err(Blocked::NoEndpoint) => AdmitAnswer::NoEndpoint,
            Err(_) => self.full(request.class, &request.organisation, now),
        };
        if waiter.answer.send(answer).is_err() {
            self.release(&waiter.admission.attempt);
        }
    }

    fn reserve(&mut self, request: &Admission, choice: &Choice, now: Instant) -> Option<Plan> {
        let attempt = &request.attempt;
        self.release(attempt);
        self.ended.remove(attempt);
        self.orphans.remove(attempt);
        let Choice { transfer_starts_at, transfer_ms, transfer_bytes_per_s, .. } = *choice;
        let prefill = self.endpoints.get_mut(&choice.prefill)?;
        let prefill_address = prefill.entry.address.clone();
        prefill.link.schedule(attempt, transfer_starts_at, transfer_ms, transfer_bytes_per_s);
        prefill.prefills.add(
            attempt,
            Job {
                ends_at: choice.prefill_ends_at,
                is_long: choice.is_long,
                is_suspect: request.is_suspect,
            },
        );
        prefill.warm_up.note_used(prefill.used_slots(now));
        let decode = self.endpoints.get_mut(&choice.decode)?;
        let decode_address = decode.entry.address.clone();
        decode.link.schedule(attempt, transfer_starts_at, transfer_ms, transfer_bytes_per_s);
        decode.occupancy.add(attempt, choice.pieces, request.is_suspect);
        decode.warm_up.note_used(decode.used_slots(now));
        let memory = choice.pieces.get() as f64 / decode.entry.pieces.get().max(1) as f64;
        let part = memory.max(1.0 / f64::from(decode.entry.slots.max(1)));
        let reservation = Reservation {
            organisation: request.organisation.clone(),
            fingerprint: request.fingerprint,
            is_suspect: request.is_suspect,
            proof_tokens: request.proof_tokens,
            class: request.class,
            prefill: choice.prefill.clone(),
            decode: choice.decode.clone(),
            admitted_at: now,
            named_at: now,
            output_tokens: Default::default(),
            unmeasured_prompt: Some(request.prompt_tokens),
            prefix_hashes: request.prefix_hashes.clone(),
            prefill_cost: choice.prefill_ms as f64,
            cost_per_output_token: part * Reservation::MS_PER_OUTPUT_TOKEN,
            charged_tokens: request.max_output_tokens,
        };
        self.note_admitted(&reservation);
        self.reservations.insert(attempt.clone(), reservation);
        Some(Plan {
            prefill: choice.prefill.clone(),
            prefill_address,
            decode: choice.decode.clone(),
            decode_address,
            start_after_ms: choice.start_after_ms,
            // Three times the scheduled time: what takes longer than that has stalled.
            transfer_limit_ms: transfer_ms.saturating_mul(3).saturating_add(100),
            fencing: self.fencing,
            free_slots: self.free_slots(now),
        })
    }

    fn note_admitted(&mut self, reservation: &Reservation) {
        let queue = &mut self.queues[reservation.lane() as usize];
        queue.charge(&reservation.organisation, reservation.cost());
        self.interactive_streak = match reservation.class {
            PriorityClass::Interactive if !self.queues[Lane::Waiting as usize].is_empty() => {
                self.interactive_streak + 1
            }
            _ => 0,
        };
    }
}
