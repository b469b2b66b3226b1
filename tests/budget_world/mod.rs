//! Simulated instances and successive owners of a budget shard, on tokio's paused clock.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use almondroad::budget::{
    Allowances, BudgetError, Budgets, Charge, DrawAnswer, DrawClient, DrawError, DrawRequest,
};
use almondroad::clock::{Clock, Instant, TokioClock};
use almondroad::config::Rate;
use almondroad::units::{
    FencingToken, Incarnation, InstanceId, OrganisationId, ShardId, Tokens, TokensPerSecond,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

pub const SHARD: ShardId = ShardId::Budget(0);
const LEASE_MS: u64 = 3_000;

pub fn organisation() -> OrganisationId {
    OrganisationId::new("otjiwarongo")
}

pub fn rate(per_s: u64, burst: u64) -> Rate {
    Rate { rate_tokens_per_s: TokensPerSecond(per_s), burst_tokens: Tokens(burst) }
}

/// Clocks of different machines show different times.
#[derive(Clone)]
pub struct MachineClock(pub TokioClock, pub u64);

impl Clock for MachineClock {
    fn now(&self) -> Instant {
        self.0.now().plus_ms(self.1)
    }
}

pub struct Owner {
    pub budgets: Budgets<MachineClock>,
    pub clock: MachineClock,
    lease_deadline: Cell<Instant>,
    paused_until: Cell<Instant>,
    /// Cannot renew its lease before this time, but still answers.
    cut_off_until: Cell<Instant>,
}

/// What the network does to draws, in per mille and milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost_permille: u32,
    pub late_permille: u32,
    pub late_ms: u64,
    pub repeated_permille: u32,
    pub misdirected_permille: u32,
}

pub struct World {
    pub clock: TokioClock,
    pub owners: RefCell<Vec<Rc<Owner>>>,
    pub fencing: Cell<u64>,
    pub faults: Cell<Faults>,
    pub cut_off: RefCell<BTreeMap<InstanceId, Instant>>,
    pub draws: Cell<u64>,
    pub rates: RefCell<BTreeMap<OrganisationId, Rate>>,
    /// Time and used tokens of admitted requests.
    pub admitted: RefCell<Vec<(Instant, Rc<Cell<u64>>)>>,
    pub random: RefCell<StdRng>,
}

impl World {
    /// Starts with one owner and a full bucket, which a higher rate has filled.
    pub async fn start(seed: u64, first: Rate) -> Rc<World> {
        let world = Rc::new(World {
            clock: TokioClock::new(),
            owners: RefCell::default(),
            fencing: Cell::new(1),
            faults: Cell::default(),
            cut_off: RefCell::default(),
            draws: Cell::new(0),
            rates: RefCell::default(),
            admitted: RefCell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        });
        world.set_rate(rate(first.burst_tokens.0, first.burst_tokens.0));
        world.take_over(world.clock.now());
        spawn_local(world.clone().renew_leases());
        let first_use = world.instance(1_000);
        first_use.charge(&organisation(), Tokens(1), world.clock.now().plus_ms(5_000)).await.ok();
        sleep(Duration::from_secs(10)).await;
        world.set_rate(first);
        world
    }

    async fn renew_leases(self: Rc<World>) {
        loop {
            let owner = self.holder();
            let now = owner.clock.now();
            let is_cut_off = owner.paused_until.get().max(owner.cut_off_until.get()) > now;
            if !is_cut_off && owner.lease_deadline.get() > now {
                owner.lease_deadline.set(now.plus_ms(LEASE_MS));
            }
            sleep(Duration::from_millis(1_000)).await;
        }
    }

    pub fn holder(&self) -> Rc<Owner> {
        self.owners.borrow().last().expect("the world starts with an owner").clone()
    }

    fn add_owner(&self) -> Rc<Owner> {
        let offset = self.random.borrow_mut().random_range(0..100_000_000);
        let clock = MachineClock(self.clock, offset);
        let budgets = Budgets::new(clock.clone(), 1);
        budgets.set_rates(&self.rates.borrow());
        let lease_deadline = Cell::new(clock.now().plus_ms(LEASE_MS));
        let (paused_until, cut_off_until) = Default::default();
        Rc::new(Owner { budgets, clock, lease_deadline, paused_until, cut_off_until })
    }

    pub fn take_over(&self, previous_end: Instant) {
        let owner = self.add_owner();
        let fencing = self.fencing.replace(self.fencing.get() + 1);
        owner.budgets.add_shard(&SHARD, FencingToken(fencing), previous_end.plus_ms(owner.clock.1));
        self.owners.borrow_mut().push(owner);
    }

    /// The holder stops for `ms`, or only cannot renew its lease; another takes over when the
    /// lease has run out.
    pub async fn pause_holder(&self, ms: u64, still_answers: bool) {
        let owner = self.holder();
        let paused = if still_answers { &owner.cut_off_until } else { &owner.paused_until };
        paused.set(owner.clock.now().plus_ms(ms));
        let left = owner.lease_deadline.get().remaining(owner.clock.now());
        if u128::from(ms) > left.as_millis() {
            let end = self.clock.now().plus_ms(left.as_millis() as u64);
            sleep(left + Duration::from_millis(500)).await;
            self.take_over(end);
        }
    }

