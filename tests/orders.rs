//! Role changes and loads that a pool's owner orders, on a paused clock and small engines.

#[path = "pool/fakes.rs"]
#[allow(dead_code)]
mod fakes;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use almondroad::clock::Clock;
use almondroad::config::{Adapter, Document, Endpoint, Role, ServiceState};
use almondroad::engine::{Engine, EngineState, Order, OrderRequest};
use almondroad::pool::{Admission, AdmitAnswer, AttemptEnd, Plan, WeightLoadLimiter};
use almondroad::units::{EndpointId, FencingToken, ModelId};
use fakes::*;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

const SMALL: &[(&str, &str, u32)] =
    &[("p0f", "a", 8), ("p1f", "a", 8), ("d0f", "a", 8), ("d1f", "a", 8), ("d2f", "a", 8)];

async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

fn want_role(document: &mut Document, id: &str, role: Role) {
    let Some(Endpoint::Engine(entry)) =
        Rc::make_mut(&mut document.endpoints).get_mut(&EndpointId::new(id))
    else {
        panic!("no engine")
    };
    entry.role = role;
}

fn want_revision(document: &mut Document, revision: &str) {
    document.models.get_mut(&ModelId::new("m")).unwrap().revision = revision.into();
}

/// Engines of the document's endpoints that have revision 1.
fn engines_at_1(ids: &[(&str, &str, u32)]) -> Engines {
    use almondroad::pool::EngineFactory;
    let engines = Engines::default();
    for (id, ..) in ids {
        let engine = engines.engine(id);
        let models = [(ModelId::new("m"), "1".into())];
        engine.state.borrow_mut().models = Some(models.into());
    }
    engines
}

fn revision(owner: &Owner, id: &str) -> String {
    let state: EngineState = owner.engine(id).state.borrow().clone();
    state.models.unwrap()[&ModelId::new("m")].to_string()
}

fn orders(owner: &Owner, id: &str) -> Vec<(u64, Order)> {
    let engine = owner.engine(id);
    let orders = engine.orders.borrow();
    orders.iter().map(|request| (request.fencing.get(), request.order.clone())).collect()
}

fn load(revision: &str) -> Order {
    Order::LoadModel { model: ModelId::new("m"), revision: revision.into() }
}

/// Waits until no endpoint needs a change. Returns the milliseconds that it took.
async fn settled(owner: &Owner, limit_ms: u64) -> u64 {
    let begun = Instant::now();
    // A new owner has first to hear from its endpoints.
    sleep_ms(500).await;
    while owner
        .pools
        .status(&shard())
        .iter()
        .any(|s| s.is_changing || s.next_order.is_some() || s.role != s.wanted_role)
    {
        sleep_ms(50).await;
        let waited = begun.elapsed();
        let status = owner.pools.status(&shard());
        assert!(waited < Duration::from_millis(limit_ms), "not settled: {status:?}");
    }
    begun.elapsed().as_millis() as u64
}

/// An owner with four running attempts, whose document now wants another role of `d2f`.
async fn busy_owner_with_role_change() -> (Owner, Vec<(Admission, Plan)>) {
    let mut document = document(SMALL, &[]);
    let owner = Owner::start(&document, &Engines::default()).await;
    sleep_ms(5000).await;
    let mut live = Vec::new();
    for sequence in 1..=4 {
        let request = admission("g", sequence, "o");
        live.push((request.clone(), owner.run(request).await));
    }
    want_role(&mut document, "d2f", Role::Prefill);
    owner.pools.set_document(Rc::new(document));
    (owner, live)
}

/// Guards against an order to an endpoint that still runs work, work for a role that the engine
/// does not have, and a changed endpoint that is taken for warm.
#[tokio::test(start_paused = true)]
async fn a_role_change_drains_the_endpoint_first() {
    local(async {
        let (owner, live) = busy_owner_with_role_change().await;
        for second in 1..=6 {
            sleep_ms(1000).await;
            let attempts: Vec<_> = live.iter().map(|(a, plan)| (a, plan, 20 * second)).collect();
            owner.report("g", &attempts);
        }
        assert!(owner.status("d2f").is_changing);
        assert_eq!(orders(&owner, "d2f"), []);
        let plan = owner.run(admission("g", 7, "o")).await;
        assert_ne!(plan.decode.as_str(), "d2f");
        for (request, plan) in &live {
            owner.engine(plan.decode.as_str()).held.borrow_mut().remove(&request.attempt);
            owner.finish(&request.attempt, AttemptEnd::Completed, None);
        }
        settled(&owner, 5000).await;
        assert_eq!(orders(&owner, "d2f"), [(7, Order::SetRole { role: "prefill".into() })]);
        let status = owner.status("d2f");
        assert_eq!((status.role, status.slot_limit), (Role::Prefill, 2));
    })
    .await;
}

