//! Simulated instances and successive holders of a budget shard, on the paused clock of tokio.

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

/// Clock with an offset, since the clocks of machines show different times.
#[derive(Clone)]
pub struct MachineClock(pub TokioClock, pub u64);

impl Clock for MachineClock {
    fn now(&self) -> Instant {
        self.0.now().plus_ms(self.1)
    }
}

pub struct Holder {
    pub budgets: Budgets<MachineClock>,
    pub clock: MachineClock,
    lease_deadline: Cell<Instant>,
    paused_until: Cell<Instant>,
    /// Until this time the holder cannot renew its lease, but still answers.
    store_unreachable_until: Cell<Instant>,
}

/// Network faults, as probabilities per mille and delays in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost_permille: u32,
    pub late_permille: u32,
    pub late_ms: u64,
    pub repeated_permille: u32,
    pub misdirected_permille: u32,
}

pub struct Simulation {
    pub clock: TokioClock,
    pub holders: RefCell<Vec<Rc<Holder>>>,
    pub fencing: Cell<u64>,
    pub faults: Cell<Faults>,
    pub partitioned_until: RefCell<BTreeMap<InstanceId, Instant>>,
    pub draws: Cell<u64>,
    pub rates: RefCell<BTreeMap<OrganisationId, Rate>>,
    /// Admission time and used tokens of each admitted request.
    pub admitted: RefCell<Vec<(Instant, Rc<Cell<u64>>)>>,
    pub random: RefCell<StdRng>,
}

impl Simulation {
    /// Starts with one holder and a full bucket, which is filled at a higher rate first.
    pub async fn start(seed: u64, first: Rate) -> Rc<Simulation> {
        let simulation = Rc::new(Simulation {
            clock: TokioClock::new(),
            holders: RefCell::default(),
            fencing: Cell::new(1),
            faults: Cell::default(),
            partitioned_until: RefCell::default(),
            draws: Cell::new(0),
            rates: RefCell::default(),
            admitted: RefCell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        });
        simulation.set_rate(rate(first.burst_tokens.0, first.burst_tokens.0));
        simulation.take_over(simulation.clock.now());
        spawn_local(simulation.clone().renew_leases());
        let first_instance = simulation.instance(1_000);
        first_instance
            .charge(&organisation(), Tokens(1), simulation.clock.now().plus_ms(5_000))
            .await
            .ok();
        sleep(Duration::from_secs(10)).await;
        simulation.set_rate(first);
        simulation
    }

    async fn renew_leases(self: Rc<Simulation>) {
        loop {
            let holder = self.current_holder();
            let now = holder.clock.now();
            let cannot_renew =
                holder.paused_until.get().max(holder.store_unreachable_until.get()) > now;
            if !cannot_renew && holder.lease_deadline.get() > now {
                holder.lease_deadline.set(now.plus_ms(LEASE_MS));
            }
            sleep(Duration::from_millis(1_000)).await;
        }
    }

    pub fn current_holder(&self) -> Rc<Holder> {
        self.holders.borrow().last().expect("the simulation starts with a holder").clone()
    }

    fn add_holder(&self) -> Rc<Holder> {
        let offset = self.random.borrow_mut().random_range(0..100_000_000);
        let clock = MachineClock(self.clock, offset);
        let budgets = Budgets::new(clock.clone(), 1);
        budgets.set_rates(&self.rates.borrow());
        let lease_deadline = Cell::new(clock.now().plus_ms(LEASE_MS));
        let (paused_until, store_unreachable_until) = Default::default();
        Rc::new(Holder { budgets, clock, lease_deadline, paused_until, store_unreachable_until })
    }

    pub fn take_over(&self, previous_end: Instant) {
        let holder = self.add_holder();
        let fencing = self.fencing.replace(self.fencing.get() + 1);
        holder.budgets.add_shard(
            &SHARD,
            FencingToken(fencing),
            previous_end.plus_ms(holder.clock.1),
        );
        self.holders.borrow_mut().push(holder);
    }

    /// Pauses the holder for `ms`, or only keeps it from renewing its lease. Another holder takes
    /// over once the lease has expired.
    pub async fn pause_holder(&self, ms: u64, can_answer: bool) {
        let holder = self.current_holder();
        let paused =
            if can_answer { &holder.store_unreachable_until } else { &holder.paused_until };
        paused.set(holder.clock.now().plus_ms(ms));
        let left = holder.lease_deadline.get().remaining(holder.clock.now());
        if u128::from(ms) > left.as_millis() {
            let end = self.clock.now().plus_ms(left.as_millis() as u64);
            sleep(left + Duration::from_millis(500)).await;
            self.take_over(end);
        }
    }

