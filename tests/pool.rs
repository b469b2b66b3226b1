//! Tests of a pool's owner with fake engines and a paused clock.

#[path = "pool/crashes.rs"]
mod crashes;
#[path = "pool/fakes.rs"]
mod fakes;
#[path = "pool/properties.rs"]
mod properties;
#[path = "pool/suspects.rs"]
mod suspects;

use std::future::Future;
use std::rc::Rc;

use almondroad::clock::Clock;
use almondroad::config::ServiceState;
use almondroad::engine::{CacheEvent, CacheEvents, Order};
use almondroad::pool::{Admission, AdmitAnswer, AttemptEnd, FinishedAttempt, Plan, PriorityClass};
use almondroad::units::{EndpointId, OrganisationId, Pieces, Tokens, ZoneId};
use fakes::*;
use tokio::task::{LocalSet, spawn_local};

const ONE_PAIR: &[(&str, &str, u32)] = &[("p0", "a", 8), ("d0", "a", 8)];

async fn run_local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

/// Reports the progress of running attempts once a second, at `rate` tokens per second.
async fn report_progress(
    owner: &Owner,
    live: &[(Admission, Plan)],
    from: u64,
    rate: u64,
    seconds: u64,
) {
    for second in 1..=seconds {
        sleep_ms(1000).await;
        let tokens = from + second * rate;
        let attempts: Vec<_> = live.iter().map(|(a, plan)| (a, plan, tokens)).collect();
        owner.report("g", &attempts);
    }
}

/// Guards against memory that stays reserved when a gateway crashes after admission.
#[tokio::test(start_paused = true)]
async fn memory_of_a_crashed_gateway_is_freed_within_5_s() {
    run_local(async {
        let owner = Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await;
        let request = admission("g", 1, "o");
        let plan = owner.run(request.clone()).await;
        report_progress(&owner, &[(request, plan)], 0, 20, 4).await;
        assert_eq!(owner.engine("d0").held.borrow().len(), 1);
        sleep_ms(5000).await;
        assert!(owner.engine("d0").held.borrow().is_empty());
        assert_eq!(owner.status("d0").used_pieces, Pieces(0));
        assert_eq!(owner.status("p0").used_slots, 0);
    })
    .await;
}

/// Guards against releasing memory that the engine still holds because a cancellation was lost, and
/// against not repeating that cancellation.
#[tokio::test(start_paused = true)]
async fn a_lost_cancellation_is_repeated_and_memory_stays_reserved_until_then() {
    run_local(async {
        let owner = Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await;
        // Starts at different phases of the owner's checks and probes.
        for sequence in 1..=12 {
            sleep_ms(170).await;
            owner.engine("d0").cancels_to_lose.set(2);
            owner.run(admission("g", sequence, "o")).await;
            for _ in 0..100 {
                sleep_ms(50).await;
                let held: Pieces = owner.engine("d0").held.borrow().values().copied().sum();
                assert!(owner.status("d0").used_pieces >= held);
            }
            assert!(owner.engine("d0").held.borrow().is_empty());
            assert_eq!(owner.status("d0").used_pieces, Pieces(0));
        }
    })
    .await;
}

/// Guards against an owner that was paused and mistakes unread reports for a silent gateway.
#[tokio::test(start_paused = true)]
async fn a_paused_owner_cancels_no_reported_attempt() {
    run_local(async {
        let owner = Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await;
        let request = admission("g", 1, "o");
        let live = [(request.clone(), owner.run(request.clone()).await)];
        report_progress(&owner, &live, 0, 20, 4).await;
        tokio::time::advance(std::time::Duration::from_millis(2900)).await;
        sleep_ms(400).await;
        report_progress(&owner, &live, 80, 20, 4).await;
        assert!(engine_holds(&owner, &request));
        assert!(owner.engine("d0").cancelled.borrow().is_empty());
    })
    .await;
}

/// Guards against memory that stays held because the gateway's own cancellation of an ended attempt
/// was lost.
#[tokio::test(start_paused = true)]
async fn memory_of_an_ended_attempt_is_freed_within_5_s() {
    run_local(async {
        let owner = Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await;
        let request = admission("g", 1, "o");
        owner.run(request.clone()).await;
        owner.finish(&request.attempt, AttemptEnd::Cancelled, None);
        sleep_ms(5000).await;
        assert!(owner.engine("d0").held.borrow().is_empty());
        assert_eq!(owner.status("d0").used_slots, 0);
    })
    .await;
}

