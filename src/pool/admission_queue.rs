//! Queues admissions and reserves endpoints for them.

use tokio::sync::oneshot;

use crate::clock::Instant;
use crate::pool::pair_selector::{Choice, PairSelector, SelectionError};
use crate::pool::pool_state::PoolState;
use crate::pool::prefill_queue::PrefillJob;
use crate::pool::queue_kind::QueueKind;
use crate::pool::queue_ticket::QueueTicket;
use crate::pool::queued_admission::QueuedAdmission;
use crate::pool::reservation::Reservation;
use crate::pool::{Admission, AdmitAnswer, Plan, PriorityClass};

impl PoolState {
    /// Interactive admissions in a row while waiting-class ones are queued, so the waiting class
    /// gets one admission in ten.
    const MAX_INTERACTIVE_STREAK: u32 = 9;
    const MAX_QUEUED: usize = 4096;
    /// Maximum number of blocked queue heads to skip in one pass. Bounds the cost of a pass under
    /// overload.
    const MAX_BLOCKED_HEADS: usize = 16;
    /// Queues an admission, or rejects it if its expected wait exceeds `queue_ms`.
    pub fn enqueue(
        &mut self,
        admission: Admission,
        queue_ms: u64,
        answer: oneshot::Sender<AdmitAnswer>,
        now: Instant,
    ) -> Result<QueueTicket, SelectionError> {
        let is_served =
            self.pair_selector(now).map(|pair_selector| pair_selector.check_served(&admission));
        let (Some(model), Some(Ok(()))) = (&self.model, is_served) else {
            return Err(SelectionError::NoEndpoint);
        };
        let tokens = admission.prompt_tokens.get();
        let tokens = self.prompt_ratios.estimate(&admission.organisation, tokens);
        let prefill_ms = PairSelector::prefill_ms(model, tokens);
        let is_long = prefill_ms >= PairSelector::LONG_PREFILL_MS;
        let weight = self.weight(&admission.organisation);
        let queue_kind = QueueKind::of(admission.class, admission.is_suspect);
        let queue = &self.queues[queue_kind as usize];
        let wait_ms = queue.expected_wait_ms(&admission.organisation, weight).unwrap_or(0);
        if wait_ms > queue_ms || queue.len() >= PoolState::MAX_QUEUED {
            return Err(SelectionError::Busy);
        }
        if is_long {
            self.long_prefill_ms += prefill_ms as f64;
        } else {
            self.short_prefill_ms += prefill_ms as f64;
        }
        self.next_queue_id += 1;
        let ticket = QueueTicket {
            queue_kind,
            organisation: admission.organisation.clone(),
            attempt: admission.attempt.clone(),
            id: self.next_queue_id,
            is_long,
        };
        let expires_at = now.plus_ms(queue_ms);
        let id = ticket.id;
        let queued = QueuedAdmission { id, admission, queued_at: now, expires_at, is_long, answer };
        self.queues[ticket.queue_kind as usize].push(queued, weight);
        Ok(ticket)
    }

    /// Removes an admission whose caller has stopped waiting.
    pub fn remove_from_queue(&mut self, ticket: &QueueTicket) {
        let queue = &mut self.queues[ticket.queue_kind as usize];
        queue.take(&ticket.organisation, ticket.id, ticket.is_long);
    }

    /// Admits queued requests until the endpoints have no more capacity.
    pub fn admit_queued(&mut self, now: Instant) {
        while self.admit_next(now) {}
    }

    fn admit_next(&mut self, now: Instant) -> bool {
        self.update_suspect_endpoints(now);
        let is_due = self.interactive_streak >= PoolState::MAX_INTERACTIVE_STREAK;
        let order = if is_due {
            [QueueKind::Suspects, QueueKind::Waiting, QueueKind::Interactive]
        } else {
            [QueueKind::Suspects, QueueKind::Interactive, QueueKind::Waiting]
        };
        for queue_kind in order {
            let (id, result) = match self.next_in_queue(queue_kind, now) {
                // Stop here, so that memory that becomes free goes to a large request that has
                // waited for a long time.
                Some((_, Err(SelectionError::Memory))) => return false,
                Some(next) => next,
                None => continue,
            };
            let queue = &mut self.queues[queue_kind as usize];
            if let Some(queued) = queue.take(&id.organisation, id.id, id.is_long) {
                self.answer(queued, result, now);
            }
            return true;
        }
        false
    }

