//! Property test with random schedules of concurrent edits by two operators, store and network
//! faults, and restarts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use almondroad::config::{
    Change, ChangeRow, ConfigError, DocumentText, Head, SECTIONS, Splice, check_document,
};
use almondroad::units::{ContentHash, Version};
use proptest::prelude::*;
use tokio::time::Instant;

use crate::fakes::{CommitFault, Config, FakeNetwork, FakeStore};
use crate::{document, fleet, proptest_config, rates, run_paused, sleep_ms};

const INSTANCES: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    /// An operator edits through an instance, based on the version that is active there.
    Edit {
        instance: usize,
        is_zones: bool,
        fault: CommitFault,
    },
    Wait {
        ms: u64,
    },
    StaleReads {
        instance: usize,
        by: usize,
    },
    ObjectsMissing {
        instance: usize,
        missing: bool,
    },
    StoreDown {
        instance: usize,
        down: bool,
    },
    Cut {
        instance: usize,
        cut: bool,
    },
    LosePushes {
        lose: bool,
    },
    Restart {
        instance: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        4 => Just(CommitFault::None),
        1 => Just(CommitFault::LoseAnswer),
        1 => Just(CommitFault::WriteLate),
        1 => Just(CommitFault::Drop),
        1 => Just(CommitFault::Repeat),
    ];
    let instance = 0..INSTANCES;
    let flag = any::<bool>;
    prop_oneof![
        6 => (instance.clone(), flag(), fault)
            .prop_map(|(instance, is_zones, fault)| Step::Edit { instance, is_zones, fault }),
        4 => prop_oneof![0..5u64, 100..4000u64].prop_map(|ms| Step::Wait { ms }),
        1 => (instance.clone(), 0..3usize)
            .prop_map(|(instance, by)| Step::StaleReads { instance, by }),
        1 => (instance.clone(), flag())
            .prop_map(|(instance, missing)| Step::ObjectsMissing { instance, missing }),
        1 => (instance.clone(), flag()).prop_map(|(instance, down)| Step::StoreDown { instance, down }),
        1 => (instance.clone(), flag()).prop_map(|(instance, cut)| Step::Cut { instance, cut }),
        1 => flag().prop_map(|lose| Step::LosePushes { lose }),
        1 => instance.prop_map(|instance| Step::Restart { instance }),
    ]
}

type Outcome = Result<Version, ConfigError>;

#[derive(Default)]
struct EditHistory {
    /// Outcome and completion time of each edit, by the edit's number.
    edits: RefCell<HashMap<u64, (Outcome, Instant)>>,
    violations: RefCell<Vec<String>>,
}