/// Guards against a drain without end: what runs at its deadline is moved.
#[tokio::test(start_paused = true)]
async fn what_runs_at_the_drain_deadline_is_cancelled() {
    local(async {
        let (owner, live) = busy_owner_with_role_change().await;
        for second in 1..=70 {
            let attempts: Vec<_> = live.iter().map(|(a, plan)| (a, plan, 20 * second)).collect();
            owner.report("g", &attempts);
            if second < 59 {
                assert_eq!(orders(&owner, "d2f"), []);
            }
            sleep_ms(1000).await;
        }
        assert_eq!(orders(&owner, "d2f").len(), 1);
        let cancelled = owner.engine("d2f").cancelled.borrow().len();
        let there = live.iter().filter(|(_, plan)| plan.decode.as_str() == "d2f").count();
        assert_eq!((cancelled, there), (1, 1));
        for id in ["d0f", "d1f"] {
            assert!(owner.engine(id).cancelled.borrow().is_empty());
        }
    })
    .await;
}

/// Guards against a second load when the answer to the order was lost after it took effect.
#[tokio::test(start_paused = true)]
async fn an_order_whose_answer_is_lost_is_not_carried_out_twice() {
    local(async {
        let mut document = document(SMALL, &[]);
        let owner = Owner::start(&document, &engines_at_1(SMALL)).await;
        for (id, ..) in SMALL {
            owner.engine(id).order_answers_to_lose.set(1);
        }
        want_revision(&mut document, "2");
        owner.pools.set_document(Rc::new(document));
        settled(&owner, 120_000).await;
        for (id, ..) in SMALL {
            assert_eq!(orders(&owner, id), [(7, load("2"))], "{id}");
        }
    })
    .await;
}

/// Guards against an order that is taken for done because it was answered: the engine restarts
/// without having carried it out.
#[tokio::test(start_paused = true)]
async fn an_order_without_effect_is_sent_again() {
    local(async {
        let mut document = document(SMALL, &[]);
        let owner = Owner::start(&document, &Engines::default()).await;
        want_role(&mut document, "d2f", Role::Prefill);
        owner.pools.set_document(Rc::new(document));
        while orders(&owner, "d2f").is_empty() {
            sleep_ms(1).await;
        }
        owner.engine("d2f").state.borrow_mut().roles = vec![Role::Decode];
        settled(&owner, 10_000).await;
        assert_eq!(orders(&owner, "d2f").len(), 2);
        assert_eq!(owner.status("d2f").role, Role::Prefill);
    })
    .await;
}

/// Guards against a change that ends with its owner, a load that the new owner begins again, and
/// endpoints that are taken out besides the one that the old owner took out.
#[tokio::test(start_paused = true)]
async fn a_new_owner_goes_on_with_a_change() {
    local(async {
        let mut document = document(SMALL, &[]);
        let engines = engines_at_1(SMALL);
        let old = Owner::start(&document, &engines).await;
        want_revision(&mut document, "2");
        old.pools.set_document(Rc::new(document.clone()));
        while old.engine("p0f").state.borrow().loading.is_none() {
            sleep_ms(1).await;
        }
        old.has_lease.set(false);
        old.stop();
        let new = Owner::gain_with(&document, &engines, FencingToken(8), None);
        let begun = new.clock.now();
        settled(&new, 120_000).await;
        assert_eq!(orders(&new, "p0f"), [(7, load("2"))]);
        for id in ["p1f", "d0f", "d1f", "d2f"] {
            assert_eq!(orders(&new, id), [(8, load("2"))], "{id}");
        }
        assert!(new.clock.now().ms_since(begun) > 3000);
    })
    .await;
}

/// Guards against an owner that orders without its lease, and against the effect of a late order
/// of the old owner: an engine that checks fencing refuses it; at one that does not, the new owner
/// orders only after it must have arrived, and sees what it did.
#[tokio::test(start_paused = true)]
async fn late_orders_of_an_old_owner_do_no_harm() {
    local(async {
        let ids = [("p0", "a", 8), ("p1", "a", 8), ("d0", "a", 8), ("d1", "a", 8), ("d2f", "a", 8)];
        let mut document = document(&ids, &[]);
        let engines = Engines::default();
        let old = Owner::start(&document, &engines).await;
        old.has_lease.set(false);
        sleep_ms(50).await;
        let order = Order::SetRole { role: "prefill".into() };
        let late = old.pools.order(&shard(), &EndpointId::new("d2f"), order).await;
        assert!(late.is_err());
        assert_eq!(orders(&old, "d2f"), []);
        want_role(&mut document, "p1", Role::Decode);
        let new = Owner::gain_with(&document, &engines, FencingToken(8), None);
        for _ in 0..40 {
            assert_eq!(orders(&new, "p1"), []);
            sleep_ms(50).await;
        }
        // Arrives just before the end of the time in which it can be in flight.
        new.engine("d0").state.borrow_mut().roles = vec![Role::Prefill];
        settled(&new, 20_000).await;
        assert_eq!(new.status("d0").role, Role::Decode);
        assert_eq!(new.status("p1").role, Role::Decode);
        assert_eq!(orders(&new, "d0"), [(8, Order::SetRole { role: "decode".into() })]);
    })
    .await;
}

