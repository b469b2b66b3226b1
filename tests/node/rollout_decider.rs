//! Holders of the lease on roll-outs that end, lose the store or decide at the same time.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use almondroad::clock::{Clock, Instant};
use almondroad::node::{RolloutDecider, RolloutRow, RolloutTable};
use almondroad::replica::SourceError;
use almondroad::roles::{LeaseRow, LeaseState};
use almondroad::rollout::{RolloutOrder, RolloutPhase, RolloutState, Verdict};
use almondroad::units::ServiceId;
use futures::executor::block_on;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::support::service;

const ORDER_VERSION: u64 = 40;

#[derive(Clone, Default)]
struct SharedClock(Rc<Cell<u64>>);

impl Clock for SharedClock {
    fn now(&self) -> Instant {
        Instant::from_ms(1_000_000 + self.0.get())
    }
}

#[derive(Default)]
struct Table {
    clock: SharedClock,
    version: Cell<u64>,
    /// All states that were written, oldest first.
    states: RefCell<Vec<RolloutState>>,
    lease: RefCell<Option<(LeaseRow, u64)>>,
    is_down: Cell<bool>,
    /// Whether the next write takes effect but its response is lost.
    loses_response: Cell<bool>,
    /// Whether any instance may take the lease, as if two held it.
    is_lease_ignored: Cell<bool>,
}

fn unavailable<T>() -> Result<T, SourceError> {
    Err(SourceError::Unavailable { reason: "no answer".into() })
}

impl Table {
    fn store_ms(&self) -> u64 {
        70 + self.clock.0.get()
    }

    fn next_version(&self) -> u64 {
        self.version.set(self.version.get() + 1);
        self.version.get()
    }
}

impl RolloutTable for Table {
    async fn read_rollout(&self, _: &ServiceId) -> Result<RolloutRow, SourceError> {
        if self.is_down.get() {
            return unavailable();
        }
        let states = self.states.borrow();
        let version = states.len() as u64;
        Ok(RolloutRow { state: states.last().cloned(), version, store_ms: self.store_ms() })
    }

    async fn write_rollout(
        &self,
        _: &ServiceId,
        state: &RolloutState,
        expected: u64,
    ) -> Result<Option<u64>, SourceError> {
        if self.is_down.get() {
            return unavailable();
        }
        let mut states = self.states.borrow_mut();
        if states.len() as u64 != expected {
            return Ok(None);
        }
        states.push(state.clone());
        if self.loses_response.take() { unavailable() } else { Ok(Some(states.len() as u64)) }
    }

    async fn read_rollout_lease(&self) -> Result<LeaseState, SourceError> {
        if self.is_down.get() {
            return unavailable();
        }
        let lease = self.lease.borrow().clone().filter(|_| !self.is_lease_ignored.get());
        let version = lease.as_ref().map_or(0, |(_, version)| *version);
        let row = lease.map(|(row, _)| row);
        Ok(LeaseState { row, version, store_ms: self.store_ms() })
    }

    async fn write_rollout_lease(
        &self,
        row: &LeaseRow,
        _: u64,
    ) -> Result<Option<u64>, SourceError> {
        let version = self.next_version();
        *self.lease.borrow_mut() = Some((row.clone(), version));
        Ok(Some(version))
    }
}

type Decider = RolloutDecider<Table, SharedClock>;

fn decider(table: &Rc<Table>, name: &str) -> Decider {
    RolloutDecider::new(Rc::clone(table), table.clock.clone(), name.into(), 0)
}

fn order() -> RolloutOrder {
    RolloutOrder { service: service(), target: "v2".into(), deadline_ms: 60_000 }
}

/// Lets an instance decide once, if it holds the lease or can take it.
fn decide(decider: &mut Decider, verdict: Verdict) -> Option<RolloutState> {
    block_on(decider.acquire()).ok()?;
    block_on(decider.advance(&order(), ORDER_VERSION, verdict, |_| true)).ok().flatten()
}