    /// Hands the shard over. The state arrives after `delay_ms`, or never.
    pub async fn hand_over(&self, delay_ms: u64, is_lost: bool) {
        let old = self.current_holder();
        let state = old.budgets.export(&SHARD).expect("the holder has a state");
        sleep(Duration::from_millis(delay_ms)).await;
        let left = old.lease_deadline.get().remaining(old.clock.now()).as_millis() as u64;
        let holder = self.add_holder();
        if !is_lost {
            holder.budgets.import(&SHARD, &state).expect("an exported state can be read");
        }
        sleep(Duration::from_millis(delay_ms)).await;
        let fencing = self.fencing.replace(self.fencing.get() + 1);
        holder.budgets.add_shard(&SHARD, FencingToken(fencing), holder.clock.now().plus_ms(left));
        self.holders.borrow_mut().push(holder);
        old.budgets.remove_shard(&SHARD);
    }

    pub fn set_rate(&self, new: Rate) {
        *self.rates.borrow_mut() = BTreeMap::from([(organisation(), new)]);
        for holder in self.holders.borrow().iter() {
            holder.budgets.set_rates(&self.rates.borrow());
        }
    }

    pub fn instance(self: &Rc<Simulation>, index: u64) -> Rc<Allowances<TokioClock, Network>> {
        let network = Network { simulation: self.clone() };
        let id = InstanceId::new(format!("gateway-{index}"));
        let allowances = Allowances::new(self.clock, network, id, Incarnation(index));
        allowances.set_rates(&self.rates.borrow());
        Rc::new(allowances)
    }

    /// Charges a request of up to `charged` tokens and runs it for `run_ms`. After a third of that
    /// time the charge is lowered.
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

    /// Largest excess over `burst + ∫ rate` of any interval that starts at `from` or later.
    /// `passed` returns the integral of the rate up to a time, in thousandths of a token. Times
    /// have a resolution of 1 ms, so an interval may be 1 ms longer than the difference of its
    /// ends.
    pub fn max_excess(&self, from: Instant, burst: u64, passed: impl Fn(Instant) -> u64) -> i64 {
        let mut used_before = 0i64;
        let mut min_slack = i64::MAX;
        let mut worst = i64::MIN;
        for (at, used) in self.admitted.borrow().iter().filter(|(at, _)| *at >= from) {
            min_slack = min_slack.min(used_before * 1000 - passed(*at) as i64);
            used_before += used.get() as i64;
            let end = passed(at.plus_ms(1)) as i64;
            worst = worst.max(used_before * 1000 - end - min_slack - burst as i64 * 1000);
        }
        worst
    }

    fn chance(&self, permille: u32) -> bool {
        self.random.borrow_mut().random_ratio(permille.min(1000), 1000)
    }

    async fn delay(&self) {
        let faults = self.faults.get();
        let late = self.chance(faults.late_permille);
        let most = if late { faults.late_ms.max(1) } else { 2 };
        let ms = self.random.borrow_mut().random_range(if late { 1..=most } else { 1..=2 });
        sleep(Duration::from_millis(ms)).await;
    }

    async fn deliver(self: Rc<Simulation>, request: DrawRequest) -> Result<DrawAnswer, DrawError> {
        let faults = self.faults.get();
        self.delay().await;
        let is_partitioned = |simulation: &Simulation| {
            let partitioned_until = simulation.partitioned_until.borrow();
            partitioned_until
                .get(&request.instance)
                .is_some_and(|until| *until > simulation.clock.now())
        };
        if self.chance(faults.lost_permille) || is_partitioned(&self) {
            return std::future::pending().await;
        }
        let mut holder = self.current_holder();
        if self.chance(faults.misdirected_permille) {
            let holders = self.holders.borrow();
            holder = holders[holders.len().saturating_sub(2)].clone();
        }
        sleep(holder.paused_until.get().remaining(holder.clock.now())).await;
        let answer = holder.budgets.draw(&request, holder.lease_deadline.get());
        self.delay().await;
        if self.chance(faults.lost_permille) || is_partitioned(&self) {
            return std::future::pending().await;
        }
        Ok(answer)
    }
}

/// Network that delivers draws even if the caller has given up, and delivers some of them again
/// later.
pub struct Network {
    simulation: Rc<Simulation>,
}

impl DrawClient for Network {
    async fn draw(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError> {
        let (answer, receiver) = oneshot::channel();
        let simulation = self.simulation.clone();
        simulation.draws.set(simulation.draws.get() + 1);
        let faults = simulation.faults.get();
        if simulation.chance(faults.repeated_permille) {
            let (simulation, request) = (simulation.clone(), request.clone());
            spawn_local(async move {
                let ms = simulation.random.borrow_mut().random_range(1..=faults.late_ms.max(1) * 4);
                sleep(Duration::from_millis(ms)).await;
                simulation.deliver(request).await
            });
        }
        let request = request.clone();
        spawn_local(async move {
            let _ = answer.send(simulation.deliver(request).await);
        });
        receiver.await.unwrap_or(Err(DrawError::Unreachable))
    }
}