/// Guards against a new owner that cancels live attempts, admits into memory that is in use, or
/// never frees the memory of a gateway that crashed together with the old owner.
#[tokio::test(start_paused = true)]
async fn a_new_owner_rebuilds_reservations() {
    run_local(async {
        let (document, engines) = (document(ONE_PAIR, &[]), Engines::default());
        let old = Owner::start(&document, &engines).await;
        let (mut live, mut dead) = (admission("g", 1, "o"), admission("x", 2, "o"));
        (live.max_output_tokens, dead.max_output_tokens) = (Tokens(590), Tokens(290));
        let plan = old.run(live.clone()).await;
        old.run(dead.clone()).await;
        old.stop();
        let new = Owner::gain(&document, &engines);
        let mut large = admission("g", 3, "o");
        (large.max_output_tokens, large.queue_ms) = (Tokens(190), 900);
        let answer = new.admit(large.clone()).await;
        assert!(matches!(answer, AdmitAnswer::Full { .. }), "{answer:?}");
        for second in 1..=8 {
            new.report("g", &[(&live, &plan, 20 * second)]);
            sleep_ms(1000).await;
            let is_early = second <= 2;
            assert_eq!(
                engine_holds(&new, &dead),
                is_early || second == 3 && engine_holds(&new, &dead)
            );
        }
        assert!(engine_holds(&new, &live) && !engine_holds(&new, &dead));
        assert_eq!(new.status("d0").used_pieces, Pieces(60));
        assert!(matches!(new.admit(large).await, AdmitAnswer::Plan(_)));
    })
    .await;
}

fn engine_holds(owner: &Owner, admission: &Admission) -> bool {
    owner.engine("d0").held.borrow().contains_key(&admission.attempt)
}

/// Guards against new work for a crashed endpoint, against marking it down again when other
/// attempts report the same crash late, and against a restart without warm-up.
#[tokio::test(start_paused = true)]
async fn a_crashed_endpoint_gets_no_work_until_a_probe_succeeds() {
    run_local(async {
        let owner = Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await;
        let [a, b] = [admission("g", 1, "o"), admission("g", 2, "o")];
        let plans = [owner.run(a.clone()).await, owner.run(b.clone()).await];
        let live = [(a.clone(), plans[0].clone()), (b.clone(), plans[1].clone())];
        report_progress(&owner, &live, 0, 20, 4).await;
        assert!(owner.status("d0").slot_limit > 2);
        owner.engine("d0").is_dead.set(true);
        owner.engine("d0").held.borrow_mut().clear();
        owner.finish(&a.attempt, AttemptEnd::EndpointDied, Some(&plans[0].decode));
        assert_eq!(owner.admit(admission("g", 3, "o")).await, AdmitAnswer::NoEndpoint);
        sleep_ms(1500).await;
        assert!(!owner.status("d0").is_up);
        owner.engine("d0").is_dead.set(false);
        sleep_ms(1100).await;
        owner.finish(&b.attempt, AttemptEnd::EndpointDied, Some(&plans[1].decode));
        let status = owner.status("d0");
        assert!(status.is_up);
        assert_eq!((status.slot_limit, status.used_slots), (2, 0));
        assert!(matches!(owner.admit(admission("g", 4, "o")).await, AdmitAnswer::Plan(_)));
    })
    .await;
}

/// Guards against a request that becomes a suspect for the crash of an endpoint that it never
/// reached, in place of the requests that were running there.
#[tokio::test(start_paused = true)]
async fn a_request_that_did_not_reach_a_crashed_endpoint_does_not_become_a_suspect() {
    run_local(async {
        let owner = Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await;
        let neighbour = admission("g", 1, "o");
        let plan = owner.run(neighbour.clone()).await;
        let reporter = admission("g", 2, "o");
        owner.run(reporter.clone()).await;
        let refused = finished(&reporter.attempt, AttemptEnd::EndpointDied, Some(&plan.decode));
        let refused = FinishedAttempt { is_unreached: true, ..refused };
        let ran = owner.pools.finish(&shard(), refused);
        let ran: Vec<_> = ran.iter().map(|ran| (ran.fingerprint, ran.is_suspect)).collect();
        assert_eq!(ran, [(neighbour.fingerprint, false)]);
        assert!(!owner.status("d0").is_up);
    })
    .await;
}

