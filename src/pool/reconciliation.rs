//! Reconciles the pool's reservations with the gateways' reports and the engines' lists of held
//! attempts.

use std::collections::HashSet;

use crate::clock::Instant;
use crate::config::Role;
use crate::engine::{CacheEvents, HeldAttempt};
use crate::pool::endpoint_state::Health;
use crate::pool::pool_state::PoolState;
use crate::pool::reservation::Reservation;
use crate::pool::{AttemptEnd, FinishedAttempt, PriorityClass, Progress};
use crate::suspect::InterruptedRequest;
use crate::units::{AttemptId, EndpointId, OrganisationId, Pieces};

impl PoolState {
    /// A gateway cancels its own attempts when they end. The owner cancels an attempt only after
    /// this time.
    const CANCEL_AFTER_END_MS: u64 = 500;
    const FORGET_AFTER_MS: u64 = 30_000;
    /// Delay allowed for a completed prefill to show up, since gateways report once a second.
    const PREFILL_GRACE_MS: u64 = 1500;
    /// Time after a takeover in which running attempts raise an endpoint's warm-up limit.
    const REBUILD_PERIOD_MS: u64 = 2000;

    /// Ends an attempt. If it is the first to report a crash of an endpoint, returns the requests
    /// that were running there.
    pub fn finish(&mut self, finished: &FinishedAttempt, now: Instant) -> Vec<InterruptedRequest> {
        let attempt = &finished.attempt;
        let ran = match (&finished.endpoint, finished.end) {
            (Some(endpoint), AttemptEnd::EndpointDied) => {
                self.running_on(endpoint, finished.is_unreached.then_some(attempt))
            }
            _ => Vec::new(),
        };
        self.ended.insert(attempt.clone(), now);
        self.orphans.remove(attempt);
        let reservation = self.reservations.get(attempt).cloned();
        if let Some(reservation) = &reservation {
            if finished.output_tokens > reservation.output_tokens {
                self.record_final_output(attempt, reservation, finished, now);
            }
            let unused = reservation.unused_cost(finished.output_tokens);
            self.queues[reservation.queue_kind() as usize]
                .refund(&reservation.organisation, unused);
        }
        self.release(attempt);
        let Some(id) = &finished.endpoint else { return Vec::new() };
        let Some(endpoint) = self.endpoints.get_mut(id) else { return Vec::new() };
        match finished.end {
            AttemptEnd::Failed => endpoint.warm_up.record_failure(),
            AttemptEnd::EndpointDied => {
                let admitted_at = reservation.map_or(now, |r| r.admitted_at);
                if endpoint.record_process_crash(admitted_at, now) {
                    self.prefixes.forget_endpoint(id);
                    return ran;
                }
            }
            AttemptEnd::Completed | AttemptEnd::Cancelled | AttemptEnd::PrefillWasted => {}
        }
        Vec::new()
    }

    /// Returns the requests running on an endpoint, except for an attempt that did not reach it.
    fn running_on(
        &self,
        endpoint: &EndpointId,
        unreached: Option<&AttemptId>,
    ) -> Vec<InterruptedRequest> {
        let is_running =
            |(id, r): &(&AttemptId, &Reservation)| Some(*id) != unreached && r.runs_on(endpoint);
        let running = self.reservations.iter().filter(is_running);
        let ran = |reservation: &Reservation| InterruptedRequest {
            fingerprint: reservation.fingerprint,
            output_tokens: reservation.output_tokens,
            is_suspect: reservation.is_suspect,
            is_proven_safe: reservation.is_proven_safe(),
        };
        running.map(|(_, reservation)| ran(reservation)).collect()
    }

    fn record_final_output(
        &mut self,
        attempt: &AttemptId,
        reservation: &Reservation,
        finished: &FinishedAttempt,
        now: Instant,
    ) {
        let was_seen = reservation.output_tokens.get() > 0;
        if !was_seen {
            self.record_prefilled(attempt, now);
        }
        let tokens = (finished.output_tokens - reservation.output_tokens).get();
        let elapsed_ms =
            if was_seen { now.ms_since(reservation.last_reported_at) } else { finished.decode_ms };
        if let Some(decode) = self.endpoints.get_mut(&reservation.decode) {
            decode.warm_up.record_tokens(tokens, elapsed_ms);
            decode.warm_up.record_success();
        }
    }

