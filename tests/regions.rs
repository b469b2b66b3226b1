//! Tests of budgets split between regions: one budget holder, a regional holder and an instance in
//! each region, and messages between them that are lost, delayed, repeated or reordered.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use almondroad::budget::{
    DrawAnswer, DrawRequest, GRANT_MARGIN_MS, GRANT_TTL_MS, Grant, GrantedParts, PART_MARGIN_MS,
    PART_RENEW_MS, PART_TTL_MS, PartAnswer, PartLedger, PartRequest, REGION_REMOVAL_MS, Refund,
    RegionParts,
};
use almondroad::clock::{Clock, Instant, TokioClock};
use almondroad::config::Rate;
use almondroad::units::{
    FencingToken, Incarnation, InstanceId, OrganisationId, RegionId, Tokens, TokensPerSecond,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const REGIONS: usize = 3;

fn region(index: usize) -> RegionId {
    RegionId::new(["khomas", "erongo", "oshana"][index])
}

fn rates(per_s: u64, burst: u64) -> Rc<BTreeMap<OrganisationId, Rate>> {
    let rate = Rate { rate_tokens_per_s: TokensPerSecond(per_s), burst_tokens: Tokens(burst) };
    Rc::new(BTreeMap::from([(OrganisationId::new("gobabis"), rate)]))
}

struct Holder {
    ledger: PartLedger,
    lease_end: Instant,
}

struct Region {
    parts: RegionParts,
    lease_end: Instant,
    fencing: u64,
    draws: u64,
    spent: Tokens,
    /// Grants to the instance of the region, with their deadlines.
    grants: Vec<(Instant, Grant)>,
    refunds: Vec<Refund>,
    drops_requests: bool,
    drops_answers: bool,
}

/// Tokens of one grant that were charged to requests, less refunds.
struct Admitted {
    at: Instant,
    tokens: u64,
    region: usize,
    granted_at: Instant,
}

struct Fleet {
    clock: TokioClock,
    rates: Rc<BTreeMap<OrganisationId, Rate>>,
    /// Holders by fencing token. Requests to earlier holders may still be delivered.
    holders: Vec<Holder>,
    regions: Vec<Region>,
    requests: Vec<(usize, PartRequest)>,
    answers: Vec<(usize, u64, u64, GrantedParts)>,
    admitted: Vec<Admitted>,
}

const FOREVER: Instant = Instant::from_ms(u64::MAX);

impl Fleet {
    fn new(per_s: u64, burst: u64) -> Fleet {
        let mut fleet = Fleet {
            clock: TokioClock::new(),
            rates: rates(per_s, burst),
            holders: Vec::new(),
            regions: Vec::new(),
            requests: Vec::new(),
            answers: Vec::new(),
            admitted: Vec::new(),
        };
        fleet.replace_holder();
        for index in 0..REGIONS {
            let parts = fleet.regional_holder(index, 1);
            fleet.regions.push(Region {
                parts,
                lease_end: FOREVER,
                fencing: 1,
                draws: 0,
                spent: Tokens(0),
                grants: Vec::new(),
                refunds: Vec::new(),
                drops_requests: false,
                drops_answers: false,
            });
        }
        fleet
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn regional_holder(&self, index: usize, fencing: u64) -> RegionParts {
        let now = self.now();
        let mut parts = RegionParts::new(region(index), FencingToken(fencing), now, now);
        parts.set_rates(&self.rates, now);
        parts
    }

    fn replace_holder(&mut self) {
        let now = self.now();
        self.expire_lease();
        let mut ledger = PartLedger::new(FencingToken(self.holders.len() as u64 + 1), now);
        ledger.set_regions((0..REGIONS).map(region).collect::<BTreeSet<_>>(), now);
        self.holders.push(Holder { ledger, lease_end: FOREVER });
    }

    fn expire_lease(&mut self) {
        let now = self.now();
        if let Some(holder) = self.holders.last_mut() {
            holder.lease_end = holder.lease_end.min(now);
        }
    }

    fn expire_regional_lease(&mut self, index: usize) {
        self.regions[index].lease_end = self.regions[index].lease_end.min(self.now());
    }

    fn take_over_region(&mut self, index: usize) {
        self.expire_regional_lease(index);
        let fencing = self.regions[index].fencing + 1;
        self.regions[index].parts = self.regional_holder(index, fencing);
        self.regions[index].fencing = fencing;
        self.regions[index].lease_end = FOREVER;
    }

    fn set_rates(&mut self, per_s: u64, burst: u64) {
        self.rates = rates(per_s, burst);
        let now = self.now();
        for region in &mut self.regions {
            region.parts.set_rates(&self.rates, now);
        }
    }

    fn request(&mut self, index: usize) {
        let now = self.now();
        let region = &mut self.regions[index];
        let holder = FencingToken(self.holders.len() as u64);
        if let Some(request) = region.parts.request(holder, region.lease_end, now)
            && !region.drops_requests
        {
            self.requests.push((index, request));
        }
    }

    /// Delivers a request. A repeated one stays in flight and is delivered again later.
    fn deliver_request(&mut self, at: usize, is_repeated: bool) {
        let now = self.now();
        let (index, request) = self.requests[at].clone();
        if !is_repeated {
            self.requests.swap_remove(at);
        }
        // A repeated request goes to the holder it was built for, perhaps after its lease expired;
        // any other goes to the current holder.
        let last = self.holders.len() - 1;
        let made_for = request.holder_fencing.0 as usize - 1;
        let holder = &mut self.holders[if is_repeated { made_for } else { last }];
        let answer = holder.ledger.renew(&request, &self.rates, holder.lease_end, now);
        if let PartAnswer::Parts(parts) = answer
            && !self.regions[index].drops_answers
        {
            self.answers.push((index, request.fencing.0, request.sequence, parts));
        }
    }

    fn deliver_answer(&mut self, at: usize) {
        let now = self.now();
        let (index, fencing, sequence, parts) = self.answers.swap_remove(at);
        self.regions[index].parts.apply(FencingToken(fencing), sequence, &parts, now);
    }

    /// A renewal whose messages arrive immediately.
    fn renew(&mut self, index: usize) {
        self.request(index);
        if self.requests.last().is_some_and(|(of, ..)| *of == index) {
            self.deliver_request(self.requests.len() - 1, false);
            if self.answers.last().is_some_and(|(of, ..)| *of == index) {
                self.deliver_answer(self.answers.len() - 1);
            }
        }
    }

    fn draw(&mut self, index: usize, need: u64, is_answer_lost: bool) -> Tokens {
        let now = self.now();
        let region = &mut self.regions[index];
        region.draws += 1;
        let request = DrawRequest {
            organisation: OrganisationId::new("gobabis"),
            instance: InstanceId::new("a"),
            incarnation: Incarnation(1),
            need_tokens: Tokens(need),
            want_tokens: Tokens(need),
            spent_tokens: std::mem::take(&mut region.spent),
            returned_tokens: Tokens(0),
            refunds: std::mem::take(&mut region.refunds),
            sequence: region.draws,
        };
        match region.parts.draw(&request, region.lease_end, now) {
            DrawAnswer::Granted(grant) if !is_answer_lost => {
                region.grants.push((now.plus_ms(grant.time_to_live_ms), grant));
                grant.tokens
            }
            _ => Tokens(0),
        }
    }

    fn draw_all(&mut self, index: usize) {
        for need in [800, 400, 200, 100, 50, 25] {
            self.draw(index, need, false);
        }
        self.spend(index);
    }

    /// Spends all tokens of grants that have not expired.
    fn spend(&mut self, index: usize) {
        let now = self.now();
        for (end, grant) in std::mem::take(&mut self.regions[index].grants) {
            if now < end {
                let (tokens, granted_at) = (grant.tokens.0, grant.granted_at);
                self.regions[index].spent += grant.tokens;
                self.admitted.push(Admitted { at: now, tokens, region: index, granted_at });
            }
        }
    }

    /// Refunds part of a grant, as a request that used less than it was charged.
    fn refund(&mut self, at: usize, percent: u64) {
        let admitted = &mut self.admitted[at];
        let tokens = admitted.tokens * percent / 100;
        admitted.tokens -= tokens;
        let refund = Refund { granted_at: admitted.granted_at, tokens: Tokens(tokens) };
        self.regions[admitted.region].refunds.push(refund);
    }

    async fn advance(&mut self, ms: u64) {
        tokio::time::advance(Duration::from_millis(ms)).await;
    }

    /// Renews parts when due, and draws and spends every 100 ms. Returns the tokens granted to each
    /// region.
    async fn serve(&mut self, ms: u64, needs: [u64; REGIONS]) -> [u64; REGIONS] {
        let mut admitted = [0; REGIONS];
        for _ in 0..ms / 100 {
            for (index, need) in needs.into_iter().enumerate() {
                if self.regions[index].parts.request_due() <= self.now() {
                    self.renew(index);
                }
                if need > 0 {
                    admitted[index] += self.draw(index, need, false).0;
                    self.spend(index);
                }
            }
            self.advance(100).await;
        }
        admitted
    }

    fn check(&self, after: Instant, per_s: u64, burst: u64) -> Result<(), TestCaseError> {
        let admitted: Vec<&Admitted> = self.admitted.iter().filter(|p| p.at >= after).collect();
        for (first, Admitted { at: from, .. }) in admitted.iter().enumerate() {
            let mut sum = 0;
            for Admitted { at: to, tokens, .. } in &admitted[first..] {
                sum += tokens;
                let bound = burst + per_s * to.ms_since(*from) / 1_000;
                prop_assert!(sum <= bound, "{sum} tokens from {from} to {to}, bound {bound}");
            }
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    Request(usize),
    DeliverRequest(prop::sample::Index, bool),
    DeliverAnswer(prop::sample::Index),
    Lose(prop::sample::Index),
    Renew(usize),
    Draw(usize, u64, bool),
    Spend(usize),
    Refund(prop::sample::Index, u64),
    /// All regions draw as much as they can at the same time, to detect parts that add up to more
    /// than the whole.
    DrawAll,
    Partition(usize, bool, bool),
    ExpireLease,
    ReplaceHolder,
    ExpireRegionalLease(usize),
    RegionTakeover(usize),
    StoreIsDown(bool),
}

fn event() -> impl Strategy<Value = Event> {
    let index = || any::<prop::sample::Index>();
    prop_oneof![
        8 => (1u64..2_000).prop_map(Event::Advance),
        2 => (10_000u64..120_000).prop_map(Event::Advance),
        1 => (PART_TTL_MS - 70_000..PART_TTL_MS + 10_000).prop_map(Event::Advance),
        4 => (0..REGIONS).prop_map(Event::Request),
        5 => (index(), prop::bool::weighted(0.3)).prop_map(|(i, r)| Event::DeliverRequest(i, r)),
        5 => index().prop_map(Event::DeliverAnswer),
        1 => index().prop_map(Event::Lose),
        12 => (0..REGIONS).prop_map(Event::Renew),
        16 => (0..REGIONS, 1u64..800, prop::bool::weighted(0.1))
            .prop_map(|(region, need, is_lost)| Event::Draw(region, need, is_lost)),
        8 => (0..REGIONS).prop_map(Event::Spend),
        6 => Just(Event::DrawAll),
        3 => (index(), 1u64..=100).prop_map(|(at, percent)| Event::Refund(at, percent)),
        1 => (0..REGIONS, any::<bool>(), any::<bool>()).prop_map(|(r, to, from)| Event::Partition(r, to, from)),
        1 => Just(Event::ExpireLease),
        2 => Just(Event::ReplaceHolder),
        1 => (0..REGIONS).prop_map(Event::ExpireRegionalLease),
        2 => (0..REGIONS).prop_map(Event::RegionTakeover),
        1 => any::<bool>().prop_map(Event::StoreIsDown),
    ]
}

async fn run(events: &[Event], lowered_at: usize) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(1_000, 1_000);
    let mut is_store_down = false;
    let mut lowered = FOREVER;
    for round in 0..3 {
        fleet.advance(REGION_REMOVAL_MS).await;
        (0..REGIONS).for_each(|index| fleet.renew(index));
        if round == 0 {
            (0..REGIONS).for_each(|index| _ = fleet.draw(index, 300, false));
        }
    }
    for (at, event) in events.iter().enumerate() {
        if at == lowered_at {
            fleet.set_rates(300, 400);
            lowered = fleet.now().plus_ms(GRANT_TTL_MS);
        }
        match event {
            Event::Advance(ms) => fleet.advance(*ms).await,
            Event::Request(index) => fleet.request(*index),
            Event::DeliverRequest(at, is_repeated) if !fleet.requests.is_empty() => {
                fleet.deliver_request(at.index(fleet.requests.len()), *is_repeated);
            }
            Event::DeliverAnswer(at) if !fleet.answers.is_empty() => {
                fleet.deliver_answer(at.index(fleet.answers.len()));
            }
            Event::Lose(at) if !fleet.answers.is_empty() => {
                fleet.answers.swap_remove(at.index(fleet.answers.len()));
            }
            Event::Renew(index) => fleet.renew(*index),
            Event::Draw(index, need, is_lost) => _ = fleet.draw(*index, *need, *is_lost),
            Event::Spend(index) => fleet.spend(*index),
            Event::DrawAll => (0..REGIONS).for_each(|index| fleet.draw_all(index)),
            Event::Refund(at, percent) if !fleet.admitted.is_empty() => {
                fleet.refund(at.index(fleet.admitted.len()), *percent);
            }
            Event::Partition(index, to, from) => {
                fleet.regions[*index].drops_requests = *to;
                fleet.regions[*index].drops_answers = *from;
            }
            Event::ExpireLease => fleet.expire_lease(),
            Event::ReplaceHolder if !is_store_down => fleet.replace_holder(),
            Event::ExpireRegionalLease(index) => fleet.expire_regional_lease(*index),
            Event::RegionTakeover(index) if !is_store_down => fleet.take_over_region(*index),
            Event::StoreIsDown(is_down) => is_store_down = *is_down,
            _ => {}
        }
    }
    (0..REGIONS).for_each(|index| fleet.spend(index));
    fleet.check(Instant::default(), 1_000, 1_000)?;
    fleet.check(lowered, 300, 400)?;
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000, rng_seed: RngSeed::Fixed(23), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against intervals that use more than burst + rate × interval when budget and regional
    /// holders die, pause and are replaced, regions are partitioned in one or both directions,
    /// requests and answers are lost, delayed, repeated or reordered, the store is down and the
    /// rate is lowered.
    #[test]
    fn no_interval_passes_more_than_burst_and_rate(
        events in prop::collection::vec(event(), 20..160),
        lowered_at in 0usize..200,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time().start_paused(true).build().expect("a runtime");
        runtime.block_on(run(&events, lowered_at))?;
    }
}

/// A fleet whose parts have been adjusted to a constant demand.
async fn fleet_with_settled_parts(needs: [u64; REGIONS]) -> Fleet {
    let mut fleet = Fleet::new(30_000, 30_000);
    fleet.serve(4 * PART_RENEW_MS, needs).await;
    fleet
}

/// Guards against a partitioned region that stops serving its part, or that still serves it after
/// the part has expired.
#[tokio::test(start_paused = true)]
async fn a_partitioned_region_serves_its_part_until_its_deadline() {
    let mut fleet = fleet_with_settled_parts([500; REGIONS]).await;
    fleet.regions[1].drops_requests = true;
    let partitioned = fleet.serve(PART_TTL_MS - PART_RENEW_MS, [500; REGIONS]).await;
    let part = 10_000 * (PART_TTL_MS - PART_RENEW_MS) / 1_000;
    // The demand is half of an equal part.
    assert!(
        partitioned.iter().all(|tokens| *tokens * 100 >= part * 95 / 2),
        "{partitioned:?} of {part}"
    );
    fleet.serve(PART_RENEW_MS, [500; REGIONS]).await;
    let ended = fleet.serve(10_000, [500; REGIONS]).await;
    assert_eq!(ended[1], 0);
    fleet.check(Instant::default(), 30_000, 30_000).expect("the bound");
}

/// Guards against the part of a partitioned region being given to others before its deadline, or
/// never.
#[tokio::test(start_paused = true)]
async fn the_part_of_a_partitioned_region_is_given_to_others_after_its_deadline() {
    let needs = [4_000, 4_000, 0];
    let mut fleet = fleet_with_settled_parts(needs).await;
    fleet.regions[1].drops_requests = true;
    let during = fleet.serve(60_000, needs).await;
    fleet.serve(PART_TTL_MS + PART_MARGIN_MS + 2 * PART_RENEW_MS, needs).await;
    let after = fleet.serve(60_000, needs).await;
    assert!(during[1] * 100 >= 60 * 13_000 * 95 && after[1] == 0, "{during:?} {after:?}");
    assert!(after[0] > during[0] * 3 / 2, "{during:?} {after:?}");
    fleet.check(Instant::default(), 30_000, 30_000).expect("the bound");
}

/// Guards against a new holder that gives away parts that regions have not reported yet, or that
/// raises no part until old ones expire although all regions have reported.
#[tokio::test(start_paused = true)]
async fn a_new_holder_moves_parts_once_all_regions_have_reported() {
    let mut fleet = fleet_with_settled_parts([4_000, 100, 100]).await;
    fleet.regions[2].drops_requests = true;
    fleet.replace_holder();
    let moved = [100, 4_000, 100];
    fleet.serve(2 * PART_RENEW_MS, moved).await;
    let before = fleet.serve(10_000, moved).await;
    assert!(before[1] < 30_000, "{before:?}");
    fleet.regions[2].drops_requests = false;
    fleet.serve(3 * PART_RENEW_MS, moved).await;
    let after = fleet.serve(10_000, moved).await;
    assert!(after[1] > 200_000, "{after:?}");
    fleet.check(Instant::default(), 30_000, 30_000).expect("the bound");
}

/// Guards against a regional holder that grants while grants of its predecessor may be spent, or
/// that never requests its part again.
#[tokio::test(start_paused = true)]
async fn a_new_regional_holder_requests_the_part_after_old_grants() {
    let mut fleet = fleet_with_settled_parts([500; REGIONS]).await;
    fleet.take_over_region(0);
    fleet.request(0);
    assert!(fleet.requests.is_empty());
    let waiting = fleet.serve(GRANT_TTL_MS + GRANT_MARGIN_MS, [500; REGIONS]).await;
    assert_eq!(waiting[0], 0);
    fleet.serve(2_000, [500; REGIONS]).await;
    let after = fleet.serve(10_000, [500; REGIONS]).await;
    assert!(after[0] >= 50_000 * 95 / 100, "{after:?}");
    fleet.check(Instant::default(), 30_000, 30_000).expect("the bound");
}
