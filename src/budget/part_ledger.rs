use std::collections::{BTreeMap, BTreeSet};

use super::limits::{
    GRANT_MARGIN_MS, GRANT_TTL_MS, PART_MARGIN_MS, PART_TTL_MS, REGION_REMOVAL_MS,
};
use super::part::{GrantedParts, HeldPart, PartAnswer, PartRequest};
use super::share::Share;
use crate::clock::Instant;
use crate::config::Rate;
use crate::units::{FencingToken, OrganisationId, RegionId, Tokens};

/// The shares that the regions may be using, at the holder of a budget shard. Counted shares of an
/// organisation add up to at most the whole, and a region never uses more than its counted share.
#[derive(Clone, Debug)]
pub struct PartLedger {
    fencing: FencingToken,
    /// Grants that the previous holder made without regions have ended by then.
    direct_grants_end: Instant,
    /// All parts of previous holders have ended by then.
    old_parts_end: Instant,
    regions: BTreeSet<RegionId>,
    regions_since: Instant,
    reports: BTreeMap<RegionId, Report>,
}

/// What the last request of a region stated and was answered.
#[derive(Clone, Debug)]
struct Report {
    fencing: FencingToken,
    sequence: u64,
    parts: BTreeMap<OrganisationId, Counted>,
}

#[derive(Clone, Debug)]
struct Counted {
    held: HeldPart,
    /// The greater of what the region had and what it was given: the answer may be lost.
    share: Share,
    deadline: Instant,
}

impl PartLedger {
    /// Part of the whole that is kept in equal shares for all regions, so that a region where an
    /// organisation has been idle gets its first part without waiting for another region.
    const RESERVE_DIVISOR: u32 = 8;
    /// A draw is the sum of what waits at an instance, so an overloaded region must not take the
    /// parts of all others for it.
    const MOST_BY_NEED: Share = Share::HALF;

    /// A holder knows nothing of its predecessors' parts. It confirms what regions report to have
    /// and raises no part until all have reported or until all old parts have ended.
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

    /// Puts the regions of the document in force.
    pub fn set_regions(&mut self, regions: BTreeSet<RegionId>, now: Instant) {
        if self.regions != regions {
            self.regions = regions;
            self.regions_since = now;
        }
    }

