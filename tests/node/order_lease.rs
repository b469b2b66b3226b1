//! The order lease on a store that loses responses, applies writes late and is sometimes
//! unreachable.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use almondroad::clock::{Clock, Instant};
use almondroad::replica::SourceError;
use almondroad::roles::{FencingToken, LeaseError, LeaseRow, LeaseState, LeaseTable, OrderLease};
use futures::executor::block_on;
use proptest::prelude::*;

const TAKEOVER_DELAY_MS: u64 = 3_000;
const HOLDERS: usize = 3;

#[derive(Clone, Default)]
struct SharedClock(Rc<Cell<u64>>);

impl Clock for SharedClock {
    fn now(&self) -> Instant {
        Instant::from_ms(1_000_000 + self.0.get())
    }
}

/// Outcome of the next write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteOutcome {
    #[default]
    Applied,
    /// Applied, but the response is lost.
    ResponseLost,
    /// Applied by a later `apply_late` if its condition still holds.
    Late,
    Refused,
}

#[derive(Default)]
struct Table {
    clock: SharedClock,
    row: RefCell<Option<(LeaseRow, u64)>>,
    version: Cell<u64>,
    next_outcome: Cell<WriteOutcome>,
    late: RefCell<Option<(LeaseRow, u64)>>,
}

impl Table {
    fn apply(&self, row: LeaseRow, expected: u64) -> Option<u64> {
        let known = self.row.borrow().as_ref().map_or(0, |(_, version)| *version);
        if known != expected {
            return None;
        }
        self.version.set(self.version.get() + 1);
        *self.row.borrow_mut() = Some((row, self.version.get()));
        Some(self.version.get())
    }

    fn apply_late(&self) {
        if let Some((row, expected)) = self.late.borrow_mut().take() {
            self.apply(row, expected);
        }
    }
}

fn unavailable<T>() -> Result<T, SourceError> {
    Err(SourceError::Unavailable { reason: "no answer".into() })
}

impl LeaseTable for Table {
    async fn read_lease(&self) -> Result<LeaseState, SourceError> {
        let row = self.row.borrow().clone();
        let version = row.as_ref().map_or(0, |(_, version)| *version);
        // The store's clock and the instances' clocks have different origins.
        let store_ms = 50 + self.clock.0.get();
        Ok(LeaseState { row: row.map(|(row, _)| row), version, store_ms })
    }

    async fn write_lease(&self, row: &LeaseRow, expected: u64) -> Result<Option<u64>, SourceError> {
        match self.next_outcome.take() {
            WriteOutcome::Applied => Ok(self.apply(row.clone(), expected)),
            WriteOutcome::ResponseLost => {
                self.apply(row.clone(), expected);
                unavailable()
            }
            WriteOutcome::Late => {
                *self.late.borrow_mut() = Some((row.clone(), expected));
                unavailable()
            }
            WriteOutcome::Refused => unavailable(),
        }
    }
}

fn leases(table: &Rc<Table>) -> Vec<OrderLease<Table, SharedClock>> {
    let lease = |number: usize| {
        let holder = format!("instance-{number}").into();
        OrderLease::new(Rc::clone(table), table.clock.clone(), holder, TAKEOVER_DELAY_MS)
    };
    (0..HOLDERS).map(lease).collect()
}

fn advance_clock(table: &Table, ms: u64) {
    table.clock.0.set(table.clock.0.get() + ms);
}

/// Guards against two instances that send orders to the same engine.
#[test]
fn one_instance_holds_the_lease() {
    let table = Rc::new(Table::default());
    let mut leases = leases(&table);
    let first = block_on(leases[0].acquire()).unwrap();
    assert_eq!(block_on(leases[0].acquire()), Ok(first), "already held, no call to the store");
    assert_eq!(block_on(leases[1].acquire()), Err(LeaseError::Held));
    advance_clock(&table, 8_500);
    assert_eq!(leases[0].token(), None);
    assert_eq!(block_on(leases[1].acquire()), Err(LeaseError::Held), "within the takeover delay");
    assert!(block_on(leases[0].acquire()).unwrap() > first);
    advance_clock(&table, 8_000 + TAKEOVER_DELAY_MS);
    assert!(block_on(leases[1].acquire()).is_ok());
}

/// Guards against using a token whose write may not have been applied, and against reusing a token
/// that an engine rejected.
#[test]
fn a_lost_response_grants_no_lease() {
    let table = Rc::new(Table::default());
    let mut leases = leases(&table);
    table.next_outcome.set(WriteOutcome::ResponseLost);
    assert!(matches!(block_on(leases[0].acquire()), Err(LeaseError::Store(_))));
    assert_eq!(leases[0].token(), None);
    advance_clock(&table, 8_000 + TAKEOVER_DELAY_MS);
    block_on(leases[1].acquire()).unwrap();
    leases[1].invalidate();
    assert_eq!(leases[1].token(), None);
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Acquire(usize, WriteOutcome),
    Order(usize),
    ApplyLate,
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        4 => Just(WriteOutcome::Applied),
        1 => Just(WriteOutcome::ResponseLost),
        1 => Just(WriteOutcome::Late),
        1 => Just(WriteOutcome::Refused),
    ];
    prop_oneof![
        3 => (1_u64..6_000).prop_map(Step::Wait),
        3 => (0..HOLDERS, outcome).prop_map(|(holder, outcome)| Step::Acquire(holder, outcome)),
        3 => (0..HOLDERS).prop_map(Step::Order),
        1 => Just(Step::ApplyLate),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23), ..ProptestConfig::default() })]

    /// Guards against takeovers before the takeover delay and against tokens that do not increase,
    /// for any sequence of waits, lost responses and late writes.
    #[test]
    fn takeovers_are_delayed_and_tokens_increase(
        steps in proptest::collection::vec(step_strategy(), 1..60)
    ) {
        let table = Rc::new(Table::default());
        let mut leases = leases(&table);
        let mut last: Option<(usize, u64, FencingToken)> = None;
        for current_step in steps {
            match current_step {
                Step::Wait(ms) => advance_clock(&table, ms),
                Step::Acquire(holder, outcome) => {
                    table.next_outcome.set(outcome);
                    let _ = block_on(leases[holder].acquire());
                    table.next_outcome.take();
                }
                Step::ApplyLate => table.apply_late(),
                Step::Order(holder) => {
                    let Some(token) = leases[holder].token() else { continue };
                    let now = table.clock.0.get();
                    if let Some((previous, at, previous_token)) =
                        last.filter(|(previous, ..)| *previous != holder)
                    {
                        prop_assert!(
                            now - at >= TAKEOVER_DELAY_MS,
                            "{previous} at {at}, {holder} at {now}"
                        );
                        prop_assert!(token > previous_token);
                    }
                    last = Some((holder, now, token));
                }
            }
        }
    }
}