/// Guards against a pool that loses its last endpoint of a role, or more than a tenth of its
/// endpoints at a time, and against endpoints that are never reached.
#[tokio::test(start_paused = true)]
async fn enough_endpoints_stay_in_service() {
    local(async {
        let names: Vec<String> = (0..8)
            .map(|i| format!("p{i:02}f"))
            .chain((0..16).map(|i| format!("d{i:02}f")))
            .collect();
        let ids: Vec<(&str, &str, u32)> =
            names.iter().map(|name| (name.as_str(), "a", 8)).collect();
        let mut document = document(&ids, &[]);
        let owner = Owner::start(&document, &engines_at_1(&ids)).await;
        want_revision(&mut document, "2");
        let adapter = Adapter { revision: "5".into(), weights_bytes: 0 };
        let model = document.models.get_mut(&ModelId::new("m")).unwrap();
        model.adapters.insert("polite".into(), adapter);
        owner.pools.set_document(Rc::new(document));
        let (mut most_out, mut sequence) = (0, 0);
        let mut is_done = false;
        for _ in 0..8000 {
            let status = owner.pools.status(&shard());
            most_out = most_out.max(status.iter().filter(|s| s.is_changing).count());
            sequence += 1;
            let request = admission("g", sequence, "o");
            let AdmitAnswer::Plan(plan) = owner.admit(request.clone()).await else {
                panic!("refused: {status:?}")
            };
            let pair = (plan.prefill.as_str(), plan.decode.as_str());
            assert_eq!(revision(&owner, pair.0), revision(&owner, pair.1));
            for id in [pair.0, pair.1] {
                assert_eq!(owner.engine(id).state.borrow().loading, None);
            }
            owner.finish(&request.attempt, AttemptEnd::Completed, None);
            is_done = status.iter().all(|s| s.next_order.is_none() && !s.is_changing);
            if is_done && sequence > 10 {
                break;
            }
            sleep_ms(50).await;
        }
        assert!(is_done);
        assert_eq!(most_out, 2);
        assert!(names.iter().all(|name| revision(&owner, name) == "2"));
    })
    .await;
}

/// Guards against a slice whose only prefill endpoint is taken out. It waits and says for what.
#[tokio::test(start_paused = true)]
async fn the_last_endpoint_of_a_role_stays() {
    local(async {
        let ids = [("p0f", "a", 8), ("d0f", "a", 8), ("d1f", "a", 8)];
        let mut document = document(&ids, &[]);
        want_role(&mut document, "p0f", Role::Decode);
        want_role(&mut document, "d0f", Role::Prefill);
        let owner = Owner::start(&document, &Engines::default()).await;
        settled(&owner, 120_000).await;
        // The prefill endpoint had to wait for the new one.
        let first = orders(&owner, "d0f").len();
        assert_eq!((first, orders(&owner, "p0f").len()), (1, 1));
        let mut document = document.clone();
        want_revision(&mut document, "2");
        for id in ["p0f", "d0f", "d1f"] {
            let models = [(ModelId::new("m"), "1".into())];
            owner.engine(id).state.borrow_mut().models = Some(models.into());
        }
        owner.pools.set_document(Rc::new(document));
        sleep_ms(60_000).await;
        assert_eq!(revision(&owner, "d0f"), "1");
        let status = owner.status("d0f");
        assert!(!status.is_changing);
        assert_eq!(status.waits_for.as_deref(), Some("another prefill endpoint"));
    })
    .await;
}

/// Guards against a bad order that takes one endpoint after another out of service, and against
/// its failure being hidden.
#[tokio::test(start_paused = true)]
async fn a_refused_order_stops_at_the_first_endpoint() {
    local(async {
        let document = document(SMALL, &[]);
        let owner = Owner::start(&document, &engines_at_1(SMALL)).await;
        SMALL.iter().for_each(|(id, ..)| owner.engine(id).refuses_orders.set(true));
        let mut bad = document.clone();
        want_revision(&mut bad, "bad");
        owner.pools.set_document(Rc::new(bad));
        sleep_ms(30_000).await;
        let status = owner.pools.status(&shard());
        assert_eq!(status.iter().filter(|s| s.is_changing).count(), 1);
        let failure = owner.status("p0f").failure.unwrap();
        assert!(failure.contains("unknown_revision"), "{failure}");
        owner.pools.set_document(Rc::new(document));
        sleep_ms(1000).await;
        assert!(owner.pools.status(&shard()).iter().all(|s| !s.is_changing));
    })
    .await;
}