/// Asserts that the steps increase one by one and the roll-out moves in one direction only.
fn assert_one_direction(table: &Table, context: &str) {
    let rank = |state: &RolloutState| match state.phase {
        RolloutPhase::Observing { allowance_percent } => u32::from(allowance_percent),
        RolloutPhase::Moving => 200,
        RolloutPhase::Succeeded | RolloutPhase::RolledBack => 300,
    };
    let states = table.states.borrow();
    for pair in states.windows(2) {
        assert_eq!(pair[1].step, pair[0].step + 1, "{context}: {states:?}");
        assert!(rank(&pair[1]) >= rank(&pair[0]), "{context}: {states:?}");
        assert!(!pair[0].phase.is_final(), "{context}: {states:?}");
        assert_eq!(pair[1].deadline_store_ms, pair[0].deadline_store_ms, "{context}");
    }
}

fn run_until_end(table: &Rc<Table>, deciders: &mut [Decider], verdict: Verdict) -> RolloutPhase {
    for _ in 0..600 {
        table.clock.0.set(table.clock.0.get() + 250);
        for one in deciders.iter_mut() {
            decide(one, verdict);
        }
        let phase = table.states.borrow().last().map(|state| state.phase);
        if let Some(phase) = phase.filter(|phase| phase.is_final()) {
            return phase;
        }
    }
    panic!("the roll-out has not ended: {:?}", table.states.borrow());
}

/// Guards against a roll-out that starts again or stays as it is when its holder ends at any step.
#[test]
fn another_instance_carries_on_after_each_step() {
    for steps in 1..9 {
        let table = Rc::new(Table::default());
        let mut first = decider(&table, "first");
        while table.states.borrow().len() < steps {
            table.clock.0.set(table.clock.0.get() + 250);
            decide(&mut first, Verdict::Good);
            assert!(table.clock.0.get() < 60_000);
        }
        drop(first);
        let phase = run_until_end(&table, &mut [decider(&table, "second")], Verdict::Good);
        assert_one_direction(&table, &format!("ended after {steps} steps"));
        let is_late = table.clock.0.get() > 60_000;
        assert!(!is_late, "ended after {steps} steps");
        assert_eq!(phase, RolloutPhase::Succeeded, "ended after {steps} steps");
    }
}

/// Guards against a roll-out that an outage of the store or a lost response at any step sends back
/// or ends wrongly.
#[test]
fn an_outage_at_each_step_is_survived() {
    for steps in 1..9 {
        for is_response_lost in [false, true] {
            let table = Rc::new(Table::default());
            let mut only = decider(&table, "only");
            while table.states.borrow().len() < steps {
                table.clock.0.set(table.clock.0.get() + 250);
                decide(&mut only, Verdict::Good);
            }
            table.loses_response.set(is_response_lost);
            table.is_down.set(!is_response_lost);
            for _ in 0..20 {
                table.clock.0.set(table.clock.0.get() + 250);
                decide(&mut only, Verdict::Good);
            }
            table.is_down.set(false);
            run_until_end(&table, &mut [only], Verdict::Good);
            assert_one_direction(&table, &format!("step {steps}, lost {is_response_lost}"));
        }
    }
}

/// Guards against two holders with different verdicts that move the requests back and forth.
#[test]
fn two_holders_advance_one_state() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let table = Rc::new(Table::default());
        table.is_lease_ignored.set(true);
        let mut holders = [decider(&table, "first"), decider(&table, "second")];
        for _ in 0..300 {
            table.clock.0.set(table.clock.0.get() + rng.random_range(20..400));
            let verdict = match rng.random_range(0..40) {
                0 => Verdict::Bad,
                1..=20 => Verdict::Good,
                _ => Verdict::Undecided,
            };
            decide(&mut holders[rng.random_range(0..2)], verdict);
        }
        assert_one_direction(&table, &format!("seed {seed}"));
        assert!(table.states.borrow().len() > 1, "seed {seed}");
    }
}

/// Guards against a version that is taken over without enough evidence.
#[test]
fn no_evidence_rolls_back_before_the_deadline() {
    let table = Rc::new(Table::default());
    let mut only = [decider(&table, "only")];
    let phase = run_until_end(&table, &mut only, Verdict::Undecided);
    assert_eq!(phase, RolloutPhase::RolledBack);
    assert!(table.clock.0.get() < 60_000);
}
