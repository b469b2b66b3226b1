use std::collections::BTreeMap;
use std::rc::Rc;

use super::draw::{DrawAnswer, DrawRequest};
use super::holder_time::HolderTime;
use super::limits::{GRANT_MARGIN_MS, GRANT_TTL_MS, PART_RENEW_MS};
use super::part::{GrantedParts, HeldPart, PartRequest};
use super::region_part::RegionPart;
use super::share::Share;
use crate::clock::Instant;
use crate::config::Rate;
use crate::units::{FencingToken, OrganisationId, RegionId};

/// Parts of the organisations of one budget shard, kept by the regional holder.
#[derive(Debug)]
pub struct RegionParts {
    region: RegionId,
    fencing: FencingToken,
    /// Fencing token of the latest budget shard holder that has answered.
    holder_fencing: FencingToken,
    sequence: u64,
    /// Time of the unanswered request, if there is one.
    requested_at: Option<Instant>,
    request_due: Instant,
    gained_at: Instant,
    /// Time by which all grants of the previous regional holder have expired.
    old_grants_end: Instant,
    rates: Rc<BTreeMap<OrganisationId, Rate>>,
    parts: BTreeMap<OrganisationId, RegionPart>,
}

impl RegionParts {
    /// An unanswered request is replaced by the next one after this time.
    const REQUEST_TIMEOUT_MS: u64 = 5_000;
    /// Shortest time between two requests.
    const MIN_REQUEST_INTERVAL_MS: u64 = 1_000;
    /// After a share was lowered, the next report follows once the grants beyond it have expired.
    const RENEW_AFTER_LOWERED_MS: u64 = GRANT_TTL_MS + GRANT_MARGIN_MS + 1;
    /// A first part is sized before the demand of all regions is known, so it is renewed early.
    const RENEW_AFTER_FIRST_MS: u64 = 5_000;
    const MAX_DRAW_RETRY_MS: u64 = 500;

    /// Creates the state of a new regional holder, which has no parts. It requests none before the
    /// grants of its predecessor have expired, so that its first report of no parts is correct.
    pub fn new(
        region: RegionId,
        fencing: FencingToken,
        previous_end: Instant,
        now: Instant,
    ) -> Self {
        let old_grants_end = previous_end.plus_ms(GRANT_TTL_MS + GRANT_MARGIN_MS);
        RegionParts {
            region,
            fencing,
            holder_fencing: FencingToken(0),
            sequence: 0,
            requested_at: None,
            request_due: old_grants_end,
            gained_at: now,
            old_grants_end,
            rates: Rc::default(),
            parts: BTreeMap::new(),
        }
    }

    /// Applies rates immediately. Where a rate is lowered, the level is clamped to the new part.
    pub fn set_rates(&mut self, rates: &Rc<BTreeMap<OrganisationId, Rate>>, now: Instant) {
        let at = self.time_at(now);
        self.rates = Rc::clone(rates);
        for (organisation, part) in &mut self.parts {
            part.set_rate(rates.get(organisation).copied().unwrap_or(RegionPart::NO_RATE), at);
        }
    }

    /// Answers a draw from the region's part. The first draw of an organisation triggers a request
    /// for a part.
    pub fn draw(&mut self, request: &DrawRequest, lease: Instant, now: Instant) -> DrawAnswer {
        if now >= lease {
            return DrawAnswer::NotHolder(None);
        }
        let Some(rate) = self.rates.get(&request.organisation).copied() else {
            return DrawAnswer::UnknownOrganisation;
        };
        self.expire(now);
        let at = self.time_at(now);
        let part = self.parts.entry(request.organisation.clone());
        let part = part.or_insert_with(|| RegionPart::new(rate, at));
        let mut grant = part.draw(request, at);
        if part.share() == Share::NONE || part.is_too_small() {
            grant.retry_after_ms = grant.retry_after_ms.min(RegionParts::MAX_DRAW_RETRY_MS);
            self.schedule_request(RegionParts::MIN_REQUEST_INTERVAL_MS, now);
        }
        DrawAnswer::Granted(grant)
    }

    /// Moves the next request forward to `after_ms` from now, or to now if it is the first one.
    /// Does nothing while a request is pending, because each draw would otherwise replace it.
    fn schedule_request(&mut self, after_ms: u64, now: Instant) {
        if self.requested_at.is_none() {
            let due = now.plus_ms(if self.sequence == 0 { 0 } else { after_ms });
            self.request_due = self.request_due.min(due.max(self.old_grants_end));
        }
    }

    /// Postpones the next request while its holder is looked up.
    pub fn defer_request(&mut self, now: Instant) {
        self.request_due = now.plus_ms(RegionParts::REQUEST_TIMEOUT_MS);
    }

    pub fn request_due(&self) -> Instant {
        self.request_due
    }

    /// Builds the next request for parts, to the holder with that fencing token. Answers to earlier
    /// requests are ignored from then on.
    pub fn request(
        &mut self,
        holder_fencing: FencingToken,
        lease: Instant,
        now: Instant,
    ) -> Option<PartRequest> {
        if now < self.old_grants_end || now >= lease {
            return None;
        }
        self.expire(now);
        let at = self.time_at(now);
        self.parts.retain(|_, part| !part.is_unused(at));
        self.sequence += 1;
        self.requested_at = Some(now);
        self.request_due = now.plus_ms(RegionParts::REQUEST_TIMEOUT_MS);
        let held = self.parts.iter_mut().map(|(organisation, part)| part.report(organisation, at));
        let held: Vec<HeldPart> = held.collect();
        let (region, fencing) = (self.region.clone(), self.fencing);
        let sequence = self.sequence;
        Some(PartRequest { region, holder_fencing, fencing, sequence, held })
    }

    /// Applies the answer to the last request.
    pub fn apply(
        &mut self,
        fencing: FencingToken,
        sequence: u64,
        answer: &GrantedParts,
        now: Instant,
    ) {
        let is_last = fencing == self.fencing && sequence == self.sequence;
        if !is_last || answer.fencing < self.holder_fencing {
            return;
        }
        let Some(requested_at) = self.requested_at.take() else { return };
        self.request_due = requested_at.plus_ms(PART_RENEW_MS);
        let deadline = requested_at.plus_ms(answer.time_to_live_ms);
        if deadline <= now {
            return;
        }
        self.holder_fencing = answer.fencing;
        self.expire(now);
        let at = self.time_at(now);
        let (mut is_lowered, mut is_first) = (false, false);
        for (organisation, share) in &answer.shares {
            if let Some(part) = self.parts.get_mut(organisation) {
                is_lowered |= *share < part.share();
                is_first |= part.share() == Share::NONE && *share > Share::NONE;
                part.set_share(*share, deadline, at);
            }
        }
        if is_first {
            self.schedule_request(RegionParts::RENEW_AFTER_FIRST_MS, now);
        }
        if is_lowered {
            self.schedule_request(RegionParts::RENEW_AFTER_LOWERED_MS, now);
        }
    }

    fn expire(&mut self, now: Instant) {
        let at = self.time_at(now);
        for part in self.parts.values_mut() {
            part.expire(now, at);
        }
    }

    fn time_at(&self, now: Instant) -> HolderTime {
        HolderTime::start_for_region(self.fencing).plus_ms(now.ms_since(self.gained_at))
    }
}
