//! Simulation of several instances with leases in one LocalSet on tokio's paused clock, with fault
//! injection for the table, the network and processes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use almondroad::clock::{Clock, Instant};
use almondroad::lease::{LeaseClaim, LeaseEvent, LeaseRow, Leases, LeasesBuilder, Witnesses};
use almondroad::peer::Member;
use almondroad::store::{CommitOutcome, Row, StoreError, Table, Transaction};
use almondroad::units::{FencingToken, Incarnation, InstanceId, ShardId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// A fault of the table that affects all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableFault {
    RejectsCalls,
    Unresponsive,
    /// Writes are applied, but no call gets a response.
    LosesResponses,
    /// Calls are applied after the first delay and answered after the second.
    Slow(u64, u64),
    /// Reads are served. Writes are applied after the delay and get no response.
    DelayedWrites(u64),
    /// Reads are served. Writes are applied at once and answered after the delay.
    DelayedResponses(u64),
}

/// A direction of a network path that can be cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    ToTable(usize),
    FromTable(usize),
    Peers(usize, usize),
}

/// The clock of an instance, with an origin and a rate of its own.
#[derive(Clone, Copy)]
pub struct SimClock {
    origin: tokio::time::Instant,
    offset_ms: u64,
    rate_permille: u64,
}

impl Clock for SimClock {
    fn now(&self) -> Instant {
        let elapsed_us = self.origin.elapsed().as_micros() as u64;
        Instant::from_ms(self.offset_ms + elapsed_us * self.rate_permille / 1_000_000)
    }
}

type SimLeases = Leases<NodeEnvironment, NodeEnvironment, SimClock>;

struct Node {
    member: Member,
    clock: SimClock,
    leases: Option<Rc<SimLeases>>,
    events: Option<mpsc::UnboundedReceiver<LeaseEvent>>,
    task: Option<JoinHandle<()>>,
    paused_until_ms: Rc<Cell<u64>>,
}

pub struct Simulation {
    origin: tokio::time::Instant,
    nodes: RefCell<Vec<Node>>,
    rows: RefCell<BTreeMap<String, Row>>,
    revision: Cell<u64>,
    table_fault: Cell<Option<(TableFault, u64)>>,
    cuts: RefCell<HashMap<Link, u64>>,
    died_at_ms: RefCell<HashMap<(InstanceId, Incarnation), u64>>,
    random: RefCell<StdRng>,
    shards: watch::Sender<Vec<ShardId>>,
    /// Last holder of each shard: node, incarnation, fencing token, and when it was last seen
    /// holding the lease.
    last_holders: RefCell<BTreeMap<ShardId, (usize, Incarnation, FencingToken, u64)>>,
}

/// Polls a future only while its process is not paused.
struct PausableTask<F> {
    run: Pin<Box<F>>,
    sim: Rc<Simulation>,
    until_ms: Rc<Cell<u64>>,
    wake: Pin<Box<tokio::time::Sleep>>,
}

impl<F: Future> Future for PausableTask<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let until = self.sim.origin + Duration::from_millis(self.until_ms.get());
        if tokio::time::Instant::now() < until {
            self.wake.as_mut().reset(until);
            let _ = self.wake.as_mut().poll(cx);
            return Poll::Pending;
        }
        self.run.as_mut().poll(cx)
    }
}