/// Guards against overloading an endpoint that has just started or has slowed down.
#[tokio::test(start_paused = true)]
async fn slot_limit_doubles_with_progress_and_resets_after_a_slowdown() {
    run_local(async {
        let owner = Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await;
        let mut live = Vec::new();
        for sequence in 0..2 {
            let request = admission("g", sequence, "o");
            live.push((request.clone(), owner.run(request).await));
        }
        let refused = owner.admit(admission("g", 9, "o")).await;
        assert!(matches!(refused, AdmitAnswer::Full { free_slots: 0, .. }), "{refused:?}");
        report_progress(&owner, &live, 0, 20, 3).await;
        let limit = owner.status("d0").slot_limit;
        assert!((4..=8).contains(&limit), "{limit}");
        report_progress(&owner, &live, 60, 1, 2).await;
        assert_eq!(owner.status("d0").slot_limit, 2);
        report_progress(&owner, &live, 62, 1, 3).await;
        assert_eq!(owner.status("d0").slot_limit, 2);
    })
    .await;
}

/// Guards against new work in a zone that is out of service, against cancelling what runs there,
/// and against full load immediately after its return.
#[tokio::test(start_paused = true)]
async fn a_zone_out_of_service_gets_no_new_work_and_returns_cold() {
    run_local(async {
        let engines = [("p0", "a", 8), ("d0", "a", 8), ("p1", "b", 8), ("d1", "b", 8)];
        let mut document = document(&engines, &[]);
        let owner = Owner::start(&document, &Engines::default()).await;
        let mut live = Vec::new();
        for sequence in 0..4 {
            let request = admission("g", sequence, "o");
            live.push((request.clone(), owner.run(request).await));
        }
        report_progress(&owner, &live, 0, 20, 3).await;
        let used = owner.status("d0").used_slots;
        assert!(used > 0 && owner.status("d0").slot_limit > 2);
        document.zones.get_mut(&ZoneId::new("a")).unwrap().state = ServiceState::Out;
        owner.pools.set_document(Rc::new(document.clone()));
        let mut request = admission("g", 9, "o");
        request.queue_ms = 100;
        let plan = owner.run(request.clone()).await;
        assert_eq!((plan.decode.as_str(), plan.prefill.as_str()), ("d1", "p1"));
        live.push((request, plan));
        report_progress(&owner, &live, 60, 20, 5).await;
        assert_eq!(owner.status("d0").used_slots, used);
        assert!(owner.engine("d0").cancelled.borrow().is_empty());
        document.zones.get_mut(&ZoneId::new("a")).unwrap().state = ServiceState::In;
        owner.pools.set_document(Rc::new(document));
        assert_eq!((owner.status("d0").slot_limit, owner.status("p0").slot_limit), (2, 2));
    })
    .await;
}

/// Guards against requests that stay queued after the last endpoint has gone out of service.
#[tokio::test(start_paused = true)]
async fn queued_requests_fail_when_no_endpoint_is_left() {
    run_local(async {
        let mut document = document(ONE_PAIR, &[]);
        let owner = Owner::start(&document, &Engines::default()).await;
        let pools = owner.pools.clone();
        owner.run(admission("g", 1, "o")).await;
        owner.run(admission("g", 2, "o")).await;
        spawn_local(async move {
            sleep_ms(200).await;
            document.zones.get_mut(&ZoneId::new("a")).unwrap().state = ServiceState::Out;
            pools.set_document(Rc::new(document));
        });
        let mut request = admission("g", 3, "o");
        request.queue_ms = 2000;
        let before = owner.clock.now();
        assert_eq!(owner.admit(request).await, AdmitAnswer::NoEndpoint);
        assert!(owner.clock.now().ms_since(before) <= 300);
    })
    .await;
}

/// Guards against an owner that admits or cancels after its lease has expired.
#[tokio::test(start_paused = true)]
async fn an_expired_lease_stops_admissions_and_cancellations() {
    run_local(async {
        let owner = Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await;
        owner.run(admission("g", 1, "o")).await;
        owner.run(admission("g", 2, "o")).await;
        let mut request = admission("g", 3, "o");
        request.queue_ms = 2000;
        let has_lease = owner.has_lease.clone();
        spawn_local(async move {
            sleep_ms(500).await;
            has_lease.set(false);
        });
        assert_eq!(owner.admit(request).await, AdmitAnswer::NotHolder(None));
        let expired = owner.pools.admit(admission("g", 4, "o"), owner.clock.now()).await;
        assert_eq!(expired, AdmitAnswer::NotHolder(None));
        sleep_ms(10_000).await;
        assert_eq!(owner.engine("d0").held.borrow().len(), 2);
    })
    .await;
}

