//! Request ids in progress at the owner.

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

/// Guards against a repeat that runs while or soon after the first attempt runs, against claims
/// that never end, and against a late `finish` of another attempt.
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

/// Guards against a caller whose repeat is refused although its first attempt failed or died.
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

/// Guards against a completed request that runs again because its instance died afterwards, and
/// against a new owner that refuses live requests of the old one.
#[tokio::test(start_paused = true)]
async fn completed_and_live_requests_outlive_their_instance_and_owner() {
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

/// Guards against a request that runs again because its end reached a holder that is new and has
/// not heard of the claim, and against claims of a dead run that nobody releases.
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

/// Guards against a new holder that answers claims before it has heard of those of the old one,
/// forgets what had completed, or keeps it for longer than the old holder would have.
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