    /// Returns the next admission to answer. `SelectionError::Memory` means that it has to keep
    /// waiting and that no later admission may overtake it.
    fn next_in_queue(
        &self,
        queue_kind: QueueKind,
        now: Instant,
    ) -> Option<(QueueTicket, Result<Choice, SelectionError>)> {
        let queue = &self.queues[queue_kind as usize];
        let pair_selector =
            self.pair_selector(now).filter(|pair_selector| !pair_selector.is_full())?;
        for (at, queued) in queue.candidates(now).take(PoolState::MAX_BLOCKED_HEADS).enumerate() {
            let deadline = queued.queued_at.plus_ms(queued.admission.remaining_ms);
            let result = match pair_selector.select(&queued.admission, deadline) {
                Err(SelectionError::Memory)
                    if at == 0 && queue_kind != QueueKind::Suspects && queued.is_aged(now) =>
                {
                    Err(SelectionError::Memory)
                }
                Err(SelectionError::Memory | SelectionError::Busy) => continue,
                result => result,
            };
            let ticket = QueueTicket {
                queue_kind,
                organisation: queued.admission.organisation.clone(),
                attempt: queued.admission.attempt.clone(),
                id: queued.id,
                is_long: queued.is_long,
            };
            return Some((ticket, result));
        }
        None
    }

    fn answer(
        &mut self,
        queued: QueuedAdmission,
        result: Result<Choice, SelectionError>,
        now: Instant,
    ) {
        let request = &queued.admission;
        let answer = match result {
            Ok(choice) => match self.reserve(request, &choice, now) {
                Some(plan) => {
                    let wait_s = now.ms_since(queued.queued_at) as f64 / 1000.0;
                    let class = request.class.to_string();
                    metrics::histogram!("pool_queue_wait_seconds", "class" => class).record(wait_s);
                    AdmitAnswer::Plan(plan)
                }
                None => AdmitAnswer::NoEndpoint,
            },
            Err(SelectionError::NoEndpoint) => AdmitAnswer::NoEndpoint,
            Err(_) => self.full(request.class, &request.organisation, now),
        };
        if queued.answer.send(answer).is_err() {
            self.release(&queued.admission.attempt);
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
            PrefillJob {
                ends_at: choice.prefill_ends_at,
                is_long: choice.is_long,
                is_suspect: request.is_suspect,
            },
        );
        prefill.warm_up.record_used_slots(prefill.used_slots(now));
        let decode = self.endpoints.get_mut(&choice.decode)?;
        let decode_address = decode.entry.address.clone();
        decode.link.schedule(attempt, transfer_starts_at, transfer_ms, transfer_bytes_per_s);
        decode.occupancy.add(attempt, choice.pieces, request.is_suspect);
        decode.warm_up.record_used_slots(decode.used_slots(now));
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
            last_reported_at: now,
            output_tokens: Default::default(),
            unmeasured_prompt_tokens: Some(request.prompt_tokens),
            prefix_hashes: request.prefix_hashes.clone(),
            prefill_cost: choice.prefill_ms as f64,
            cost_per_output_token: part * Reservation::MS_PER_OUTPUT_TOKEN,
            charged_tokens: request.max_output_tokens,
        };
        self.record_admitted(&reservation);
        self.reservations.insert(attempt.clone(), reservation);
        Some(Plan {
            prefill: choice.prefill.clone(),
            prefill_address,
            decode: choice.decode.clone(),
            decode_address,
            start_after_ms: choice.start_after_ms,
            // A transfer that takes more than three times its scheduled time counts as stalled.
            transfer_limit_ms: transfer_ms.saturating_mul(3).saturating_add(100),
            fencing: self.fencing,
            free_slots: self.free_slots(now),
        })
    }

    fn record_admitted(&mut self, reservation: &Reservation) {
        let queue = &mut self.queues[reservation.queue_kind() as usize];
        queue.charge(&reservation.organisation, reservation.cost());
        self.interactive_streak = match reservation.class {
            PriorityClass::Interactive if !self.queues[QueueKind::Waiting as usize].is_empty() => {
                self.interactive_streak + 1
            }
            _ => 0,
        };
    }
}