    /// Counts what the region reports and answers with its new parts. As with draws, the caller
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
        self.count(request, now);
        let is_known = self.knows_all_parts(now);
        let mut shares = Vec::with_capacity(request.held.len());
        for held in &request.held {
            let rate = rates.get(&held.organisation);
            let share = match rate.filter(|_| self.regions.contains(&request.region)) {
                None => Share::NONE,
                Some(_) if !is_known => held.share,
                Some(rate) => {
                    let target = self.target(&request.region, &held.organisation, *rate, now);
                    target.min(Share::WHOLE - self.counted_elsewhere(&request.region, held, now))
                }
            };
            self.give(&request.region, &held.organisation, share);
            shares.push((held.organisation.clone(), share));
        }
        PartAnswer::Parts(GrantedParts {
            fencing: self.fencing,
            time_to_live_ms: PART_TTL_MS,
            shares,
        })
    }

    /// The region has applied no answer after the one that led to this report, so what was given
    /// in answers that it does not show is free again.
    fn count(&mut self, request: &PartRequest, now: Instant) {
        let deadline = now.plus_ms(PART_TTL_MS + PART_MARGIN_MS);
        let counted = request.held.iter().map(|held| {
            let share = held.share.max(held.used);
            (held.organisation.clone(), Counted { held: held.clone(), share, deadline })
        });
        let (fencing, sequence) = (request.fencing, request.sequence);
        let report = Report { fencing, sequence, parts: counted.collect() };
        self.reports.insert(request.region.clone(), report);
    }

    fn give(&mut self, region: &RegionId, organisation: &OrganisationId, share: Share) {
        let parts = self.reports.get_mut(region).map(|report| &mut report.parts);
        if let Some(counted) = parts.and_then(|parts| parts.get_mut(organisation)) {
            counted.share = counted.share.max(share);
        }
    }

    /// Whether no region can have a part that is not counted here.
    fn knows_all_parts(&self, now: Instant) -> bool {
        let all_reported = self.regions.iter().all(|region| self.reports.contains_key(region));
        let removed_ended = now >= self.regions_since.plus_ms(REGION_REMOVAL_MS);
        now >= self.old_parts_end
            || (now >= self.direct_grants_end && removed_ended && all_reported)
    }

    /// Shares that are counted for other regions or kept for their first part.
    fn counted_elsewhere(&self, region: &RegionId, held: &HeldPart, now: Instant) -> Share {
        let own = |other: &&RegionId| *other == region;
        let others = self.live(&held.organisation, now).filter(|(other, _)| !own(other));
        let counted = others.map(|(other, counted)| (other, counted.share));
        let counted: BTreeMap<&RegionId, Share> = counted.collect();
        let floor = self.floor();
        let of = |other: &RegionId| counted.get(other).copied().unwrap_or_default().max(floor);
        let removed = counted.iter().filter(|(other, _)| !self.regions.contains(**other));
        let removed = removed.fold(Share::NONE, |sum, (_, share)| sum + *share);
        let others = self.regions.iter().filter(|other| !own(other));
        others.fold(removed, |sum, other| sum + of(other))
    }

    fn live<'a>(
        &'a self,
        organisation: &'a OrganisationId,
        now: Instant,
    ) -> impl Iterator<Item = (&'a RegionId, &'a Counted)> + Clone {
        let parts = self.reports.iter().filter_map(|(region, report)| {
            report.parts.get(organisation).map(|counted| (region, counted))
        });
        parts.filter(move |(_, counted)| now < counted.deadline)
    }

    /// Equal shares of the reserve and the rest by demand. If the largest draw does not fit, its
    /// region is given a part that holds it, up to half, and the others share what remains.
    fn target(&self, region: &RegionId, of: &OrganisationId, rate: Rate, now: Instant) -> Share {
        let known = self.live(of, now).filter(|(region, _)| self.regions.contains(*region));
        let demand: u64 = known.clone().map(|(_, counted)| counted.held.demand.0).sum();
        let raw = |of: &Counted| self.raw_target(of.held.demand.0, demand);
        let fits = |tokens: Tokens| tokens > Tokens(0) && tokens <= rate.burst_tokens;
        let needing = known.clone().filter(|(_, counted)| fits(counted.held.need_tokens));
        let largest = needing.max_by_key(|(_, counted)| counted.held.need_tokens);
        let Some((_, own)) = known.clone().find(|(other, _)| *other == region) else {
            return Share::NONE;
        };
        let Some((first, counted)) = largest else { return raw(own) };
        let needed = Share::covering(counted.held.need_tokens, rate.burst_tokens);
        let needed = needed.min(PartLedger::MOST_BY_NEED);
        if needed <= raw(counted) {
            return raw(own);
        }
        if first == region {
            return needed;
        }
        let rest = u64::from((Share::WHOLE - raw(counted)).millionths());
        (Share::WHOLE - needed).times(Share::of_ratio(u64::from(raw(own).millionths()), rest))
    }

    fn floor(&self) -> Share {
        let reserve = Share::WHOLE.millionths() / PartLedger::RESERVE_DIVISOR;
        Share::from_millionths(reserve / self.regions.len().max(1) as u32)
    }

    fn raw_target(&self, demand: u64, total: u64) -> Share {
        let regions = self.regions.len().max(1) as u32;
        let whole = Share::WHOLE.millionths();
        if total == 0 {
            return Share::from_millionths(whole / regions);
        }
        let by_demand = Share::from_millionths(whole - whole / PartLedger::RESERVE_DIVISOR);
        self.floor() + by_demand.times(Share::of_ratio(demand, total))
    }
}
