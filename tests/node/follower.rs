use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use almondroad::clock::{Clock, Instant, TokioClock};
use almondroad::fleet::Members;
use almondroad::replica::{Changes, Follower, RowChange, RowSource, Snapshot, SourceError, Topic};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// A store that is back is read within this time: a configuration is in force within 3 s, of which
/// the way to the other instances takes up to 1.1 s.
const RETURN_LIMIT_MS: u64 = 3_000 - 1_100;
/// Time without an answer after which the store's client gives up, in addition to the wait.
const CLIENT_TIMEOUT_MS: u64 = 1_500;

/// How the store treats calls during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// Accepts calls and never answers them, even if it returns meanwhile.
    Silent,
    /// Rejects calls at once.
    Busy,
}

/// A store with one row, whose version increases at the end of its outage.
struct FakeStore {
    clock: TokioClock,
    outage: Outage,
    down_at: Cell<Instant>,
    up_at: Cell<Instant>,
    calls: Cell<u32>,
    /// Durations of the long polls.
    polls_ms: RefCell<Vec<u64>>,
}

impl FakeStore {
    fn is_down(&self) -> bool {
        let now = self.clock.now();
        self.down_at.get() <= now && now < self.up_at.get()
    }

    fn version(&self) -> u64 {
        if self.clock.now() < self.up_at.get() { 5 } else { 9 }
    }

    fn rows(&self) -> Vec<RowChange> {
        vec![RowChange {
            key: "config".into(),
            version: self.version(),
            value: Some("text".into()),
        }]
    }

    async fn answer(&self, version: u64, wait_ms: u64) -> Result<(), SourceError> {
        self.calls.set(self.calls.get() + 1);
        let until = self.clock.now().plus_ms(wait_ms);
        let give_up_at = until.plus_ms(CLIENT_TIMEOUT_MS);
        let mut is_lost = false;
        loop {
            is_lost |= self.is_down();
            let failed = SourceError::Unavailable { reason: "injected".into() };
            if is_lost && self.outage == Outage::Busy {
                return Err(failed);
            }
            let now = self.clock.now();
            if is_lost && now >= give_up_at {
                return Err(failed);
            }
            if !is_lost && (now >= until || self.version() > version) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(4)).await;
        }
    }
}

impl RowSource for FakeStore {
    async fn read_all(&self, _: Topic) -> Result<Snapshot, SourceError> {
        self.answer(0, 0).await?;
        Ok(Snapshot { version: self.version(), rows: self.rows() })
    }

    async fn read_changes(
        &self,
        _: Topic,
        version: u64,
        wait_ms: u64,
    ) -> Result<Changes, SourceError> {
        if wait_ms > 0 {
            self.polls_ms.borrow_mut().push(wait_ms);
        }
        self.answer(version, wait_ms).await?;
        Ok(Changes { version: self.version(), rows: self.rows() })
    }
}

/// Returns the time from the store's return until the instance has the new version, and the number
/// of calls during the outage.
async fn return_time_ms(outage: Outage, down_for_ms: u64) -> (u64, u32) {
    let clock = TokioClock::new();
    let start = clock.now();
    let store = Rc::new(FakeStore {
        clock,
        outage,
        down_at: Cell::new(start.plus_ms(10_000)),
        up_at: Cell::new(start.plus_ms(10_000 + down_for_ms)),
        calls: Cell::new(0),
        polls_ms: RefCell::default(),
    });
    let members = Rc::new(RefCell::new(Members::new(Ipv4Addr::new(10, 0, 0, 1), start)));
    let (changes, _receiver) = mpsc::unbounded_channel();
    let follower = Follower::new(Topic::Operator, Rc::clone(&store), members, clock, changes);
    let updated = async {
        while clock.now() < store.down_at.get() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let calls_before = store.calls.get();
        while clock.now() < store.up_at.get() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let calls = store.calls.get() - calls_before;
        while follower.version() < 9 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        calls
    };
    tokio::select! {
        () = follower.run() => unreachable!("the receiver is open"),
        calls = updated => (clock.now().ms_since(store.up_at.get()), calls),
    }
}

/// Guards against a configuration that stays out of force after the store's return, because the
/// read that was sent to the silent store is waited for.
#[tokio::test(start_paused = true)]
async fn a_store_that_returns_from_a_silent_outage_is_read_soon() {
    LocalSet::new()
        .run_until(async {
            for down_for_ms in (6_000..15_000).step_by(700) {
                let (time_ms, _) = return_time_ms(Outage::Silent, down_for_ms).await;
                assert!(time_ms <= RETURN_LIMIT_MS, "after {down_for_ms} ms: {time_ms} ms");
            }
        })
        .await;
}

/// Guards against missing the return of a store that rejected calls, and against calling it more
/// often than five times a second meanwhile.
#[tokio::test(start_paused = true)]
async fn a_store_that_returns_from_a_busy_outage_is_read_soon() {
    LocalSet::new()
        .run_until(async {
            for down_for_ms in (1_000..9_000).step_by(700) {
                let (time_ms, calls) = return_time_ms(Outage::Busy, down_for_ms).await;
                assert!(time_ms <= RETURN_LIMIT_MS, "after {down_for_ms} ms: {time_ms} ms");
                assert!(u64::from(calls) <= 2 + down_for_ms / 200, "{calls} in {down_for_ms} ms");
            }
        })
        .await;
}

/// Guards against polls that all instances start together after a change and that therefore all end
/// in the same silent outage, or after its end.
#[tokio::test(start_paused = true)]
async fn polls_of_several_instances_end_at_different_times() {
    let polls = async {
        let clock = TokioClock::new();
        let now = clock.now();
        let store = Rc::new(FakeStore {
            clock,
            outage: Outage::Silent,
            down_at: Cell::new(now),
            up_at: Cell::new(now),
            calls: Cell::new(0),
            polls_ms: RefCell::default(),
        });
        let mut receivers = Vec::new();
        for _ in 0..40 {
            let members = Rc::new(RefCell::new(Members::new(Ipv4Addr::new(10, 0, 0, 1), now)));
            let (changes, receiver) = mpsc::unbounded_channel();
            receivers.push(receiver);
            let follower =
                Follower::new(Topic::Operator, Rc::clone(&store), members, clock, changes);
            tokio::task::spawn_local(async move { follower.run().await });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        store.polls_ms.borrow().clone()
    };
    let polls_ms = LocalSet::new().run_until(polls).await;
    assert_eq!(polls_ms.len(), 40);
    let spread_ms = polls_ms.iter().max().unwrap() - polls_ms.iter().min().unwrap();
    assert!(spread_ms >= 2_000, "{polls_ms:?}");
}