/// Guards against a new owner's order overtaking one of the old owner, which would then take effect
/// last, on an engine that does not check fencing numbers.
#[tokio::test(start_paused = true)]
async fn orders_to_engines_without_fencing_checks_are_delayed() {
    run_local(async {
        let engines = [("p0", "a", 8), ("d0", "a", 8), ("d1f", "a", 8)];
        let owner = Owner::start(&document(&engines, &[]), &Engines::default()).await;
        for (id, least_ms, most_ms) in [("d1f", 0, 100), ("d0", 1800, 2000)] {
            let before = owner.clock.now();
            let order = Order::SetRole { role: "prefill".into() };
            owner.pools.order(&shard(), &EndpointId::new(id), order).await.unwrap();
            let waited_ms = owner.clock.now().ms_since(before);
            assert!((least_ms..=most_ms).contains(&waited_ms), "{id}: {waited_ms}");
            assert_eq!(owner.engine(id).orders.borrow()[0].fencing.get(), 7);
        }
    })
    .await;
}

/// Guards against transfers that together exceed a link's rate, and against a prefill result that
/// expires while it waits for the link.
#[tokio::test(start_paused = true)]
async fn transfers_are_scheduled_on_the_decode_link() {
    run_local(async {
        let engines = [("p0", "a", 8), ("p1", "a", 8), ("p2", "a", 8), ("d0", "a", 8)];
        let mut document = document(&engines, &[]);
        // A prompt takes 20 ms to compute and 1 s to transfer.
        document.models.values_mut().for_each(|model| model.kv_bytes_per_token = 50_000);
        let owner = Owner::start(&document, &Engines::default()).await;
        let begin = owner.clock.now();
        for (sequence, transfer_from_ms) in [(0, 20), (1, 1020)] {
            let mut request = admission("g", sequence, "o");
            (request.prompt_tokens, request.queue_ms) = (Tokens(20), 3000);
            let plan = owner.run(request.clone()).await;
            let prefilled_ms = owner.clock.now().ms_since(begin) + plan.start_after_ms + 20;
            let result_wait_ms = transfer_from_ms as i64 - prefilled_ms as i64;
            assert!((0..500).contains(&result_wait_ms), "{result_wait_ms}");
            assert!(plan.transfer_limit_ms >= 1000);
            owner.report("g", &[(&request, &plan, 0)]);
        }
    })
    .await;
}

/// Guards against missing cached prefixes, and against one organisation using or detecting the
/// prefixes of another.
#[tokio::test(start_paused = true)]
async fn requests_go_to_the_endpoint_that_caches_their_prefix() {
    run_local(async {
        let engines = [("p0", "a", 8), ("p1", "b", 8), ("d0", "a", 8)];
        let owner = Owner::start(&document(&engines, &[]), &Engines::default()).await;
        let event = CacheEvent { sequence: 5, scope: "o".into(), prefix_hash: 2, stored: true };
        *owner.engine("p1").events.borrow_mut() =
            CacheEvents { events: vec![event], last_sequence: 9 };
        sleep_ms(1100).await;
        for (sequence, organisation, expected) in [(1, "o", "p1"), (2, "other", "p0")] {
            let mut request = admission("g", sequence, organisation);
            (request.prompt_tokens, request.prefix_hashes) = (Tokens(100), vec![1, 2, 3]);
            assert_eq!(owner.run(request.clone()).await.prefill.as_str(), expected);
            owner.finish(&request.attempt, AttemptEnd::Completed, None);
        }
        // The restarted process numbers its events from the start and has an empty cache.
        *owner.engine("p1").events.borrow_mut() = CacheEvents::default();
        sleep_ms(1100).await;
        let mut request = admission("g", 3, "o");
        (request.prompt_tokens, request.prefix_hashes) = (Tokens(100), vec![9, 2]);
        assert_eq!(owner.run(request).await.prefill.as_str(), "p0");
    })
    .await;
}

