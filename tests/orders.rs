//! Role changes and loads that the owner of a pool orders, with simulated engines and a paused
//! clock.

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

/// Endpoints of a small pool: two for prefill and three for decode.
const SMALL_POOL: &[(&str, &str, u32)] =
    &[("p0f", "a", 8), ("p1f", "a", 8), ("d0f", "a", 8), ("d1f", "a", 8), ("d2f", "a", 8)];

async fn run_local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

fn set_wanted_role(document: &mut Document, id: &str, role: Role) {
    let Some(Endpoint::Engine(entry)) =
        Rc::make_mut(&mut document.endpoints).get_mut(&EndpointId::new(id))
    else {
        panic!("the endpoint is not an engine")
    };
    entry.role = role;
}

fn set_wanted_revision(document: &mut Document, revision: &str) {
    document.models.get_mut(&ModelId::new("m")).unwrap().revision = revision.into();
}

/// Engines of the given endpoints, all with revision 1 of the model.
fn engines_with_revision_1(ids: &[(&str, &str, u32)]) -> Engines {
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

fn load_order(revision: &str) -> Order {
    Order::LoadModel { model: ModelId::new("m"), revision: revision.into() }
}

/// Waits until no endpoint needs a change, and returns the duration in ms.
async fn wait_until_settled(owner: &Owner, limit_ms: u64) -> u64 {
    let started_at = Instant::now();
    // A new owner must first receive the state of its endpoints.
    sleep_ms(500).await;
    while owner
        .pools
        .status(&shard())
        .iter()
        .any(|s| s.is_changing || s.next_order.is_some() || s.role != s.wanted_role)
    {
        sleep_ms(50).await;
        let waited = started_at.elapsed();
        let status = owner.pools.status(&shard());
        assert!(waited < Duration::from_millis(limit_ms), "not settled: {status:?}");
    }
    started_at.elapsed().as_millis() as u64
}

/// An owner with four running attempts, whose document was changed to give `d2f` another role.
async fn busy_owner_with_role_change() -> (Owner, Vec<(Admission, Plan)>) {
    let mut document = document(SMALL_POOL, &[]);
    let owner = Owner::start(&document, &Engines::default()).await;
    sleep_ms(5000).await;
    let mut live = Vec::new();
    for sequence in 1..=4 {
        let request = admission("g", sequence, "o");
        live.push((request.clone(), owner.run(request).await));
    }
    set_wanted_role(&mut document, "d2f", Role::Prefill);
    owner.pools.set_document(Rc::new(document));
    (owner, live)
}

/// Guards against an order to an endpoint that still runs attempts, against attempts at an endpoint
/// without the required role, and against a changed endpoint that is treated as warm.
#[tokio::test(start_paused = true)]
async fn a_role_change_drains_the_endpoint_first() {
    run_local(async {
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
        wait_until_settled(&owner, 5000).await;
        assert_eq!(orders(&owner, "d2f"), [(7, Order::SetRole { role: "prefill".into() })]);
        let status = owner.status("d2f");
        assert_eq!((status.role, status.slot_limit), (Role::Prefill, 2));
    })
    .await;
}

/// Guards against a drain that never ends: attempts that still run at its deadline are cancelled.
#[tokio::test(start_paused = true)]
async fn what_runs_at_the_drain_deadline_is_cancelled() {
    run_local(async {
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
        let on_changing_endpoint =
            live.iter().filter(|(_, plan)| plan.decode.as_str() == "d2f").count();
        assert_eq!((cancelled, on_changing_endpoint), (1, 1));
        for id in ["d0f", "d1f"] {
            assert!(owner.engine(id).cancelled.borrow().is_empty());
        }
    })
    .await;
}

/// Guards against a second load when the response to an order was lost after the order took effect.
#[tokio::test(start_paused = true)]
async fn an_order_whose_answer_is_lost_is_not_carried_out_twice() {
    run_local(async {
        let mut document = document(SMALL_POOL, &[]);
        let owner = Owner::start(&document, &engines_with_revision_1(SMALL_POOL)).await;
        for (id, ..) in SMALL_POOL {
            owner.engine(id).order_answers_to_lose.set(1);
        }
        set_wanted_revision(&mut document, "2");
        owner.pools.set_document(Rc::new(document));
        wait_until_settled(&owner, 120_000).await;
        for (id, ..) in SMALL_POOL {
            assert_eq!(orders(&owner, id), [(7, load_order("2"))], "{id}");
        }
    })
    .await;
}

/// Guards against an order that counts as carried out because the engine accepted it, although the
/// engine restarted before it took effect.
#[tokio::test(start_paused = true)]
async fn an_order_without_effect_is_sent_again() {
    run_local(async {
        let mut document = document(SMALL_POOL, &[]);
        let owner = Owner::start(&document, &Engines::default()).await;
        set_wanted_role(&mut document, "d2f", Role::Prefill);
        owner.pools.set_document(Rc::new(document));
        while orders(&owner, "d2f").is_empty() {
            sleep_ms(1).await;
        }
        owner.engine("d2f").state.borrow_mut().roles = vec![Role::Decode];
        wait_until_settled(&owner, 10_000).await;
        assert_eq!(orders(&owner, "d2f").len(), 2);
        assert_eq!(owner.status("d2f").role, Role::Prefill);
    })
    .await;
}

/// Guards against a change that is abandoned when the pool gets a new owner, against a second load
/// by the new owner, and against further endpoints being taken out of service at the same time.
#[tokio::test(start_paused = true)]
async fn a_new_owner_goes_on_with_a_change() {
    run_local(async {
        let mut document = document(SMALL_POOL, &[]);
        let engines = engines_with_revision_1(SMALL_POOL);
        let old = Owner::start(&document, &engines).await;
        set_wanted_revision(&mut document, "2");
        old.pools.set_document(Rc::new(document.clone()));
        while old.engine("p0f").state.borrow().loading.is_none() {
            sleep_ms(1).await;
        }
        old.has_lease.set(false);
        old.stop();
        let new = Owner::gain_with(&document, &engines, FencingToken(8), None);
        let started_at = new.clock.now();
        wait_until_settled(&new, 120_000).await;
        assert_eq!(orders(&new, "p0f"), [(7, load_order("2"))]);
        for id in ["p1f", "d0f", "d1f", "d2f"] {
            assert_eq!(orders(&new, id), [(8, load_order("2"))], "{id}");
        }
        assert!(new.clock.now().ms_since(started_at) > 3000);
    })
    .await;
}

/// Guards against orders without a lease, and against late orders of the previous owner. An engine
/// that checks fencing tokens rejects them. For an engine that does not, the new owner waits until
/// any such order must have arrived, and corrects its effect.
#[tokio::test(start_paused = true)]
async fn late_orders_of_an_old_owner_do_no_harm() {
    run_local(async {
        let ids = [("p0", "a", 8), ("p1", "a", 8), ("d0", "a", 8), ("d1", "a", 8), ("d2f", "a", 8)];
        let mut document = document(&ids, &[]);
        let engines = Engines::default();
        let old = Owner::start(&document, &engines).await;
        old.has_lease.set(false);
        sleep_ms(50).await;
        let order = Order::SetRole { role: "prefill".into() };
        let late_order = old.pools.order(&shard(), &EndpointId::new("d2f"), order).await;
        assert!(late_order.is_err());
        assert_eq!(orders(&old, "d2f"), []);
        set_wanted_role(&mut document, "p1", Role::Decode);
        let new = Owner::gain_with(&document, &engines, FencingToken(8), None);
        for _ in 0..40 {
            assert_eq!(orders(&new, "p1"), []);
            sleep_ms(50).await;
        }
        // Effect of an order that arrives as late as possible.
        new.engine("d0").state.borrow_mut().roles = vec![Role::Prefill];
        wait_until_settled(&new, 20_000).await;
        assert_eq!(new.status("d0").role, Role::Decode);
        assert_eq!(new.status("p1").role, Role::Decode);
        assert_eq!(orders(&new, "d0"), [(8, Order::SetRole { role: "decode".into() })]);
    })
    .await;
}

/// Guards against a pool that loses the last endpoint of a role or more than a tenth of its
/// endpoints at a time, and against endpoints that are never changed.
#[tokio::test(start_paused = true)]
async fn enough_endpoints_stay_in_service() {
    run_local(async {
        let names: Vec<String> = (0..8)
            .map(|i| format!("p{i:02}f"))
            .chain((0..16).map(|i| format!("d{i:02}f")))
            .collect();
        let ids: Vec<(&str, &str, u32)> =
            names.iter().map(|name| (name.as_str(), "a", 8)).collect();
        let mut document = document(&ids, &[]);
        let owner = Owner::start(&document, &engines_with_revision_1(&ids)).await;
        set_wanted_revision(&mut document, "2");
        let adapter = Adapter { revision: "5".into(), weights_bytes: 0 };
        let model = document.models.get_mut(&ModelId::new("m")).unwrap();
        model.adapters.insert("polite".into(), adapter);
        owner.pools.set_document(Rc::new(document));
        let (mut max_changing, mut sequence) = (0, 0);
        let mut is_done = false;
        for _ in 0..8000 {
            let status = owner.pools.status(&shard());
            max_changing = max_changing.max(status.iter().filter(|s| s.is_changing).count());
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
        assert_eq!(max_changing, 2);
        assert!(names.iter().all(|name| revision(&owner, name) == "2"));
    })
    .await;
}

/// Guards against taking the only prefill endpoint of a slice out of service. Its change waits, and
/// the status tells for what.
#[tokio::test(start_paused = true)]
async fn the_last_endpoint_of_a_role_stays() {
    run_local(async {
        let ids = [("p0f", "a", 8), ("d0f", "a", 8), ("d1f", "a", 8)];
        let mut document = document(&ids, &[]);
        set_wanted_role(&mut document, "p0f", Role::Decode);
        set_wanted_role(&mut document, "d0f", Role::Prefill);
        let owner = Owner::start(&document, &Engines::default()).await;
        wait_until_settled(&owner, 120_000).await;
        // `p0f` could change only after `d0f` had become a prefill endpoint.
        let first = orders(&owner, "d0f").len();
        assert_eq!((first, orders(&owner, "p0f").len()), (1, 1));
        let mut document = document.clone();
        set_wanted_revision(&mut document, "2");
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

/// Guards against a failing order that takes one endpoint after another out of service, and against
/// a failure that the status does not show.
#[tokio::test(start_paused = true)]
async fn a_refused_order_stops_at_the_first_endpoint() {
    run_local(async {
        let document = document(SMALL_POOL, &[]);
        let owner = Owner::start(&document, &engines_with_revision_1(SMALL_POOL)).await;
        SMALL_POOL.iter().for_each(|(id, ..)| owner.engine(id).refuses_orders.set(true));
        let mut bad = document.clone();
        set_wanted_revision(&mut bad, "bad");
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

/// Guards against loads that are not limited by the budget of the weight store, also after a
/// takeover.
#[tokio::test(start_paused = true)]
async fn each_load_is_drawn_from_the_weight_store() {
    run_local(async {
        const LOAD_INTERVAL: Duration = Duration::from_secs(15);
        let mut document = document(SMALL_POOL, &[]);
        let engines = engines_with_revision_1(SMALL_POOL);
        let next_grant_at = Rc::new(Cell::new(Instant::now() + LOAD_INTERVAL));
        let drawn_bytes = Rc::new(RefCell::new(0));
        let (shared_grant_at, total) = (next_grant_at.clone(), drawn_bytes.clone());
        // Grants one load per 15 s, like a budget whose burst is one load.
        let limiter: WeightLoadLimiter = Rc::new(move |bytes| {
            let (grant_at, total) = (shared_grant_at.clone(), total.clone());
            Box::pin(async move {
                let at = grant_at.get();
                grant_at.set(at.max(Instant::now()) + LOAD_INTERVAL);
                tokio::time::sleep_until(at).await;
                *total.borrow_mut() += bytes;
                true
            })
        });
        set_wanted_revision(&mut document, "2");
        document.models.get_mut(&ModelId::new("m")).unwrap().weights_bytes = 1000;
        let old = Owner::gain_with(&document, &engines, FencingToken(7), Some(limiter.clone()));
        let stopping = spawn_local(async move {
            sleep_ms(20_000).await;
            old.has_lease.set(false);
            old.stop();
        });
        stopping.await.unwrap();
        let new = Owner::gain_with(&document, &engines, FencingToken(8), Some(limiter));
        wait_until_settled(&new, 240_000).await;
        let engines = SMALL_POOL.iter().map(|(id, ..)| new.engine(id));
        let mut start_times: Vec<Instant> =
            engines.flat_map(|engine| engine.load_starts.borrow().clone()).collect();
        start_times.sort();
        assert_eq!(start_times.len(), SMALL_POOL.len());
        assert!(*drawn_bytes.borrow() >= 1000 * start_times.len() as u64);
        assert!(
            start_times.windows(2).all(|pair| pair[1] - pair[0] >= LOAD_INTERVAL),
            "{start_times:?}"
        );
    })
    .await;
}

/// Guards against an endpoint that fails during its change and blocks the changes of all others
/// even after an operator has taken it out of service.
#[tokio::test(start_paused = true)]
async fn an_endpoint_out_of_service_blocks_no_other() {
    run_local(async {
        let mut document = document(SMALL_POOL, &[]);
        let owner = Owner::start(&document, &engines_with_revision_1(SMALL_POOL)).await;
        set_wanted_revision(&mut document, "2");
        owner.pools.set_document(Rc::new(document.clone()));
        while owner.engine("p0f").state.borrow().loading.is_none() {
            sleep_ms(1).await;
        }
        owner.engine("p0f").is_dead.set(true);
        sleep_ms(20_000).await;
        assert_eq!(orders(&owner, "d0f"), []);
        let entry = Rc::make_mut(&mut document.endpoints).get_mut(&EndpointId::new("p0f"));
        let Some(Endpoint::Engine(entry)) = entry else { panic!("the endpoint is not an engine") };
        entry.state = ServiceState::Out;
        owner.pools.set_document(Rc::new(document));
        sleep_ms(20_000).await;
        // The remaining prefill endpoint keeps its revision, because it is the only one. One decode
        // endpoint changes; another one would have no prefill endpoint of its new revision.
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

/// Guards against a new owner that takes an endpoint out of service while an order of the previous
/// owner to another endpoint is still in flight.
#[tokio::test(start_paused = true)]
async fn an_order_in_flight_at_the_takeover_counts() {
    run_local(async {
        let mut document = document(SMALL_POOL, &[]);
        let engines = engines_with_revision_1(SMALL_POOL);
        set_wanted_revision(&mut document, "2");
        let new = Owner::gain_with(&document, &engines, FencingToken(8), None);
        sleep_ms(1900).await;
        let late_order = OrderRequest { fencing: FencingToken(7), order: load_order("2") };
        new.engine("d2f").order(&late_order).await.unwrap();
        for _ in 0..100 {
            sleep_ms(50).await;
            let status = new.pools.status(&shard());
            assert!(status.iter().filter(|s| s.is_changing).count() <= 1, "{status:?}");
        }
        assert!(new.status("d2f").is_changing);
    })
    .await;
}