    /// The state of the holder reaches its successor after `travel_ms`, or never.
    pub async fn hand_over(&self, travel_ms: u64, is_lost: bool) {
        let old = self.holder();
        let state = old.budgets.export(&SHARD).expect("the holder has a state");
        sleep(Duration::from_millis(travel_ms)).await;
        let left = old.lease_deadline.get().remaining(old.clock.now()).as_millis() as u64;
        let owner = self.add_owner();
        if !is_lost {
            owner.budgets.import(&SHARD, &state).expect("an exported state can be read");
        }
        sleep(Duration::from_millis(travel_ms)).await;
        let fencing = self.fencing.replace(self.fencing.get() + 1);
        owner.budgets.add_shard(&SHARD, FencingToken(fencing), owner.clock.now().plus_ms(left));
        self.owners.borrow_mut().push(owner);
        old.budgets.remove_shard(&SHARD);
    }

    pub fn set_rate(&self, new: Rate) {
        *self.rates.borrow_mut() = BTreeMap::from([(organisation(), new)]);
        for owner in self.owners.borrow().iter() {
            owner.budgets.set_rates(&self.rates.borrow());
        }
    }

    pub fn instance(self: &Rc<World>, index: u64) -> Rc<Allowances<TokioClock, Network>> {
        let network = Network { world: self.clone() };
        let id = InstanceId::new(format!("gateway-{index}"));
        let allowances = Allowances::new(self.clock, network, id, Incarnation(index));
        allowances.set_rates(&self.rates.borrow());
        Rc::new(allowances)
    }

    /// Charges a request of up to `charged` tokens, and lets it run for `run_ms`. A third of the way
    /// it learns a lower bound.
    pub async fn request(
        &self,
        instance: &Allowances<TokioClock, Network>,
        charged: u64,
        used: u64,
        run_ms: u64,
    ) -> Result<(), BudgetError> {
        let charge = self.admit(instance, charged).await?;
        charge.set_used(Tokens(used / 2));
        self.admitted.borrow().last().expect("just admitted").1.set(used);
        sleep(Duration::from_millis(run_ms / 3)).await;
        charge.lower_to(Tokens((charged + used) / 2));
        sleep(Duration::from_millis(run_ms - run_ms / 3)).await;
        charge.settle(Tokens(used));
        Ok(())
    }

    pub async fn admit(
        &self,
        instance: &Allowances<TokioClock, Network>,
        charged: u64,
    ) -> Result<Charge, BudgetError> {
        let deadline = self.clock.now().plus_ms(1_000);
        let charge = instance.charge(&organisation(), Tokens(charged), deadline).await?;
        let used = Rc::new(Cell::new(charged));
        self.admitted.borrow_mut().push((self.clock.now(), used));
        Ok(charge)
    }

    /// Greatest excess over `burst + ∫ rate` of any interval that starts at `from` or later, for a
    /// rate that is `before` until `changed_at` and `after` from then on. Times have a resolution
    /// of 1 ms, so an interval may be 1 ms longer than the difference of its ends.
    pub fn worst_excess(&self, from: Instant, burst: u64, passed: impl Fn(Instant) -> u64) -> i64 {
        let mut used_before = 0i64;
        let mut least_slack = i64::MAX;
        let mut worst = i64::MIN;
        for (at, used) in self.admitted.borrow().iter().filter(|(at, _)| *at >= from) {
            least_slack = least_slack.min(used_before * 1000 - passed(*at) as i64);
            used_before += used.get() as i64;
            let end = passed(at.plus_ms(1)) as i64;
            worst = worst.max(used_before * 1000 - end - least_slack - burst as i64 * 1000);
        }
        worst
    }

    fn chance(&self, permille: u32) -> bool {
        self.random.borrow_mut().random_ratio(permille.min(1000), 1000)
    }

    async fn travel(&self) {
        let faults = self.faults.get();
        let late = self.chance(faults.late_permille);
        let most = if late { faults.late_ms.max(1) } else { 2 };
        let ms = self.random.borrow_mut().random_range(if late { 1..=most } else { 1..=2 });
        sleep(Duration::from_millis(ms)).await;
    }

    async fn deliver(self: Rc<World>, request: DrawRequest) -> Result<DrawAnswer, DrawError> {
        let faults = self.faults.get();
        self.travel().await;
        let is_cut_off = |world: &World| {
            let cut_off = world.cut_off.borrow();
            cut_off.get(&request.instance).is_some_and(|until| *until > world.clock.now())
        };
        if self.chance(faults.lost_permille) || is_cut_off(&self) {
            return std::future::pending().await;
        }
        let mut owner = self.holder();
        if self.chance(faults.misdirected_permille) {
            let owners = self.owners.borrow();
            owner = owners[owners.len().saturating_sub(2)].clone();
        }
        sleep(owner.paused_until.get().remaining(owner.clock.now())).await;
        let answer = owner.budgets.draw(&request, owner.lease_deadline.get());
        self.travel().await;
        if self.chance(faults.lost_permille) || is_cut_off(&self) {
            return std::future::pending().await;
        }
        Ok(answer)
    }
}

/// Delivers draws although the caller may have given up, and some of them again later.
pub struct Network {
    world: Rc<World>,
}

impl DrawClient for Network {
    async fn draw(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError> {
        let (answer, receiver) = oneshot::channel();
        let world = self.world.clone();
        world.draws.set(world.draws.get() + 1);
        let faults = world.faults.get();
        if world.chance(faults.repeated_permille) {
            let (world, request) = (world.clone(), request.clone());
            spawn_local(async move {
                let ms = world.random.borrow_mut().random_range(1..=faults.late_ms.max(1) * 4);
                sleep(Duration::from_millis(ms)).await;
                world.deliver(request).await
            });
        }
        let request = request.clone();
        spawn_local(async move {
            let _ = answer.send(world.deliver(request).await);
        });
        receiver.await.unwrap_or(Err(DrawError::Unreachable))
    }
}