/// Guards against long prompts on every prefill endpoint, which would delay short ones.
#[tokio::test(start_paused = true)]
async fn long_prompts_leave_an_endpoint_to_short_ones() {
    run_local(async {
        let engines = [("p0", "a", 8), ("p1", "a", 8), ("d0", "a", 8), ("d1", "a", 8)];
        let owner = Owner::start(&document(&engines, &[]), &Engines::default()).await;
        owner.run(admission("g", 0, "o")).await;
        sleep_ms(50).await;
        let [mut first, mut second] = [admission("g", 1, "o"), admission("g", 2, "o")];
        for request in [&mut first, &mut second] {
            (request.prompt_tokens, request.queue_ms) = (Tokens(900), 100);
        }
        owner.run(first).await;
        assert!(matches!(owner.admit(second).await, AdmitAnswer::Full { .. }));
        let short = owner.admit(admission("g", 3, "o")).await;
        assert!(matches!(short, AdmitAnswer::Plan(Plan { start_after_ms: 0, .. })), "{short:?}");
    })
    .await;
}

/// Guards against queueing a request whose wait limit cannot be met, and against a queue entry that
/// remains after its caller has given up.
#[tokio::test(start_paused = true)]
async fn unmeetable_waits_are_rejected_and_abandoned_ones_removed() {
    run_local(async {
        let owner = Rc::new(Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await);
        let blockers = [admission("g", 1, "o"), admission("g", 2, "o")];
        let plans = [owner.run(blockers[0].clone()).await, owner.run(blockers[1].clone()).await];
        let waiting = |sequence| {
            let (owner, mut request) = (owner.clone(), admission("g", sequence, "o"));
            request.queue_ms = 60_000;
            spawn_local(async move { owner.admit(request).await })
        };
        let tasks: Vec<_> = (10..30).map(waiting).collect();
        // The endpoint is limited to two slots, and one attempt ends per second.
        for sequence in 0..5 {
            sleep_ms(1000).await;
            owner.report("g", &[(&blockers[0], &plans[0], 1)]);
            let ended = if sequence == 0 { 2 } else { 9 + sequence };
            owner.finish(&admission("g", ended, "o").attempt, AttemptEnd::Completed, None);
        }
        let before = owner.clock.now();
        let mut late = admission("g", 99, "o");
        late.queue_ms = 1000;
        let answer = owner.admit(late.clone()).await;
        assert!(matches!(answer, AdmitAnswer::Full { retry_after_ms: 1001.., .. }), "{answer:?}");
        assert_eq!(owner.clock.now(), before);
        tasks.iter().for_each(|task| task.abort());
        sleep_ms(50).await;
        let used = owner.status("d0").used_slots;
        for sequence in 10..30 {
            owner.finish(&admission("g", sequence, "o").attempt, AttemptEnd::Cancelled, None);
        }
        assert!(used <= 2 && owner.status("d0").used_slots <= 1);
        late.class = PriorityClass::Waiting;
        late.organisation = OrganisationId::new("other");
        assert!(matches!(owner.admit(late).await, AdmitAnswer::Plan(_)));
    })
    .await;
}

/// Guards against estimates that stay at the upper bound sent by the gateways, and against
/// reserving less memory than that bound.
#[tokio::test(start_paused = true)]
async fn prompt_lengths_are_learned_for_estimates_but_not_for_memory() {
    run_local(async {
        let owner = Owner::start(&document(ONE_PAIR, &[]), &Engines::default()).await;
        let mut limits_ms = Vec::new();
        for sequence in 0..40 {
            let mut request = admission("g", sequence, "o");
            request.prompt_tokens = Tokens(90);
            let plan = owner.run(request.clone()).await;
            limits_ms.push(plan.transfer_limit_ms);
            assert_eq!(owner.status("d0").used_pieces, Pieces(10));
            // The prompt has a third as many tokens as the byte count allows.
            owner.engine("d0").held.borrow_mut().insert(request.attempt.clone(), Pieces(4));
            sleep_ms(1100).await;
            owner.engine("d0").held.borrow_mut().clear();
            owner.finish(&request.attempt, AttemptEnd::Completed, None);
        }
        // The limit is three times the transfer time plus 100 ms. The transfer takes 90 ms by the
        // bound and 40 ms by the memory held.
        assert_eq!(limits_ms[0], 370);
        assert!(limits_ms[39] <= 100 + 3 * 45, "{limits_ms:?}");
        let mut other = admission("g", 99, "other");
        other.prompt_tokens = Tokens(90);
        assert_eq!(owner.run(other).await.transfer_limit_ms, 370);
    })
    .await;
}
