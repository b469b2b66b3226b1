//! Admission of suspects: requests that were running on an endpoint when it crashed.

use std::cell::Cell;
use std::rc::Rc;

use almondroad::pool::{AdmitAnswer, AttemptEnd};

use super::fakes::*;
use super::run_local;

/// Runs two attempts until the slot limit allows more.
async fn warm_up(owner: &Owner) {
    let mut live = Vec::new();
    for sequence in 90..92 {
        let request = admission("g", sequence, "o");
        live.push((request.clone(), owner.run(request).await));
    }
    super::report_progress(owner, &live, 0, 20, 3).await;
    assert!(owner.status("d0").slot_limit >= 4);
    live.iter().for_each(|(request, _)| {
        owner.finish(&request.attempt, AttemptEnd::Completed, None);
    });
}

/// Guards against a crash with more than one possible cause: an endpoint must not run a suspect
/// together with another unproven request, and must admit no other request until the suspect is
/// proven safe.
#[tokio::test(start_paused = true)]
async fn a_suspect_shares_no_endpoint_with_other_unproven_requests() {
    run_local(async {
        let engines = [("p0", "a", 8), ("p1", "a", 8), ("d0", "a", 8)];
        let owner = Owner::start(&document(&engines, &[]), &Engines::default()).await;
        warm_up(&owner).await;
        let [early, mut first, mut second, late] = [1, 2, 3, 4].map(|n| admission("g", n, "o"));
        (first.is_suspect, second.is_suspect) = (true, true);
        let early_plan = owner.run(early.clone()).await;
        assert!(matches!(owner.admit(first.clone()).await, AdmitAnswer::Full { .. }));
        owner.report("g", &[(&early, &early_plan, 7)]);
        assert!(matches!(owner.admit(first.clone()).await, AdmitAnswer::Full { .. }));
        owner.report("g", &[(&early, &early_plan, 8)]);
        let first_plan = owner.run(first.clone()).await;
        for request in [&second, &late] {
            assert!(matches!(owner.admit(request.clone()).await, AdmitAnswer::Full { .. }));
        }
        owner.report("g", &[(&early, &early_plan, 20), (&first, &first_plan, 8)]);
        let second_plan = owner.run(second.clone()).await;
        let ran = owner.finish(&early.attempt, AttemptEnd::EndpointDied, Some(&second_plan.decode));
        let unproven: Vec<_> =
            ran.iter().filter(|r| !r.is_proven_safe).map(|r| r.fingerprint).collect();
        assert_eq!((ran.len(), unproven), (3, vec![second.fingerprint]));
    })
    .await;
}

/// Guards against suspects that starve while other requests keep arriving, against requests that
/// are refused because of them, and against endpoints that stay reserved.
#[tokio::test(start_paused = true)]
async fn suspects_of_a_crash_are_admitted_under_load() {
    const SUSPECTS: u64 = 20;
    run_local(async {
        let names: Vec<String> = (0..3).map(|n| format!("p{n}")).collect();
        let decode: Vec<String> = (0..6).map(|n| format!("d{n}")).collect();
        let engines = names.iter().chain(&decode).map(|id| (id.as_str(), "a", 24));
        let document = document(&engines.collect::<Vec<_>>(), &[]);
        let owner = Rc::new(Owner::start(&document, &Engines::default()).await);
        sleep_ms(3000).await;
        let (admitted, refused) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let ordinary = |n: u64| {
            let (owner, refused) = (owner.clone(), refused.clone());
            async move {
                sleep_ms(n * 25).await;
                let is_warm = n * 25 >= 5000;
                let mut request = admission("g", 1000 + n, "o");
                request.queue_ms = 2000;
                let AdmitAnswer::Plan(plan) = owner.admit(request.clone()).await else {
                    return refused.set(refused.get() + u32::from(is_warm));
                };
                // Regular reports, once a second.
                super::report_progress(&owner, &[(request.clone(), plan)], 0, 20, 2).await;
                owner.finish(&request.attempt, AttemptEnd::Completed, None);
            }
        };
        let suspect = |n: u64| {
            let (owner, admitted) = (owner.clone(), admitted.clone());
            async move {
                sleep_ms(8000).await;
                let mut request = admission("g", n, "o");
                (request.is_suspect, request.queue_ms) = (true, 60_000);
                let plan = owner.run(request.clone()).await;
                admitted.set(admitted.get() + 1);
                // The first token and the proof are reported immediately.
                for (after_ms, tokens) in [(100, 1), (200, 8)] {
                    sleep_ms(after_ms).await;
                    owner.report("g", &[(&request, &plan, tokens)]);
                }
                sleep_ms(2000).await;
                owner.finish(&request.attempt, AttemptEnd::Completed, None);
            }
        };
        let load = futures::future::join_all((0..800).map(ordinary));
        let suspects = futures::future::join_all((0..SUSPECTS).map(suspect));
        // Half a second for each suspect.
        let watch = async {
            sleep_ms(8000 + SUSPECTS * 500).await;
            admitted.get()
        };
        let (admitted, ..) = futures::join!(watch, load, suspects);
        assert_eq!((admitted, refused.get()), (SUSPECTS, 0));
    })
    .await;
}
