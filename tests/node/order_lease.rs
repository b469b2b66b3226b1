//! The lease of the instance that gives orders, against a store that loses answers, applies writes
//! late and is not always reached.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use almondroad::clock::{Clock, Instant};
use almondroad::replica::SourceError;
use almondroad::roles::{FencingToken, LeaseError, LeaseRow, LeaseState, LeaseTable, OrderLease};
use futures::executor::block_on;
use proptest::prelude::*;

const TURN_MS: u64 = 3_000;
const HOLDERS: usize = 3;

#[derive(Clone, Default)]
struct SharedClock(Rc<Cell<u64>>);

impl Clock for SharedClock {
    fn now(&self) -> Instant {
        Instant::from_ms(1_000_000 + self.0.get())
    }
}

/// What becomes of the next write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fate {
    #[default]
    Applied,
    /// Applied, but the answer is lost.
    AnswerLost,
    /// Applied at a later call, if its condition still holds then.
    Late,
    Refused,
}

#[derive(Default)]
struct Table {
    clock: SharedClock,
    row: RefCell<Option<(LeaseRow, u64)>>,
    version: Cell<u64>,
    fate: Cell<Fate>,
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
        // The store's clock has another origin than those of the instances.
        let store_ms = 50 + self.clock.0.get();
        Ok(LeaseState { row: row.map(|(row, _)| row), version, store_ms })
    }

    async fn write_lease(&self, row: &LeaseRow, expected: u64) -> Result<Option<u64>, SourceError> {
        match self.fate.take() {
            Fate::Applied => Ok(self.apply(row.clone(), expected)),
            Fate::AnswerLost => {
                self.apply(row.clone(), expected);
                unavailable()
            }
            Fate::Late => {
                *self.late.borrow_mut() = Some((row.clone(), expected));
                unavailable()
            }
            Fate::Refused => unavailable(),
        }
    }
}

fn leases(table: &Rc<Table>) -> Vec<OrderLease<Table, SharedClock>> {
    let lease = |number: usize| {
        let holder = format!("instance-{number}").into();
        OrderLease::new(Rc::clone(table), table.clock.clone(), holder, TURN_MS)
    };
    (0..HOLDERS).map(lease).collect()
}

fn step(table: &Table, ms: u64) {
    table.clock.0.set(table.clock.0.get() + ms);
}

/// Guards against two instances that order the same engine to change.
#[test]
fn one_instance_holds_the_lease() {
    let table = Rc::new(Table::default());
    let mut leases = leases(&table);
    let first = block_on(leases[0].acquire()).unwrap();
    assert_eq!(block_on(leases[0].acquire()), Ok(first), "held, without a call");
    assert_eq!(block_on(leases[1].acquire()), Err(LeaseError::Held));
    step(&table, 8_500);
    assert_eq!(leases[0].token(), None);
    assert_eq!(block_on(leases[1].acquire()), Err(LeaseError::Held), "within a turn");
    assert!(block_on(leases[0].acquire()).unwrap() > first);
    step(&table, 8_000 + TURN_MS);
    assert!(block_on(leases[1].acquire()).is_ok());
}

/// Guards against a token that is used although the write may not have been applied, and against
/// one that is used again after an engine refused it.
#[test]
fn a_lost_answer_gives_no_lease() {
    let table = Rc::new(Table::default());
    let mut leases = leases(&table);
    table.fate.set(Fate::AnswerLost);
    assert!(matches!(block_on(leases[0].acquire()), Err(LeaseError::Store(_))));
    assert_eq!(leases[0].token(), None);
    step(&table, 8_000 + TURN_MS);
    block_on(leases[1].acquire()).unwrap();
    leases[1].invalidate();
    assert_eq!(leases[1].token(), None);
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Acquire(usize, Fate),
    Order(usize),
    ApplyLate,
}

fn any_step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        4 => Just(Fate::Applied),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Late),
        1 => Just(Fate::Refused),
    ];
    prop_oneof![
        3 => (1_u64..6_000).prop_map(Step::Wait),
        3 => (0..HOLDERS, fate).prop_map(|(holder, fate)| Step::Acquire(holder, fate)),
        3 => (0..HOLDERS).prop_map(Step::Order),
        1 => Just(Step::ApplyLate),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23), ..ProptestConfig::default() })]

    /// Guards against holders that take turns faster than allowed, or with a token that is not
    /// higher than the one before, under any order of waits, lost answers and late writes.
    #[test]
    fn holders_take_turns_slowly_and_tokens_grow(
        steps in proptest::collection::vec(any_step(), 1..60)
    ) {
        let table = Rc::new(Table::default());
        let mut leases = leases(&table);
        let mut last: Option<(usize, u64, FencingToken)> = None;
        for step_now in steps {
            match step_now {
                Step::Wait(ms) => step(&table, ms),
                Step::Acquire(holder, fate) => {
                    table.fate.set(fate);
                    let _ = block_on(leases[holder].acquire());
                    table.fate.take();
                }
                Step::ApplyLate => table.apply_late(),
                Step::Order(holder) => {
                    let Some(token) = leases[holder].token() else { continue };
                    let now = table.clock.0.get();
                    if let Some((before, at, its)) = last.filter(|(before, ..)| *before != holder) {
                        prop_assert!(now - at >= TURN_MS, "{before} at {at}, {holder} at {now}");
                        prop_assert!(token > its);
                    }
                    last = Some((holder, now, token));
                }
            }
        }
    }
}
