//! In-memory table, object store and peers with fault injection: lost, late and repeated calls.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use almondroad::clock::TokioClock;
use almondroad::config::{Change, ConfigPeers, Configuration, Snapshot, Witness};
use almondroad::peer::Member;
use almondroad::store::{CommitOutcome, ObjectStore, Row, StoreError, Table, Transaction};
use almondroad::units::{ContentHash, Incarnation, InstanceId, Version};
use bytes::Bytes;

pub type Config = Configuration<FakeStore, FakeStore, TokioClock, FakePeers>;
type Rows = BTreeMap<String, Row>;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CommitFault {
    #[default]
    None,
    /// The write takes effect, but its response is lost.
    LoseAnswer,
    /// The call fails immediately without a response; the write takes effect 600 ms later.
    WriteLate,
    /// The call has no effect and no response.
    Drop,
    /// The call is delivered twice and the second response is returned.
    Repeat,
}

#[derive(Default)]
struct Shared {
    rows: Rows,
    /// Snapshots of the rows after each commit, for stale reads.
    history: Vec<Rows>,
    objects: HashMap<ContentHash, Bytes>,
    revision: u64,
}

#[derive(Default)]
pub struct Faults {
    pub next_commit: Cell<CommitFault>,
    /// Reads return the rows as they were this many commits ago.
    pub stale_by: Cell<usize>,
    /// Delay between a read and its response.
    pub read_answer_ms: Cell<u64>,
    pub objects_missing: Cell<bool>,
    pub down: Cell<bool>,
    /// Calls never complete.
    pub stalled: Cell<bool>,
    pub objects_put: Cell<u32>,
}

/// One instance's client of the shared store, with its own faults.
#[derive(Clone, Default)]
pub struct FakeStore {
    shared: Rc<RefCell<Shared>>,
    pub faults: Rc<Faults>,
}

impl FakeStore {
    pub fn for_other_instance(&self) -> FakeStore {
        FakeStore { shared: Rc::clone(&self.shared), faults: Rc::default() }
    }

    pub fn value(&self, key: &str) -> Option<String> {
        self.shared.borrow().rows.get(key).map(|row| row.value.clone())
    }

    async fn reach(&self) -> Result<(), StoreError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        if self.faults.stalled.get() {
            std::future::pending::<()>().await;
        }
        if self.faults.down.get() {
            let (address, reason) = ("fake".into(), "down".into());
            return Err(StoreError::Unavailable { address, reason });
        }
        Ok(())
    }

    fn apply(&self, transaction: &Transaction) -> CommitOutcome {
        let mut shared = self.shared.borrow_mut();
        for condition in &transaction.conditions {
            if shared.rows.get(&condition.key).map(|row| row.revision) != condition.revision {
                return CommitOutcome::Conflict { key: condition.key.clone() };
            }
        }
        shared.revision += 1;
        let revision = shared.revision;
        for write in transaction.writes.iter().cloned() {
            match write.value {
                Some(value) => shared.rows.insert(write.key, Row { value, revision }),
                None => shared.rows.remove(&write.key),
            };
        }
        let rows = shared.rows.clone();
        shared.history.push(rows);
        CommitOutcome::Applied { revision }
    }
}

fn unanswered<T>() -> Result<T, StoreError> {
    Err(StoreError::Unanswered { address: "fake".into(), reason: "lost".into() })
}

impl Table for FakeStore {
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError> {
        self.reach().await?;
        let rows = {
            let shared = self.shared.borrow();
            let stale = shared.history.len().checked_sub(1 + self.faults.stale_by.get());
            let rows = stale.map_or(&shared.rows, |index| &shared.history[index]);
            keys.iter().map(|key| rows.get(key).cloned()).collect()
        };
        tokio::time::sleep(Duration::from_millis(self.faults.read_answer_ms.get())).await;
        Ok(rows)
    }

    async fn scan(
        &self,
        _prefix: &str,
        _after: &str,
        _limit: usize,
    ) -> Result<Vec<(String, Row)>, StoreError> {
        unanswered()
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError> {
        self.reach().await?;
        match self.faults.next_commit.take() {
            CommitFault::None => Ok(self.apply(transaction)),
            CommitFault::Drop => unanswered(),
            CommitFault::LoseAnswer => {
                self.apply(transaction);
                unanswered()
            }
            CommitFault::Repeat => {
                self.apply(transaction);
                Ok(self.apply(transaction))
            }
            CommitFault::WriteLate => {
                let (store, transaction) = (self.clone(), transaction.clone());
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_millis(600)).await;
                    store.apply(&transaction);
                });
                unanswered()
            }
        }
    }
}

impl ObjectStore for FakeStore {
    async fn put(&self, content: Bytes) -> Result<ContentHash, StoreError> {
        self.reach().await?;
        let hash = ContentHash::of_bytes(&content);
        self.shared.borrow_mut().objects.insert(hash, content);
        self.faults.objects_put.set(self.faults.objects_put.get() + 1);
        Ok(hash)
    }

    async fn get(&self, hash: ContentHash) -> Result<Option<Bytes>, StoreError> {
        self.reach().await?;
        let found = !self.faults.objects_missing.get();
        Ok(self.shared.borrow().objects.get(&hash).filter(|_| found).cloned())
    }
}

