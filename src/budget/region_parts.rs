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

/// Parts of the organisations of one budget shard at the sub-holder of a region.
#[derive(Debug)]
pub struct RegionParts {
    region: RegionId,
    fencing: FencingToken,
    /// Latest holder of the budget shard that answered.
    holder_fencing: FencingToken,
    sequence: u64,
    /// When the last request was made, until it is answered.
    requested_at: Option<Instant>,
    request_due: Instant,
    gained_at: Instant,
    /// Grants of the previous sub-holder have ended by then.
    old_grants_end: Instant,
    rates: Rc<BTreeMap<OrganisationId, Rate>>,
    parts: BTreeMap<OrganisationId, RegionPart>,
}

impl RegionParts {
    /// An unanswered request is given up for the next one after this time.
    const RETRY_MS: u64 = 5_000;
    /// Least time between two requests.
    const LEAST_INTERVAL_MS: u64 = 1_000;
    /// A lowered share is reported as soon as the grants beyond it have ended.
    const REPORT_LOWERED_MS: u64 = GRANT_TTL_MS + GRANT_MARGIN_MS + 1;
    /// A first part is sized before the demand of all regions is known, so it is renewed soon.
    const AFTER_FIRST_MS: u64 = 5_000;
    const RETRY_DRAW_MS: u64 = 500;

    /// A new sub-holder has no part. It asks for none before its predecessor's grants have ended,
    /// so its first request truthfully states that the region has nothing.
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

    /// Puts rates in force at once. Levels are clamped to the parts of lowered rates.
    pub fn set_rates(&mut self, rates: &Rc<BTreeMap<OrganisationId, Rate>>, now: Instant) {
        let at = self.time_at(now);
        self.rates = Rc::clone(rates);
        for (organisation, part) in &mut self.parts {
            part.set_rate(rates.get(organisation).copied().unwrap_or(RegionPart::NO_RATE), at);
        }
    }

    /// Answers a draw from the region's part. The first draw of an organisation asks for a part.
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
        if part.share() == Share::NONE || part.is_short() {
            grant.retry_after_ms = grant.retry_after_ms.min(RegionParts::RETRY_DRAW_MS);
            self.request_soon(RegionParts::LEAST_INTERVAL_MS, now);
        }
        DrawAnswer::Granted(grant)
    }

    /// A pending request is awaited; otherwise each draw would abandon it.
    fn request_soon(&mut self, after_ms: u64, now: Instant) {
        if self.requested_at.is_none() {
            let due = now.plus_ms(if self.sequence == 0 { 0 } else { after_ms });
            self.request_due = self.request_due.min(due.max(self.old_grants_end));
        }
    }

    /// Puts the request off while its holder is looked up.
    pub fn defer_request(&mut self, now: Instant) {
        self.request_due = now.plus_ms(RegionParts::RETRY_MS);
    }

    pub fn request_due(&self) -> Instant {
        self.request_due
    }

    /// The next request for parts, to the holder with that fencing number. From here on the answers
    /// to earlier ones are ignored.
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
        self.request_due = now.plus_ms(RegionParts::RETRY_MS);
        let held = self.parts.iter_mut().map(|(organisation, part)| part.report(organisation, at));
        let held: Vec<HeldPart> = held.collect();
        let (region, fencing) = (self.region.clone(), self.fencing);
        let sequence = self.sequence;
        Some(PartRequest { region, holder_fencing, fencing, sequence, held })
    }

    /// Puts the answer to the last request in force.
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
            self.request_soon(RegionParts::AFTER_FIRST_MS, now);
        }
        if is_lowered {
            self.request_soon(RegionParts::REPORT_LOWERED_MS, now);
        }
    }

    fn expire(&mut self, now: Instant) {
        let at = self.time_at(now);
        for part in self.parts.values_mut() {
            part.expire(now, at);
        }
    }

    fn time_at(&self, now: Instant) -> HolderTime {
        HolderTime::start_in_region(self.fencing).plus_ms(now.ms_since(self.gained_at))
    }
}
