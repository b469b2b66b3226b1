use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Instant;
use crate::config::{Model, Role};
use crate::pool::Admission;
use crate::pool::endpoint_state::EndpointState;
use crate::pool::link::Link;
use crate::pool::prefix_index::PrefixIndex;
use crate::pool::prompt_ratios::PromptRatios;
use crate::units::{EndpointId, Pieces, ZoneId};

/// Selects the prefill and decode endpoints for a request.
pub(crate) struct PairSelector<'a> {
    pub model: &'a Model,
    pub endpoints: &'a BTreeMap<EndpointId, EndpointState>,
    pub prefixes: &'a PrefixIndex,
    pub prompt_ratios: &'a PromptRatios,
    /// Share of short prompts in the recent prefill work.
    pub short_share: f64,
    /// Whether the gateways have had time to report the attempts that a previous owner admitted.
    pub is_ledger_complete: bool,
    /// Endpoints that are reserved for suspects.
    pub suspect_only: &'a BTreeSet<EndpointId>,
    pub now: Instant,
}

/// The selected endpoints and their schedule.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub prefill: EndpointId,
    pub decode: EndpointId,
    pub pieces: Pieces,
    pub prefill_ms: u64,
    pub prefill_ends_at: Instant,
    pub is_long: bool,
    pub start_after_ms: u64,
    pub transfer_starts_at: Instant,
    pub transfer_ms: u64,
    pub transfer_bytes_per_s: u64,
    /// Estimated time to first token, plus a penalty for crossing zones.
    estimated_ms: u64,
    /// Queued work ahead of the request on the prefill endpoint.
    queued_ms: u64,
}

/// Reason why no pair of endpoints was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectionError {
    /// A slot is free, but there is not enough free memory.
    Memory,
    /// No suitable endpoint has a free slot, or the prefill queues are too long.
    Busy,
    /// The caller's deadline cannot be met.
    TooLate,
    /// No endpoint can serve the request, regardless of load.
    NoEndpoint,
}

