//! Tests of the claims on request ids at the holder.

use std::time::Duration;

use almondroad::budget::{ClaimAnswer, ReportedClaim, RequestClaims};
use almondroad::clock::TokioClock;
use almondroad::units::{
    AttemptId, FencingToken, Incarnation, InstanceId, OrganisationId, RequestId, ShardId,
};

fn attempt(instance: &str, incarnation: u64, sequence: u64) -> AttemptId {
    let incarnation = Incarnation(incarnation);
    AttemptId { instance: InstanceId::new(instance), incarnation, sequence }
}

fn names() -> (OrganisationId, RequestId) {
    (OrganisationId::new("mandeville"), RequestId::new("r1"))
}

fn held(attempt: &AttemptId, completed: bool) -> ClaimAnswer {
    ClaimAnswer::Held { attempt: attempt.clone(), completed }
}

/// Guards against a repeat that runs during or soon after the first attempt, claims that never
/// expire, and a late `finish` of another attempt.
#[tokio::test(start_paused = true)]
async fn a_request_id_is_held_until_ten_minutes_after_completion() {
    let claims = RequestClaims::new(TokioClock::new());
    let (organisation, request) = names();
    let (first, second) = (attempt("a", 1, 1), attempt("b", 1, 1));
    assert_eq!(claims.claim(&organisation, &request, &first), ClaimAnswer::Claimed);
    assert_eq!(claims.claim(&organisation, &request, &first), ClaimAnswer::Claimed);
    assert_eq!(claims.claim(&organisation, &request, &second), held(&first, false));
    let other = OrganisationId::new("portmore");
    assert_eq!(claims.claim(&other, &request, &second), ClaimAnswer::Claimed);
    claims.finish(&organisation, &request, &second, false);
    claims.finish(&organisation, &request, &first, true);
    claims.finish(&organisation, &request, &first, false);
    tokio::time::advance(Duration::from_secs(599)).await;
    assert_eq!(claims.claim(&organisation, &request, &second), held(&first, true));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(claims.claim(&organisation, &request, &second), ClaimAnswer::Claimed);
}

/// Guards against a repeat that is refused although the first attempt failed or its instance died.
#[tokio::test(start_paused = true)]
async fn a_repeat_runs_after_failure_or_death_of_the_first_attempt() {
    let claims = RequestClaims::new(TokioClock::new());
    let (organisation, request) = names();
    let (first, second) = (attempt("a", 1, 1), attempt("a", 2, 1));
    claims.claim(&organisation, &request, &first);
    claims.finish(&organisation, &request, &first, false);
    assert_eq!(claims.claim(&organisation, &request, &second), ClaimAnswer::Claimed);
    claims.release_instance(&InstanceId::new("a"), Incarnation(1));
    assert_eq!(claims.claim(&organisation, &request, &first), held(&second, false));
    claims.release_instance(&InstanceId::new("a"), Incarnation(2));
    assert_eq!(claims.claim(&organisation, &request, &first), ClaimAnswer::Claimed);
}

/// Guards against a completed request that runs again because its instance died afterwards, and a
/// new holder that refuses requests still running from the time of the old one.
#[tokio::test(start_paused = true)]
async fn completed_and_live_requests_outlive_their_instance_and_holder() {
    let claims = RequestClaims::new(TokioClock::new());
    let (organisation, request) = names();
    let (first, second) = (attempt("a", 1, 1), attempt("b", 1, 1));
    claims.claim(&organisation, &request, &first);
    claims.finish(&organisation, &request, &first, true);
    claims.release_instance(&InstanceId::new("a"), Incarnation(1));
    assert_eq!(claims.claim(&organisation, &request, &second), held(&first, true));
    claims.retain_organisations(|_| false);
    assert!(claims.is_empty());
    let live = RequestId::new("live");
    assert_eq!(claims.claim(&organisation, &live, &second), ClaimAnswer::Claimed);
    assert_eq!(claims.claim(&organisation, &live, &first), held(&second, false));
}

/// Guards against a request that runs again because its completion reached a new holder that had
/// not received the claim, and claims of a dead instance that are never released.
#[tokio::test(start_paused = true)]
async fn an_end_without_a_claim_is_kept_and_claimants_are_known() {
    let claims = RequestClaims::new(TokioClock::new());
    let (organisation, request) = names();
    let (first, second) = (attempt("a", 1, 1), attempt("b", 1, 1));
    claims.finish(&organisation, &request, &first, true);
    assert_eq!(claims.claim(&organisation, &request, &second), held(&first, true));
    assert!(claims.claiming_instances().is_empty());
    let live = RequestId::new("live");
    claims.finish(&organisation, &live, &first, false);
    assert_eq!(claims.claim(&organisation, &live, &second), ClaimAnswer::Claimed);
    let claimants: Vec<_> = claims.claiming_instances().into_iter().collect();
    assert_eq!(claimants, [(second.instance.clone(), second.incarnation)]);
}

/// Guards against a new holder that answers before it has collected the claims of the old one,
/// forgets completed requests, or keeps them longer than the old holder would have.
#[tokio::test(start_paused = true)]
async fn a_new_holder_learns_running_and_completed_requests() {
    let claims = RequestClaims::new(TokioClock::new());
    let (organisation, request) = names();
    let (first, second) = (attempt("a", 1, 1), attempt("b", 1, 1));
    let shard = ShardId::Budget(3);
    claims.set_collected(&shard, FencingToken(1));
    assert!(
        claims.is_collected(&shard, FencingToken(1))
            && !claims.is_collected(&shard, FencingToken(2))
    );
    let reported = |request: &RequestId, kept_ms| ReportedClaim {
        organisation: organisation.clone(),
        request: request.clone(),
        attempt: first.clone(),
        kept_ms,
    };
    let later = RequestId::new("later");
    claims.add_reported(&reported(&later, Some(9_000)));
    claims.add_reported(&reported(&request, None));
    claims.add_reported(&reported(&request, Some(4_000)));
    claims.add_reported(&reported(&request, None));
    assert_eq!(claims.claim(&organisation, &request, &second), held(&first, true));
    tokio::time::advance(Duration::from_secs(4)).await;
    assert_eq!(claims.claim(&organisation, &request, &second), ClaimAnswer::Claimed);
    assert_eq!(claims.claim(&organisation, &later, &second), held(&first, true));
}