    /// Processes a live attempt from its gateway's report.
    pub fn record_progress(&mut self, progress: &Progress, now: Instant) {
        let attempt = &progress.attempt;
        if self.ended.contains_key(attempt) {
            return;
        }
        self.orphans.remove(attempt);
        let Some(reservation) = self.reservations.get_mut(attempt) else {
            return self.rebuild_reservation(progress, now);
        };
        let before = reservation.output_tokens;
        reservation.output_tokens = before.max(progress.output_tokens);
        let elapsed_ms = now.ms_since(reservation.last_reported_at);
        reservation.last_reported_at = now;
        let decode = reservation.decode.clone();
        let is_proven_safe = reservation.is_proven_safe();
        if before.get() == 0 {
            if progress.output_tokens.get() > 0 {
                self.record_prefilled(attempt, now);
            }
        } else if progress.output_tokens >= before
            && let Some(decode) = self.endpoints.get_mut(&decode)
        {
            decode.warm_up.record_tokens((progress.output_tokens - before).get(), elapsed_ms);
        }
        if is_proven_safe && let Some(decode) = self.endpoints.get_mut(&decode) {
            decode.occupancy.mark_proven_safe(attempt);
        }
    }

    /// Handles an attempt's first output, which shows that its prefill is done and its prefixes are
    /// cached.
    fn record_prefilled(&mut self, attempt: &AttemptId, now: Instant) {
        let Some(reservation) = self.reservations.get(attempt) else { return };
        for id in [&reservation.prefill, &reservation.decode] {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.link.remove(attempt);
            }
        }
        if let Some(prefill) = self.endpoints.get_mut(&reservation.prefill)
            && let Some(job) = prefill.prefills.remove(attempt)
        {
            if now <= job.ends_at.plus_ms(PoolState::PREFILL_GRACE_MS) {
                prefill.warm_up.record_success();
            } else {
                prefill.warm_up.record_failure();
            }
        }
        for hash in &reservation.prefix_hashes {
            let (organisation, prefill) = (&reservation.organisation, &reservation.prefill);
            self.prefixes.store(organisation, *hash, prefill, now);
        }
    }

    /// Rebuilds the reservation of an attempt that a previous owner admitted.
    fn rebuild_reservation(&mut self, progress: &Progress, now: Instant) {
        let takeover_ends = self.no_release_before.plus_ms(PoolState::REBUILD_PERIOD_MS);
        if let Some(decode) = self.endpoints.get_mut(&progress.decode) {
            let pieces = progress.pieces.max(Pieces(1));
            decode.occupancy.add(&progress.attempt, pieces, progress.is_suspect);
            if progress.output_tokens >= progress.proof_tokens {
                decode.occupancy.mark_proven_safe(&progress.attempt);
            }
            if now < takeover_ends && decode.health != Health::Down {
                decode.warm_up.raise_limit_to(decode.occupancy.used_slots());
            }
        }
        if now < takeover_ends
            && progress.output_tokens.get() > 0
            && let Some(prefill) = self.endpoints.get_mut(&progress.prefill)
        {
            prefill.record_inherited_prefill();
        }
        let reservation = Reservation {
            organisation: progress.organisation.clone(),
            fingerprint: progress.fingerprint,
            is_suspect: progress.is_suspect,
            proof_tokens: progress.proof_tokens,
            class: PriorityClass::default(),
            prefill: progress.prefill.clone(),
            decode: progress.decode.clone(),
            admitted_at: now,
            last_reported_at: now,
            output_tokens: progress.output_tokens,
            unmeasured_prompt_tokens: None,
            prefix_hashes: Vec::new(),
            prefill_cost: 0.0,
            cost_per_output_token: 0.0,
            charged_tokens: Default::default(),
        };
        self.reservations.insert(progress.attempt.clone(), reservation);
    }

    /// Removes the reservations of attempts that are missing from the reports, and returns the
    /// attempts to cancel. Their memory stays reserved until the engine has confirmed the
    /// cancellation.
    pub fn take_unreported(&mut self, now: Instant) -> Vec<(EndpointId, AttemptId)> {
        if now < self.no_release_before {
            return Vec::new();
        }
        let is_unreported =
            |r: &Reservation| now.ms_since(r.last_reported_at) >= PoolState::REPORT_TIMEOUT_MS;
        let unreported = self.reservations.extract_if(|_, reservation| is_unreported(reservation));
        let unreported: Vec<(AttemptId, Reservation)> = unreported.collect();
        let mut cancels = Vec::new();
        for (attempt, reservation) in unreported {
            log::info!(target: "pool", "cancelling attempt {attempt}: missing from reports");
            metrics::counter!("pool_silent_attempts").increment(1);
            self.orphans.insert(attempt.clone(), reservation.last_reported_at);
            for id in [&reservation.prefill, &reservation.decode] {
                let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
                endpoint.prefills.remove(&attempt);
                endpoint.link.remove(&attempt);
                if endpoint.health == Health::Down {
                    endpoint.occupancy.remove(&attempt);
                } else {
                    cancels.push((id.clone(), attempt.clone()));
                }
            }
        }
        cancels
    }

    /// Compares the list of attempts that an endpoint holds, requested at `sent_at`, with the
    /// reservations. Returns the attempts to cancel there.
    pub fn reconcile(
        &mut self,
        id: &EndpointId,
        held: &[HeldAttempt],
        sent_at: Instant,
        now: Instant,
    ) -> Vec<AttemptId> {
        self.measure_prompts(id, held);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return Vec::new() };
        endpoint.empty_at = held.is_empty().then_some(sent_at);
        let mut cancels = Vec::new();
        for HeldAttempt { attempt, pieces } in held {
            if self.reservations.contains_key(attempt) {
                continue;
            }
            let is_over = match self.ended.get(attempt) {
                Some(ended_at) if now.ms_since(*ended_at) < PoolState::CANCEL_AFTER_END_MS => {
                    continue;
                }
                Some(_) => true,
                None => {
                    let since = *self.orphans.entry(attempt.clone()).or_insert(now);
                    let is_unreported = now.ms_since(since) >= PoolState::REPORT_TIMEOUT_MS;
                    is_unreported && now >= self.no_release_before
                }
            };
            if endpoint.entry.role == Role::Decode && !endpoint.occupancy.contains(attempt) {
                endpoint.occupancy.add(attempt, *pieces, false);
            }
            if is_over {
                cancels.push(attempt.clone());
            }
        }
        let held: HashSet<&AttemptId> = held.iter().map(|held| &held.attempt).collect();
        let is_gone = |attempt: &&AttemptId| {
            !held.contains(attempt)
                && !self.reservations.contains_key(attempt)
                && self.orphans.get(attempt).is_none_or(|since| *since < sent_at)
        };
        let gone: Vec<AttemptId> = endpoint.occupancy.attempts().filter(is_gone).cloned().collect();
        for attempt in &gone {
            endpoint.occupancy.remove(attempt);
        }
        cancels
    }

    /// Estimates prompt lengths from the memory that attempts hold. The estimate is an upper bound,
    /// because an engine may already hold memory for the whole response.
    fn measure_prompts(&mut self, decode: &EndpointId, held: &[HeldAttempt]) {
        let Some(model) = &self.model else { return };
        for HeldAttempt { attempt, pieces } in held {
            let Some(reservation) = self.reservations.get_mut(attempt) else { continue };
            if reservation.decode != *decode || reservation.prefill == *decode {
                continue;
            }
            let Some(bound) = reservation.unmeasured_prompt_tokens.take() else { continue };
            let held_tokens = pieces.get().saturating_mul(model.tokens_per_piece.get());
            let tokens = held_tokens.saturating_sub(reservation.output_tokens.get());
            self.prompt_ratios.observe(&reservation.organisation, bound.get(), tokens);
        }
    }

    /// Whether the attempt should still be cancelled. A report may have contained it in the
    /// meantime.
    pub fn may_cancel(&self, attempt: &AttemptId) -> bool {
        !self.reservations.contains_key(attempt)
    }

    pub fn record_cancelled(&mut self, id: &EndpointId, attempt: &AttemptId) {
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && !self.reservations.contains_key(attempt)
        {
            endpoint.occupancy.remove(attempt);
        }
    }

    pub fn record_probe_failure(&mut self, id: &EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if endpoint.record_probe_failure() {
            // A process that has exited holds nothing. If it was only unreachable, its next list
            // restores these attempts.
            let unreserved = |attempt: &&AttemptId| !self.reservations.contains_key(attempt);
            let gone: Vec<AttemptId> =
                endpoint.occupancy.attempts().filter(unreserved).cloned().collect();
            gone.iter().for_each(|attempt| endpoint.occupancy.remove(attempt));
        }
    }

    pub fn apply_cache_events(&mut self, id: &EndpointId, events: &CacheEvents, now: Instant) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if events.last_sequence < endpoint.cache_sequence {
            // The sequence number went back, so the process has restarted with an empty cache.
            self.prefixes.forget_endpoint(id);
        }
        endpoint.cache_sequence = events.last_sequence;
        for event in &events.events {
            let organisation = OrganisationId::new(event.scope.clone());
            if event.stored {
                self.prefixes.store(&organisation, event.prefix_hash, id, now);
            } else {
                self.prefixes.remove(&organisation, event.prefix_hash, id);
            }
        }
    }

    pub(super) fn remove_old_entries(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.ms_since(*at) < PoolState::FORGET_AFTER_MS;
        self.ended.retain(|_, ended_at| is_recent(ended_at));
        let endpoints = &self.endpoints;
        self.orphans.retain(|attempt, since| {
            is_recent(since) || endpoints.values().any(|e| e.occupancy.contains(attempt))
        });
    }
}