impl PairSelector<'_> {
    /// A prompt with a longer prefill would use up most of the 340 ms time-to-first-token target of
    /// a short prompt queued behind it.
    pub const LONG_PREFILL_MS: u64 = 200;
    /// Work beyond this stays in the fair queue, where it can still be reordered.
    const MAX_BACKLOG_MS: u64 = 300;
    /// Prefill results expire in under 1 s, so a result may wait only this long for the link.
    const MAX_RESULT_WAIT_MS: u64 = 200;
    const CROSS_ZONE_MS: u64 = 10;
    /// A decode endpoint in another zone is rated as if this much more of its capacity were used.
    const CROSS_ZONE_UTILISATION: f64 = 0.1;

    pub fn select(&self, request: &Admission, deadline: Instant) -> Result<Choice, SelectionError> {
        let pieces = self.pieces(request);
        self.check_endpoints(request, pieces)?;
        let decode = self.select_decode(request, pieces)?;
        let candidates = self.available_endpoints(request, Role::Prefill);
        let choices =
            candidates.filter_map(|(id, e)| self.schedule_pair(request, (id, e), decode, pieces));
        let choice = choices
            .min_by_key(|choice| (choice.estimated_ms, choice.queued_ms))
            .ok_or(SelectionError::Busy)?;
        if choice.transfer_starts_at.plus_ms(choice.transfer_ms) > deadline {
            return Err(SelectionError::TooLate);
        }
        Ok(choice)
    }

    /// Whether no accepting decode endpoint has a free slot. Skips the search for each queued
    /// request under overload. If no decode endpoint accepts work, returns false, so that the
    /// search determines the reason.
    pub fn is_full(&self) -> bool {
        let open = self.endpoints.values().filter(|e| e.accepts_work_as(Role::Decode));
        let mut open = open.peekable();
        open.peek().is_some() && open.all(|e| e.free_slots(self.now) == 0)
    }

    /// Returns the time to compute `tokens` on a warm engine.
    pub fn prefill_ms(model: &Model, tokens: u64) -> u64 {
        tokens.saturating_mul(model.prefill_us_per_token).div_ceil(1000)
    }

    fn pieces(&self, request: &Admission) -> Pieces {
        let tokens = (request.prompt_tokens + request.max_output_tokens).get();
        Pieces(tokens.div_ceil(self.model.tokens_per_piece.get().max(1)).max(1))
    }

    /// Checks whether the pool could serve the request at all, regardless of its current load.
    pub fn check_endpoints(
        &self,
        request: &Admission,
        pieces: Pieces,
    ) -> Result<(), SelectionError> {
        let has = |role: Role, least: Pieces| {
            self.endpoints.iter().any(|(id, e)| {
                e.entry.role == role
                    && e.may_accept_work()
                    && e.entry.pieces >= least
                    && !request.avoid.contains(id)
            })
        };
        let is_served = has(Role::Decode, pieces) && has(Role::Prefill, Pieces(0));
        if is_served { Ok(()) } else { Err(SelectionError::NoEndpoint) }
    }

    pub fn check_served(&self, request: &Admission) -> Result<(), SelectionError> {
        self.check_endpoints(request, self.pieces(request))
    }

    /// Returns the endpoints of a role that have a free slot and may run the request.
    fn available_endpoints<'b>(
        &'b self,
        request: &'b Admission,
        role: Role,
    ) -> impl Iterator<Item = (&'b EndpointId, &'b EndpointState)> {
        self.endpoints.iter().filter(move |(id, e)| {
            e.accepts_work_as(role)
                && e.free_slots(self.now) > 0
                && self.may_run_on(request, id, e)
                && !request.avoid.contains(id)
        })
    }

    /// A suspect starts only where all other attempts are ruled out as a cause of a crash, and no
    /// attempt joins it until it is ruled out too. A crash then has only one possible cause.
    fn may_run_on(&self, request: &Admission, id: &EndpointId, endpoint: &EndpointState) -> bool {
        if request.is_suspect {
            return self.is_ledger_complete && endpoint.unproven_count() == 0;
        }
        !endpoint.has_unproven_suspect() && !self.suspect_only.contains(id)
    }

    fn select_decode<'b>(
        &'b self,
        request: &'b Admission,
        pieces: Pieces,
    ) -> Result<(&'b EndpointId, &'b EndpointState), SelectionError> {
        let utilisation = |e: &EndpointState| {
            let slots = f64::from(e.used_slots(self.now) + 1) / f64::from(e.warm_up.limit().max(1));
            let used = (e.occupancy.used_pieces() + pieces).get() as f64;
            let memory = used / e.entry.pieces.get().max(1) as f64;
            slots.max(memory)
                + Self::CROSS_ZONE_UTILISATION * zone_crossings(&e.entry.zone, &request.zone) as f64
        };
        let mut has_slot = false;
        self.available_endpoints(request, Role::Decode)
            .filter(|(_, e)| e.has_partner(self.endpoints.values()))
            .inspect(|_| has_slot = true)
            .filter(|(_, e)| e.free_pieces() >= pieces)
            .min_by(|(_, a), (_, b)| utilisation(a).total_cmp(&utilisation(b)))
            .ok_or(())
            .map_err(|()| if has_slot { SelectionError::Memory } else { SelectionError::Busy })
    }

    fn schedule_pair(
        &self,
        request: &Admission,
        (prefill_id, prefill): (&EndpointId, &EndpointState),
        (decode_id, decode): (&EndpointId, &EndpointState),
        pieces: Pieces,
    ) -> Option<Choice> {
        if prefill.revision() != decode.revision() {
            return None;
        }
        let prefill_ms = Self::prefill_ms(self.model, self.uncached_tokens(request, prefill_id));
        let is_long = prefill_ms >= Self::LONG_PREFILL_MS;
        let starts_at = prefill.prefills.ends_at(self.now);
        let is_behind = starts_at > self.now.plus_ms(Self::MAX_BACKLOG_MS);
        if is_behind || (is_long && !self.may_run_long(prefill)) {
            return None;
        }
        let ends_at = starts_at.plus_ms(prefill_ms);
        let bytes = self.prompt_tokens(request).saturating_mul(self.model.kv_bytes_per_token);
        let (rate, transfer_ms) = Link::transfer_between(&prefill.link, &decode.link, bytes);
        let transfer_starts_at =
            Link::earliest_start(&prefill.link, &decode.link, ends_at, rate, transfer_ms);
        let start_after_ms =
            transfer_starts_at.ms_since(ends_at).saturating_sub(Self::MAX_RESULT_WAIT_MS);
        if start_after_ms > Self::MAX_BACKLOG_MS {
            return None;
        }
        let crossings = zone_crossings(&prefill.entry.zone, &decode.entry.zone)
            + zone_crossings(&prefill.entry.zone, &request.zone);
        let ready_ms = transfer_starts_at.plus_ms(transfer_ms).ms_since(self.now);
        Some(Choice {
            prefill: prefill_id.clone(),
            decode: decode_id.clone(),
            pieces,
            prefill_ms,
            prefill_ends_at: ends_at.plus_ms(start_after_ms),
            is_long,
            start_after_ms,
            transfer_starts_at,
            transfer_ms,
            transfer_bytes_per_s: rate,
            queued_ms: starts_at.ms_since(self.now),
            estimated_ms: ready_ms + crossings * Self::CROSS_ZONE_MS,
        })
    }

    /// Returns the expected length of the prompt. Memory is reserved for the upper bound instead.
    fn prompt_tokens(&self, request: &Admission) -> u64 {
        self.prompt_ratios.estimate(&request.organisation, request.prompt_tokens.get())
    }

    /// Returns the number of prompt tokens to compute, assuming that the prefix hashes cover equal
    /// parts of the prompt.
    fn uncached_tokens(&self, request: &Admission, endpoint: &EndpointId) -> u64 {
        let hashes = &request.prefix_hashes;
        let hits = self.prefixes.hits(&request.organisation, hashes, endpoint, self.now) as u64;
        let tokens = self.prompt_tokens(request);
        // The last token is always computed.
        (tokens - tokens * hits / (hashes.len() as u64).max(1)).max(1)
    }

    /// While short prompts arrive, long prompts leave them a share of the endpoints proportional to
    /// the short prompts' share of the work.
    fn may_run_long(&self, endpoint: &EndpointState) -> bool {
        let open = || self.endpoints.values().filter(|e| e.accepts_work_as(Role::Prefill));
        let count = open().count();
        if count < 2 || self.short_share <= 0.0 || endpoint.prefills.has_long(self.now) {
            return true;
        }
        let short_only = ((count as f64 * self.short_share).ceil() as usize).clamp(1, count - 1);
        open().filter(|e| e.prefills.has_long(self.now)).count() < count - short_only
    }
}

fn zone_crossings(a: &ZoneId, b: &ZoneId) -> u64 {
    u64::from(a != b)
}
