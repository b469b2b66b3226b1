use std::collections::{BTreeMap, BTreeSet};

use super::limits::{
    GRANT_MARGIN_MS, GRANT_TTL_MS, PART_MARGIN_MS, PART_TTL_MS, REGION_REMOVAL_MS,
};
use super::part::{GrantedParts, HeldPart, PartAnswer, PartRequest};
use super::share::Share;
use crate::clock::Instant;
use crate::config::Rate;
use crate::units::{FencingToken, OrganisationId, RegionId, Tokens};

/// Upper bounds of the shares in use by the regions, kept by the holder of a budget shard. The
/// counted shares of an organisation add up to at most the whole, and a region never uses more than
/// its counted share.
#[derive(Clone, Debug)]
pub struct PartLedger {
    fencing: FencingToken,
    /// Time by which all grants made directly by the previous holder, before budgets were split
    /// between regions, have expired.
    direct_grants_end: Instant,
    /// Time by which all parts given by previous holders have expired.
    old_parts_end: Instant,
    regions: BTreeSet<RegionId>,
    regions_since: Instant,
    reports: BTreeMap<RegionId, RegionReport>,
}

/// The last request of a region and the shares given in answer to it.
#[derive(Clone, Debug)]
struct RegionReport {
    fencing: FencingToken,
    sequence: u64,
    parts: BTreeMap<OrganisationId, CountedPart>,
}

/// A part as reported, and the share and deadline that are counted for it.
#[derive(Clone, Debug)]
struct CountedPart {
    held: HeldPart,
    /// The greater of the share the region reported and the share it was given, since the answer
    /// may be lost.
    share: Share,
    deadline: Instant,
}

impl PartLedger {
    /// The whole budget divided by this number is reserved in equal shares for all regions, so that
    /// a region where an organisation has been idle gets its first part without waiting for another
    /// region.
    const RESERVE_DIVISOR: u32 = 8;
    /// The need of a draw may be the sum of all requests waiting at an instance, so this limit
    /// keeps an overloaded region from taking the parts of all others.
    const MAX_SHARE_BY_NEED: Share = Share::HALF;

    /// Creates the ledger of a new holder, which does not know the parts given by its predecessors.
    /// It confirms the shares that regions report and raises none until all regions have reported
    /// or all old parts have expired.
    pub fn new(fencing: FencingToken, previous_end: Instant) -> PartLedger {
        PartLedger {
            fencing,
            direct_grants_end: previous_end.plus_ms(GRANT_TTL_MS + GRANT_MARGIN_MS),
            old_parts_end: previous_end.plus_ms(PART_TTL_MS + PART_MARGIN_MS),
            regions: BTreeSet::new(),
            regions_since: Instant::default(),
            reports: BTreeMap::new(),
        }
    }

    /// Applies the list of regions in the document.
    pub fn set_regions(&mut self, regions: BTreeSet<RegionId>, now: Instant) {
        if self.regions != regions {
            self.regions = regions;
            self.regions_since = now;
        }
    }

    /// Records the report of the region and answers with its new shares. As with draws, the caller
    /// checks the lease again before it sends the answer.
    pub fn renew(
        &mut self,
        request: &PartRequest,
        rates: &BTreeMap<OrganisationId, Rate>,
        lease_deadline: Instant,
        now: Instant,
    ) -> PartAnswer {
        if now >= lease_deadline || request.holder_fencing != self.fencing {
            return PartAnswer::NotHolder(None);
        }
        let number = (request.fencing, request.sequence);
        let last = self.reports.get(&request.region).map(|last| (last.fencing, last.sequence));
        if last.is_some_and(|last| last >= number) {
            return PartAnswer::Stale;
        }
        self.record_report(request, now);
        let is_known = self.knows_all_parts(now);
        let mut shares = Vec::with_capacity(request.held.len());
        for held in &request.held {
            let rate = rates.get(&held.organisation);
            let share = match rate.filter(|_| self.regions.contains(&request.region)) {
                None => Share::NONE,
                Some(_) if !is_known => held.share,
                Some(rate) => {
                    let target = self.target(&request.region, &held.organisation, *rate, now);
                    target.min(Share::WHOLE - self.reserved_for_others(&request.region, held, now))
                }
            };
            self.raise_counted_share(&request.region, &held.organisation, share);
            shares.push((held.organisation.clone(), share));
        }
        PartAnswer::Parts(GrantedParts {
            fencing: self.fencing,
            time_to_live_ms: PART_TTL_MS,
            shares,
        })
    }