fn section_text(is_zones: bool, number: u64) -> (&'static str, &'static str, String) {
    if is_zones {
        let text = format!(r#"{{ "north": {{ "region": "khomas" }} /* edit {number} */ }}"#);
        ("platform", "zones", text)
    } else {
        ("traffic", "rates", rates(number))
    }
}

async fn execute_step(
    step: Step,
    number: u64,
    network: &Rc<FakeNetwork>,
    history: &Rc<EditHistory>,
) {
    let name = |instance: usize| format!("i{instance}");
    let store = |instance: usize| network.stores()[instance].clone();
    match step {
        Step::Edit { instance, is_zones, fault } => {
            store(instance).faults.next_commit.set(fault);
            let (config, history) = (network.config(&name(instance)), Rc::clone(history));
            let base = config.current().version;
            let (credential, section, text) = section_text(is_zones, number);
            tokio::task::spawn_local(async move {
                let outcome = config.edit(credential, section, base, &text).await;
                history.edits.borrow_mut().insert(number, (outcome, Instant::now()));
            });
        }
        Step::Wait { ms } => sleep_ms(ms).await,
        Step::StaleReads { instance, by } => store(instance).faults.stale_by.set(by),
        Step::ObjectsMissing { instance, missing } => {
            store(instance).faults.objects_missing.set(missing);
        }
        Step::StoreDown { instance, down } => store(instance).faults.down.set(down),
        Step::Cut { instance, cut: true } => {
            network.cut.borrow_mut().insert(name(instance));
        }
        Step::Cut { instance, cut: false } => {
            network.cut.borrow_mut().remove(&name(instance));
        }
        Step::LosePushes { lose } => network.loses_pushes.set(lose),
        Step::Restart { instance } => {
            let store = store(instance);
            let edits = history.edits.borrow().clone();
            let accepted = edits.values().filter_map(|(outcome, _)| outcome.clone().ok()).max();
            let started = network.start(&name(instance), store.clone()).await.current().version;
            network.run(&name(instance));
            let faults = &store.faults;
            let reads_store =
                !faults.down.get() && !faults.objects_missing.get() && faults.stale_by.get() == 0;
            if reads_store && Some(started) < accepted {
                let fault = format!("i{instance}: restarted at {started}, below {accepted:?}");
                history.violations.borrow_mut().push(fault);
            }
        }
    }
}

/// Checks every 50 ms that the version of an instance never decreases while it runs and, unless
/// reads of the store may be stale, that no instance is still confirmed at an older version 3 s
/// after a newer one was accepted.
async fn check_continuously(
    network: Rc<FakeNetwork>,
    history: Rc<EditHistory>,
    is_store_fresh: bool,
) {
    // Keeps the configurations alive so that their addresses, used as keys, are not reused.
    let mut seen: HashMap<*const Config, (Rc<Config>, Version)> = HashMap::new();
    loop {
        sleep_ms(50).await;
        for (name, config) in network.all() {
            let version = config.current().version;
            let before = seen.insert(Rc::as_ptr(&config), (Rc::clone(&config), version));
            let before = before.map_or(version, |(_, before)| before);
            let fail =
                |text: String| history.violations.borrow_mut().push(format!("{name}: {text}"));
            if version < before {
                fail(format!("version decreased from {before} to {version}"));
            }
            for (outcome, at) in history.edits.borrow().values() {
                let is_late = at.elapsed().as_millis() > 3000;
                if let Ok(accepted) = outcome
                    && is_store_fresh
                    && is_late
                    && *accepted > version
                    && config.is_confirmed()
                {
                    fail(format!("still confirmed at {version}, although {accepted} was accepted"));
                }
            }
        }
    }
}

/// Removes all faults and waits until the fleet has converged.
async fn clear_faults(network: &Rc<FakeNetwork>) {
    network.cut.borrow_mut().clear();
    for store in network.stores() {
        store.faults.stale_by.set(0);
        store.faults.objects_missing.set(false);
        store.faults.down.set(false);
        store.faults.next_commit.take();
    }
    sleep_ms(30_000).await;
}

/// Reconstructs the texts of all versions from the change rows and checks their hashes.
fn texts(store: &FakeStore) -> Vec<(Change, DocumentText)> {
    let head: Head = serde_json::from_str(&store.value(Head::KEY).unwrap()).unwrap();
    let mut text = DocumentText::parse(&document()).unwrap();
    let mut texts = Vec::new();
    for version in 1..=head.version.get() {
        let row = store.value(&ChangeRow::key(Version(version))).unwrap();
        let change = serde_json::from_str::<ChangeRow>(&row).unwrap().change;
        if !change.section.starts_with('@') {
            let spliced = Splice::of_change(&change).apply(text.as_str()).unwrap();
            text = DocumentText::parse(&spliced).unwrap();
        }
        assert_eq!(ContentHash::of_bytes(text.as_str().as_bytes()), change.content_hash);
        texts.push((change, text.clone()));
    }
    assert_eq!(texts.last().unwrap().1.content_hash(), head.hash);
    texts
}

fn verify(network: &FakeNetwork, history: &EditHistory) {
    assert_eq!(*history.violations.borrow(), Vec::<String>::new());
    let texts = texts(&network.stores()[0]);
    for pair in texts.windows(2) {
        let [(_, before), (change, after)] = pair else { unreachable!() };
        for section in SECTIONS.iter().filter(|section| **section != change.section) {
            assert_eq!(before.section(section), after.section(section), "{}", change.version);
        }
    }
    for (number, (outcome, _)) in history.edits.borrow().iter() {
        let marks = [format!("edit {number} "), format!(": {number},")];
        let has = |text: &DocumentText| marks.iter().any(|mark| text.as_str().contains(mark));
        let versions = texts.windows(2).filter(|pair| !has(&pair[0].1) && has(&pair[1].1));
        let versions: Vec<_> = versions.map(|pair| pair[1].0.version).collect();
        match outcome {
            Ok(version) => assert_eq!(versions, [*version], "accepted edit {number}"),
            Err(ConfigError::OutcomeUnknown { version }) => {
                assert!(
                    versions.is_empty() || versions == [*version],
                    "unknown edit {number}: {versions:?}"
                );
            }
            Err(error) => assert!(versions.is_empty(), "edit {number}, {error}: {versions:?}"),
        }
    }
    let (newest, text) = texts.last().unwrap();
    for (name, config) in network.all() {
        assert_eq!(config.current().version, newest.version, "{name}");
        assert_eq!(config.current().text, *text, "{name}");
        let read = check_document(text.as_str()).0;
        assert_eq!(Some(&*config.current().document), read.as_ref(), "{name}");
        assert!(config.is_confirmed(), "{name}");
    }
}

proptest! {
    #![proptest_config(proptest_config(300))]

    /// Guards against lost or repeated edits, decreasing versions, modified bytes in other
    /// sections, and instances that stay confirmed after a newer version was accepted.
    #[test]
    fn accepted_edits_survive_races_faults_and_restarts(
        steps in prop::collection::vec(step(), 1..40)
    ) {
        run_paused(async {
            let network = fleet(INSTANCES).await;
            let history = Rc::new(EditHistory::default());
            let is_store_fresh = !steps.iter().any(|step| matches!(step, Step::StaleReads { .. }));
            let checker =
                tokio::task::spawn_local(check_continuously(
                    Rc::clone(&network),
                    Rc::clone(&history),
                    is_store_fresh,
                ));
            for (index, step) in steps.into_iter().enumerate() {
                execute_step(step, 1000 + index as u64, &network, &history).await;
            }
            clear_faults(&network).await;
            checker.abort();
            verify(&network, &history);
        });
    }
}