/// In-process network of a fleet's instances, which call each other directly.
#[derive(Default)]
pub struct FakeNetwork {
    instances: RefCell<BTreeMap<String, FakeInstance>>,
    /// Instances disconnected from all others.
    pub cut: RefCell<HashSet<String>>,
    /// Instances that count as live but never answer.
    pub silent: RefCell<HashSet<String>>,
    /// Whether pushed changes are lost.
    pub loses_pushes: Cell<bool>,
    incarnations: Cell<u64>,
}

pub struct FakeInstance {
    pub config: Rc<Config>,
    pub store: FakeStore,
    pub witness: Witness,
    clock: TokioClock,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

#[derive(Clone)]
pub struct FakePeers {
    network: Rc<FakeNetwork>,
    local_name: String,
}

impl FakeNetwork {
    /// Starts an instance. A previous incarnation of it is killed first.
    pub async fn start(self: &Rc<FakeNetwork>, name: &str, store: FakeStore) -> Rc<Config> {
        self.kill(name);
        self.incarnations.set(self.incarnations.get() + 1);
        let incarnation = Incarnation(self.incarnations.get());
        let witness = Witness { instance: InstanceId::new(name), incarnation };
        let peers = FakePeers { network: Rc::clone(self), local_name: name.into() };
        let clock = TokioClock::new();
        let config = Rc::new(Configuration::new(
            store.clone(),
            store.clone(),
            clock,
            peers,
            witness.clone(),
        ));
        let entry =
            FakeInstance { config: Rc::clone(&config), store, witness, clock, tasks: Vec::new() };
        self.instances.borrow_mut().insert(name.into(), entry);
        config.start().await;
        Rc::clone(&config)
    }

    pub fn run(&self, name: &str) {
        let mut instances = self.instances.borrow_mut();
        let entry = instances.get_mut(name).unwrap();
        entry.tasks.push(tokio::task::spawn_local(Rc::clone(&entry.config).run()));
    }

    pub fn kill(&self, name: &str) {
        if let Some(entry) = self.instances.borrow_mut().remove(name) {
            entry.tasks.iter().for_each(|task| task.abort());
        }
    }

    pub fn config(&self, name: &str) -> Rc<Config> {
        Rc::clone(&self.instances.borrow()[name].config)
    }

    pub fn clock(&self, name: &str) -> TokioClock {
        self.instances.borrow()[name].clock
    }

    pub fn all(&self) -> Vec<(String, Rc<Config>)> {
        let instances = self.instances.borrow();
        instances.iter().map(|(name, entry)| (name.clone(), Rc::clone(&entry.config))).collect()
    }

    pub fn stores(&self) -> Vec<FakeStore> {
        self.instances.borrow().values().map(|entry| entry.store.clone()).collect()
    }
}

impl FakePeers {
    fn is_cut(&self, other: &str) -> bool {
        let cut = self.network.cut.borrow();
        other != self.local_name && (cut.contains(&self.local_name) || cut.contains(other))
    }

    async fn reach(&self, name: &InstanceId) -> Option<Rc<Config>> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        if self.is_cut(name.as_str()) || self.network.silent.borrow().contains(name.as_str()) {
            std::future::pending::<()>().await;
        }
        let instances = self.network.instances.borrow();
        instances.get(name.as_str()).map(|entry| Rc::clone(&entry.config))
    }
}

impl ConfigPeers for FakePeers {
    fn members(&self) -> Vec<Member> {
        let instances = self.network.instances.borrow();
        let reachable = instances.iter().filter(|(name, _)| !self.is_cut(name));
        let member = |(index, (_, entry)): (usize, (&String, &FakeInstance))| Member {
            instance: entry.witness.instance.clone(),
            incarnation: entry.witness.incarnation,
            peer_address: "".into(),
            http_address: "".into(),
            zone: format!("zone-{}", index % 3).parse().unwrap(),
            region: "region".parse().unwrap(),
            is_leaving: false,
            heartbeat_counter: 0,
            load_permille: 0,
        };
        reachable.enumerate().map(member).collect()
    }

    fn is_gone(&self, witness: &Witness) -> bool {
        // An incarnation is known to have ended only once a later one has started.
        let instances = self.network.instances.borrow();
        instances.get(witness.instance.as_str()).is_some_and(|entry| entry.witness != *witness)
    }

    async fn note_version(&self, witness: &Witness, version: Version) -> bool {
        let config = self.reach(&witness.instance).await;
        config.is_some_and(|config| config.note_version(version, witness.incarnation))
    }

    async fn noted_version(&self, witness: &Witness) -> Option<Version> {
        self.reach(&witness.instance).await?.noted_version(witness.incarnation)
    }

    async fn push_to(&self, witness: &Witness, change: &Change) -> Option<Version> {
        let config = self.reach(&witness.instance).await?;
        (config.noted_version(witness.incarnation).is_some()).then(|| config.apply(change.clone()))
    }

    async fn changes_since(
        &self,
        peer: &InstanceId,
        version: Version,
    ) -> Option<(Vec<Change>, Version)> {
        let config = self.reach(peer).await?;
        Some((config.changes_since(version), config.current().version))
    }

    async fn snapshot(&self, peer: &InstanceId) -> Option<Snapshot> {
        Some(self.reach(peer).await?.snapshot())
    }

    fn push(&self, change: &Change) {
        if self.network.loses_pushes.get() {
            return;
        }
        for (name, _) in self.network.all() {
            let (peers, change) = (self.clone(), change.clone());
            tokio::task::spawn_local(async move {
                if let Some(config) = peers.reach(&InstanceId::new(&name)).await {
                    config.apply(change);
                }
            });
        }
    }
}