impl Simulation {
    /// Creates nodes in three zones. The last `remote` ones are in region `far`, the others in
    /// `near`.
    pub fn new(seed: u64, nodes: usize, remote: usize, shards: Vec<ShardId>) -> Rc<Simulation> {
        let origin = tokio::time::Instant::now();
        let mut random = StdRng::seed_from_u64(seed);
        let nodes = (0..nodes).map(|i| Node {
            member: Member {
                instance: format!("i-{i}").parse().unwrap(),
                incarnation: Incarnation(0),
                peer_address: "".into(),
                http_address: "".into(),
                zone: format!("z-{}", i % 3).parse().unwrap(),
                region: if i + remote < nodes { "near" } else { "far" }.parse().unwrap(),
                is_leaving: false,
                heartbeat_counter: 0,
                load_permille: 0,
            },
            clock: SimClock {
                origin,
                offset_ms: random.random_range(10_000..1_000_000),
                rate_permille: random.random_range(990..=1010),
            },
            leases: None,
            events: None,
            task: None,
            paused_until_ms: Rc::default(),
        });
        let nodes = RefCell::new(nodes.collect());
        Rc::new(Simulation {
            origin,
            nodes,
            rows: RefCell::default(),
            revision: Cell::new(0),
            table_fault: Cell::new(None),
            cuts: RefCell::default(),
            died_at_ms: RefCell::default(),
            random: RefCell::new(random),
            shards: watch::Sender::new(shards),
            last_holders: RefCell::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Starts a new incarnation if the node is not running.
    pub fn start(self: &Rc<Simulation>, i: usize) {
        let mut nodes = self.nodes.borrow_mut();
        let node = &mut nodes[i];
        if node.leases.is_some() {
            return;
        }
        node.member.incarnation = Incarnation(self.random.borrow_mut().random());
        let environment = NodeEnvironment { sim: self.clone(), node: i };
        let builder =
            LeasesBuilder::new(node.member.clone(), environment.clone(), environment, node.clock);
        let leases = builder.build();
        node.paused_until_ms = Rc::default();
        node.events = Some(leases.events());
        node.task = Some(spawn_local(PausableTask {
            run: Box::pin(leases.clone().run(self.shards.subscribe())),
            sim: self.clone(),
            until_ms: node.paused_until_ms.clone(),
            wake: Box::pin(sleep(Duration::ZERO)),
        }));
        node.leases = Some(leases);
    }

    pub fn kill(&self, i: usize) {
        let mut nodes = self.nodes.borrow_mut();
        let node = &mut nodes[i];
        if let (Some(task), Some(_)) = (node.task.take(), node.leases.take()) {
            task.abort();
            let name = (node.member.instance.clone(), node.member.incarnation);
            self.died_at_ms.borrow_mut().insert(name, self.now_ms());
        }
    }

    pub fn pause(&self, i: usize, for_ms: u64) {
        self.nodes.borrow()[i].paused_until_ms.set(self.now_ms() + for_ms);
    }

    pub fn set_table_fault(&self, fault: TableFault, for_ms: u64) {
        self.table_fault.set(Some((fault, self.now_ms() + for_ms)));
    }

    pub fn cut(&self, link: Link, for_ms: u64) {
        self.cuts.borrow_mut().insert(link, self.now_ms() + for_ms);
    }

    pub fn isolate_from_peers(&self, i: usize, for_ms: u64) {
        for other in 0..self.nodes.borrow().len() {
            self.cut_peers(i, other, for_ms);
        }
    }

    /// Cuts the connection between two nodes in both directions.
    pub fn cut_peers(&self, i: usize, j: usize, for_ms: u64) {
        self.cut(Link::Peers(i, j), for_ms);
        self.cut(Link::Peers(j, i), for_ms);
    }

    pub fn isolate(&self, i: usize, for_ms: u64) {
        self.isolate_from_peers(i, for_ms);
        self.cut(Link::ToTable(i), for_ms);
        self.cut(Link::FromTable(i), for_ms);
    }

    pub fn leases(&self, i: usize) -> Option<Rc<SimLeases>> {
        self.nodes.borrow()[i].leases.clone()
    }

    pub fn member(&self, i: usize) -> Member {
        self.nodes.borrow()[i].member.clone()
    }

    pub fn row(&self, shard: &ShardId) -> Option<LeaseRow> {
        self.rows.borrow().get(&LeaseRow::key(shard)).and_then(|r| LeaseRow::decode(&r.value))
    }

    pub fn holder(&self, shard: &ShardId) -> Option<usize> {
        let nodes = self.nodes.borrow();
        nodes.iter().position(|n| n.leases.as_ref().is_some_and(|l| l.held(shard).is_some()))
    }

    pub fn holders(&self) -> Vec<Option<usize>> {
        self.shards.borrow().iter().map(|shard| self.holder(shard)).collect()
    }

    /// Advances time and checks the invariants at every millisecond.
    pub async fn run_for(&self, ms: u64) {
        let end = self.now_ms() + ms;
        while self.now_ms() < end {
            sleep(Duration::from_millis(1)).await;
            for shard in self.shards.borrow().iter() {
                self.check_invariants(shard);
            }
        }
    }

    fn check_invariants(&self, shard: &ShardId) {
        let mut nodes = self.nodes.borrow_mut();
        let held = |n: &Node| n.leases.as_ref().and_then(|leases| leases.held(shard));
        let holders: Vec<usize> = (0..nodes.len()).filter(|i| held(&nodes[*i]).is_some()).collect();
        let now = self.now_ms();
        assert!(holders.len() <= 1, "at {now} ms {shard} is held by {holders:?}");
        let Some(&i) = holders.first() else { return };
        let node = &mut nodes[i];
        let fencing = held(node).unwrap().fencing;
        if let ShardId::Pool { region, .. } = shard {
            assert_eq!(*region, node.member.region, "{shard} is held outside its region");
        }
        let incarnation = node.member.incarnation;
        let mut last_holders = self.last_holders.borrow_mut();
        if let Some(&(was, was_incarnation, was_fencing, seen)) = last_holders.get(shard) {
            if (was, was_incarnation) == (i, incarnation) {
                assert!(fencing >= was_fencing, "fencing of {shard} fell at {now} ms");
            } else {
                assert!(fencing > was_fencing, "fencing of {shard} did not grow at {now} ms");
                let seen_at = node.clock.offset_ms + seen * node.clock.rate_permille / 1000;
                let end = previous_end(node, shard, fencing);
                assert!(seen_at <= end.as_ms() + 1, "{shard} at {now} ms: wrong previous end");
            }
        }
        last_holders.insert(shard.clone(), (i, incarnation, fencing, now));
    }

    fn is_cut(&self, link: Link) -> bool {
        self.cuts.borrow().get(&link).is_some_and(|until| self.now_ms() < *until)
    }

    fn latency(&self) -> Duration {
        Duration::from_millis(self.random.borrow_mut().random_range(1..10))
    }

    fn apply(&self, transaction: &Transaction) -> CommitOutcome {
        let mut rows = self.rows.borrow_mut();
        for condition in &transaction.conditions {
            if rows.get(&condition.key).map(|row| row.revision) != condition.revision {
                return CommitOutcome::Conflict { key: condition.key.clone() };
            }
        }
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        for write in &transaction.writes {
            let value = write.value.clone().unwrap();
            rows.insert(write.key.clone(), Row { value, revision });
        }
        CommitOutcome::Applied { revision }
    }

    /// A call to the table. It continues if the caller gives up.
    async fn call_table<A: 'static>(
        self: &Rc<Simulation>,
        node: usize,
        is_write: bool,
        run: impl FnOnce(&Simulation) -> A + 'static,
    ) -> Result<A, StoreError> {
        let fault = self.table_fault.get().filter(|(_, until)| self.now_ms() < *until);
        let (before_ms, after_ms, is_answered) = match fault.map(|(fault, _)| fault) {
            Some(TableFault::RejectsCalls) => {
                let reason = "down".into();
                return Err(StoreError::Unavailable { address: "table".into(), reason });
            }
            Some(TableFault::Unresponsive) => return std::future::pending().await,
            Some(TableFault::LosesResponses) => (0, 0, false),
            Some(TableFault::Slow(before, after)) => (before, after, true),
            Some(TableFault::DelayedResponses(late)) if is_write => (0, late, true),
            Some(TableFault::DelayedWrites(late)) if is_write => (late, 0, false),
            _ => (0, 0, true),
        };
        let (sender, receiver) = oneshot::channel();
        let sim = self.clone();
        spawn_local(async move {
            sleep(sim.latency() + Duration::from_millis(before_ms)).await;
            if sim.is_cut(Link::ToTable(node)) {
                return std::future::pending().await;
            }
            let answer = run(&sim);
            sleep(sim.latency() + Duration::from_millis(after_ms)).await;
            if !is_answered || sim.is_cut(Link::FromTable(node)) {
                return std::future::pending().await;
            }
            let _ = sender.send(answer);
        });
        Ok(receiver.await.unwrap())
    }
}

fn previous_end(node: &mut Node, shard: &ShardId, gained: FencingToken) -> Instant {
    let events = node.events.as_mut().unwrap();
    while let Ok(event) = events.try_recv() {
        if let LeaseEvent::Gained { shard: of, fencing, previous_end } = event
            && (&of, fencing) == (shard, gained)
        {
            return previous_end;
        }
    }
    panic!("{shard} is held without an event of its acquisition");
}

/// The table and the network as seen by one node.
#[derive(Clone)]
pub struct NodeEnvironment {
    sim: Rc<Simulation>,
    node: usize,
}

impl Table for NodeEnvironment {
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError> {
        let keys = keys.to_vec();
        let read = move |sim: &Simulation| {
            let rows = sim.rows.borrow();
            keys.iter().map(|key| rows.get(key).cloned()).collect()
        };
        self.sim.call_table(self.node, false, read).await
    }

    async fn scan(&self, _: &str, _: &str, _: usize) -> Result<Vec<(String, Row)>, StoreError> {
        unreachable!("leases do not scan")
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError> {
        let transaction = transaction.clone();
        self.sim.call_table(self.node, true, move |sim| sim.apply(&transaction)).await
    }
}

impl NodeEnvironment {
    /// A call to a peer. A paused peer handles it when it resumes.
    async fn call_peer<F: FnOnce(&SimLeases) -> bool + 'static>(
        &self,
        to: &InstanceId,
        vote: F,
    ) -> bool {
        let (sim, from) = (self.sim.clone(), self.node);
        let to = sim.nodes.borrow().iter().position(|n| n.member.instance == *to).unwrap();
        let (sender, receiver) = oneshot::channel();
        spawn_local(async move {
            sleep(sim.latency()).await;
            if sim.is_cut(Link::Peers(from, to)) {
                return std::future::pending().await;
            }
            let until = sim.nodes.borrow()[to].paused_until_ms.get();
            sleep(Duration::from_millis(until.saturating_sub(sim.now_ms()))).await;
            let Some(leases) = sim.leases(to) else { return };
            let answer = vote(&leases);
            sleep(sim.latency()).await;
            if sim.is_cut(Link::Peers(to, from)) {
                return std::future::pending().await;
            }
            let _ = sender.send(answer);
        });
        receiver.await.unwrap_or(false)
    }
}

impl Witnesses for NodeEnvironment {
    /// A dead instance stays in the view for 5 s.
    fn candidates(&self) -> Vec<Member> {
        let (sim, own) = (&self.sim, self.node);
        let nodes = sim.nodes.borrow();
        let is_live = |i: usize| {
            let m = &nodes[i].member;
            let died = sim.died_at_ms.borrow().get(&(m.instance.clone(), m.incarnation)).copied();
            let is_known =
                nodes[i].leases.is_some() || died.is_some_and(|died| sim.now_ms() < died + 5000);
            let is_cut = sim.is_cut(Link::Peers(own, i)) || sim.is_cut(Link::Peers(i, own));
            is_known && (i == own || !is_cut)
        };
        (0..nodes.len()).filter(|i| is_live(*i)).map(|i| nodes[i].member.clone()).collect()
    }

    fn is_gone(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let died = self.sim.died_at_ms.borrow().get(&(instance.clone(), incarnation)).copied();
        died.is_some_and(|died| died + 60_000 < self.sim.now_ms())
    }

    async fn extend(&self, witness: &InstanceId, claim: LeaseClaim) -> bool {
        self.call_peer(witness, move |leases| leases.extend(&claim)).await
    }

    async fn consent(&self, witness: &InstanceId, claim: LeaseClaim) -> bool {
        self.call_peer(witness, move |leases| leases.consent(&claim)).await
    }
}