/// Guards against loads without a draw from the weight store's budget, also after a takeover.
#[tokio::test(start_paused = true)]
async fn each_load_is_drawn_from_the_weight_store() {
    local(async {
        const GAP: Duration = Duration::from_secs(15);
        let mut document = document(SMALL, &[]);
        let engines = engines_at_1(SMALL);
        let next = Rc::new(Cell::new(Instant::now() + GAP));
        let drawn = Rc::new(RefCell::new(0));
        let (next_draw, total) = (next.clone(), drawn.clone());
        // Grants one load every 15 s, as a budget of a burst of one load does.
        let draws: WeightLoadLimiter = Rc::new(move |bytes| {
            let (next, total) = (next_draw.clone(), total.clone());
            Box::pin(async move {
                let at = next.get();
                next.set(at.max(Instant::now()) + GAP);
                tokio::time::sleep_until(at).await;
                *total.borrow_mut() += bytes;
                true
            })
        });
        want_revision(&mut document, "2");
        document.models.get_mut(&ModelId::new("m")).unwrap().weights_bytes = 1000;
        let old = Owner::gain_with(&document, &engines, FencingToken(7), Some(draws.clone()));
        let stopping = spawn_local(async move {
            sleep_ms(20_000).await;
            old.has_lease.set(false);
            old.stop();
        });
        stopping.await.unwrap();
        let new = Owner::gain_with(&document, &engines, FencingToken(8), Some(draws));
        settled(&new, 240_000).await;
        let engines = SMALL.iter().map(|(id, ..)| new.engine(id));
        let mut began: Vec<Instant> =
            engines.flat_map(|engine| engine.load_starts.borrow().clone()).collect();
        began.sort();
        assert_eq!(began.len(), SMALL.len());
        assert!(*drawn.borrow() >= 1000 * began.len() as u64);
        assert!(began.windows(2).all(|pair| pair[1] - pair[0] >= GAP), "{began:?}");
    })
    .await;
}

/// Guards against an endpoint that is down in mid-change and blocks all others for good, although
/// an operator has taken it out of service.
#[tokio::test(start_paused = true)]
async fn an_endpoint_out_of_service_blocks_no_other() {
    local(async {
        let mut document = document(SMALL, &[]);
        let owner = Owner::start(&document, &engines_at_1(SMALL)).await;
        want_revision(&mut document, "2");
        owner.pools.set_document(Rc::new(document.clone()));
        while owner.engine("p0f").state.borrow().loading.is_none() {
            sleep_ms(1).await;
        }
        owner.engine("p0f").is_dead.set(true);
        sleep_ms(20_000).await;
        assert_eq!(orders(&owner, "d0f"), []);
        let entry = Rc::make_mut(&mut document.endpoints).get_mut(&EndpointId::new("p0f"));
        let Some(Endpoint::Engine(entry)) = entry else { panic!("no engine") };
        entry.state = ServiceState::Out;
        owner.pools.set_document(Rc::new(document));
        sleep_ms(20_000).await;
        // The prefill endpoint that is left stays, and with it decode endpoints of its revision:
        // one changes, the next would have no partner.
        let revisions = ["p1f", "d0f", "d1f", "d2f"].map(|id| revision(&owner, id));
        assert_eq!(revisions, ["1", "2", "1", "1"]);
        assert_eq!(owner.status("d1f").waits_for.as_deref(), Some("a partner of d0f"));
        owner.engine("p0f").is_dead.set(false);
        sleep_ms(20_000).await;
        assert_eq!(revision(&owner, "p0f"), "2");
        assert_eq!(revision(&owner, "d1f"), "1");
    })
    .await;
}

/// Guards against a new owner that takes out an endpoint while the old owner's order to another is
/// still in flight.
#[tokio::test(start_paused = true)]
async fn an_order_in_flight_at_the_takeover_counts() {
    local(async {
        let mut document = document(SMALL, &[]);
        let engines = engines_at_1(SMALL);
        want_revision(&mut document, "2");
        let new = Owner::gain_with(&document, &engines, FencingToken(8), None);
        sleep_ms(1900).await;
        let late = OrderRequest { fencing: FencingToken(7), order: load("2") };
        new.engine("d2f").order(&late).await.unwrap();
        for _ in 0..100 {
            sleep_ms(50).await;
            let status = new.pools.status(&shard());
            assert!(status.iter().filter(|s| s.is_changing).count() <= 1, "{status:?}");
        }
        assert!(new.status("d2f").is_changing);
    })
    .await;
}