    /// Replaces the counted shares of the region. The region applies no answer to an earlier
    /// request, so shares given in answers that are not part of this report are released.
    fn record_report(&mut self, request: &PartRequest, now: Instant) {
        let deadline = now.plus_ms(PART_TTL_MS + PART_MARGIN_MS);
        let counted = request.held.iter().map(|held| {
            let share = held.share.max(held.used);
            (held.organisation.clone(), CountedPart { held: held.clone(), share, deadline })
        });
        let (fencing, sequence) = (request.fencing, request.sequence);
        let report = RegionReport { fencing, sequence, parts: counted.collect() };
        self.reports.insert(request.region.clone(), report);
    }

    fn raise_counted_share(
        &mut self,
        region: &RegionId,
        organisation: &OrganisationId,
        share: Share,
    ) {
        let parts = self.reports.get_mut(region).map(|report| &mut report.parts);
        if let Some(counted) = parts.and_then(|parts| parts.get_mut(organisation)) {
            counted.share = counted.share.max(share);
        }
    }

    /// Whether every part that a region may be using is counted here.
    fn knows_all_parts(&self, now: Instant) -> bool {
        let all_reported = self.regions.iter().all(|region| self.reports.contains_key(region));
        let removed_ended = now >= self.regions_since.plus_ms(REGION_REMOVAL_MS);
        now >= self.old_parts_end
            || (now >= self.direct_grants_end && removed_ended && all_reported)
    }

    /// Sum of the shares that are counted or reserved for other regions.
    fn reserved_for_others(&self, region: &RegionId, held: &HeldPart, now: Instant) -> Share {
        let own = |other: &&RegionId| *other == region;
        let others = self.live_parts(&held.organisation, now).filter(|(other, _)| !own(other));
        let counted = others.map(|(other, counted)| (other, counted.share));
        let counted: BTreeMap<&RegionId, Share> = counted.collect();
        let reserved = self.reserved_share();
        let share_of =
            |other: &RegionId| counted.get(other).copied().unwrap_or_default().max(reserved);
        let removed = counted.iter().filter(|(other, _)| !self.regions.contains(**other));
        let removed = removed.fold(Share::NONE, |sum, (_, share)| sum + *share);
        let others = self.regions.iter().filter(|other| !own(other));
        others.fold(removed, |sum, other| sum + share_of(other))
    }

    fn live_parts<'a>(
        &'a self,
        organisation: &'a OrganisationId,
        now: Instant,
    ) -> impl Iterator<Item = (&'a RegionId, &'a CountedPart)> + Clone {
        let parts = self.reports.iter().filter_map(|(region, report)| {
            report.parts.get(organisation).map(|counted| (region, counted))
        });
        parts.filter(move |(_, counted)| now < counted.deadline)
    }

    /// The share that a region should get: an equal share of the reserve, and the rest in
    /// proportion to demand. If the largest draw does not fit into the share of its region, that
    /// region gets a share that covers it, up to half, and the others split the remainder.
    fn target(
        &self,
        region: &RegionId,
        organisation_id: &OrganisationId,
        rate: Rate,
        now: Instant,
    ) -> Share {
        let known = self
            .live_parts(organisation_id, now)
            .filter(|(region, _)| self.regions.contains(*region));
        let demand: u64 = known.clone().map(|(_, counted)| counted.held.demand.0).sum();
        let demand_target = |part: &CountedPart| self.target_by_demand(part.held.demand.0, demand);
        let fits = |tokens: Tokens| tokens > Tokens(0) && tokens <= rate.burst_tokens;
        let needing = known.clone().filter(|(_, counted)| fits(counted.held.need_tokens));
        let largest = needing.max_by_key(|(_, counted)| counted.held.need_tokens);
        let Some((_, own)) = known.clone().find(|(other, _)| *other == region) else {
            return Share::NONE;
        };
        let Some((first, counted)) = largest else { return demand_target(own) };
        let needed = Share::covering(counted.held.need_tokens, rate.burst_tokens);
        let needed = needed.min(PartLedger::MAX_SHARE_BY_NEED);
        if needed <= demand_target(counted) {
            return demand_target(own);
        }
        if first == region {
            return needed;
        }
        let rest = u64::from((Share::WHOLE - demand_target(counted)).millionths());
        (Share::WHOLE - needed)
            .scaled_by(Share::from_ratio(u64::from(demand_target(own).millionths()), rest))
    }

    fn reserved_share(&self) -> Share {
        let reserve = Share::WHOLE.millionths() / PartLedger::RESERVE_DIVISOR;
        Share::from_millionths(reserve / self.regions.len().max(1) as u32)
    }

    fn target_by_demand(&self, demand: u64, total: u64) -> Share {
        let regions = self.regions.len().max(1) as u32;
        let whole = Share::WHOLE.millionths();
        if total == 0 {
            return Share::from_millionths(whole / regions);
        }
        let by_demand = Share::from_millionths(whole - whole / PartLedger::RESERVE_DIVISOR);
        self.reserved_share() + by_demand.scaled_by(Share::from_ratio(demand, total))
    }
}
