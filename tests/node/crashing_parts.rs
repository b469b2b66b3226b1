//! Parts of prompts under which endpoints end.

use almondroad::admission::{ClassReport, Rank, ServiceReport};
use almondroad::balance::IncarnationKey;
use almondroad::clock::Instant;
use almondroad::crashes::{CrashReports, CrashingParts, PartKey};
use almondroad::fleet::{Status, StatusExtension};
use almondroad::units::{PromptPartId, ServiceId};
use proptest::prelude::*;

use super::members::status;
use super::support::{at, service};

fn keys(parts: &[u64]) -> Vec<PartKey> {
    keys_of(&service(), parts)
}

fn keys_of(service: &ServiceId, parts: &[u64]) -> Vec<PartKey> {
    let parts: Vec<PromptPartId> = parts.iter().map(|part| PromptPartId(*part)).collect();
    PartKey::all(service, parts.iter()).collect()
}

fn process(endpoint_key: u32) -> IncarnationKey {
    IncarnationKey { endpoint_key, started_unix_ms: 1 }
}

fn is_refused(known: &CrashingParts, parts: &[u64], now: Instant) -> bool {
    known.refused_until(keys(parts).into_iter(), now).is_some()
}

/// Endpoints `1..=count` end under requests with `parts`, 300 ms after each other.
fn end_endpoints(known: &mut CrashingParts, parts: &[u64], count: u32) {
    for n in 1..=count {
        known.record_end(&keys(parts), process(n), at(u64::from(n) * 300));
    }
}

/// Guards against one endpoint after the other that ends under new requests with a common part, at
/// another instance each time.
#[test]
fn ends_that_each_of_many_instances_has_seen_once_are_added_up() {
    for instances in [3, 58, 95] {
        let mut fleet = vec![CrashingParts::default(); instances];
        for n in 0..3 {
            let now = at(n as u64 * 300);
            let own_part = 1_000 + n as u64;
            let seen_by = n * (instances / 3);
            fleet[seen_by].record_end(&keys(&[own_part, 7]), process(n as u32), now);
            assert!(!is_refused(&fleet[seen_by], &[own_part, 7], now));
        }
        let reports: Vec<_> = fleet.iter().map(|known| known.reports(at(900))).collect();
        for known in &mut fleet {
            reports.iter().for_each(|report| known.merge(report, at(950)));
            assert!(is_refused(known, &[5_000, 7], at(950)), "of {instances}");
        }
        // An instance that starts later learns it from any of them.
        let mut started = CrashingParts::default();
        started.merge(&fleet[instances - 1].reports(at(60_000)), at(60_000));
        assert!(is_refused(&started, &[6_000, 7], at(60_000)), "of {instances}");
    }
}

/// Guards against refusals of requests that share other parts with those under which endpoints end.
#[test]
fn requests_that_share_other_parts_are_served() {
    let mut known = CrashingParts::default();
    end_endpoints(&mut known, &[1, 7], 3);
    assert!(is_refused(&known, &[1, 7], at(1_000)));
    // Nothing tells the two parts apart yet, so only both together are refused.
    assert!(!is_refused(&known, &[1], at(1_000)));
    assert!(!is_refused(&known, &[1, 2], at(1_000)));
    known.record_begun(keys(&[1, 2]).into_iter(), at(1_100));
    assert!(is_refused(&known, &[1, 7], at(1_200)));
    assert!(is_refused(&known, &[3, 7], at(1_200)));
    assert!(is_refused(&known, &[7], at(1_200)));
    assert!(!is_refused(&known, &[1, 3], at(1_200)));
}

/// Guards against refusals of a part that only happened to be in the same requests for a while: a
/// further end without it shows the cause.
#[test]
fn a_part_that_explains_fewer_ends_is_not_refused() {
    let mut known = CrashingParts::default();
    end_endpoints(&mut known, &[1, 7], 3);
    known.record_end(&keys(&[2, 7]), process(4), at(1_500));
    assert!(is_refused(&known, &[2, 7], at(1_600)) && is_refused(&known, &[1, 7], at(1_600)));
    assert!(!is_refused(&known, &[1, 2], at(1_600)));
}

/// Guards against refusals of sound requests after a rack or a zone has failed, which ends many
/// endpoints under requests with the same parts at once.
#[test]
fn endpoints_that_end_together_count_once() {
    let mut known = CrashingParts::default();
    for n in 0..30 {
        known.record_end(&keys(&[1]), process(n), at(u64::from(n)));
    }
    assert!(!is_refused(&known, &[1], at(100)));
    for n in 0..30 {
        known.record_end(&keys(&[1]), process(100 + n), at(2_000 + u64::from(n)));
    }
    assert!(!is_refused(&known, &[1], at(2_100)));
}

/// Guards against one process whose end several instances have seen counting as several.
#[test]
fn an_end_that_several_instances_have_seen_counts_once() {
    let mut known = CrashingParts::default();
    for peer_delay_ms in [0, 300, 700] {
        let mut peer = CrashingParts::default();
        peer.record_end(&keys(&[7]), process(1), at(peer_delay_ms));
        known.merge(&peer.reports(at(800)), at(800));
    }
    known.record_end(&keys(&[7]), process(2), at(900));
    assert!(!is_refused(&known, &[7], at(1_000)));
}

/// Guards against one part hiding another one when requests with both kinds come at once.
#[test]
fn two_parts_under_which_endpoints_end_are_both_refused() {
    let mut known = CrashingParts::default();
    for n in 0..3 {
        known.record_end(&keys(&[1, 7]), process(n), at(u64::from(n) * 200));
        known.record_end(&keys(&[1, 8]), process(10 + n), at(u64::from(n) * 200 + 100));
    }
    // A request with the second part also waited at an endpoint that ended under the first one.
    known.record_end(&keys(&[1, 8]), process(1), at(800));
    known.record_begun(keys(&[1]).into_iter(), at(900));
    assert!(is_refused(&known, &[1, 7], at(1_000)) && is_refused(&known, &[1, 8], at(1_000)));
    assert!(!is_refused(&known, &[1], at(1_000)));
}

/// Guards against parts of one service being refused at another, whose endpoints are sound.
#[test]
fn a_part_is_refused_only_at_the_service_whose_endpoints_ended() {
    let mut known = CrashingParts::default();
    end_endpoints(&mut known, &[7], 3);
    let other = keys_of(&ServiceId::new("other"), &[7]);
    assert!(known.refused_until(other.iter().copied(), at(1_000)).is_none());
    known.record_begun(other.into_iter(), at(1_100));
    assert!(is_refused(&known, &[7], at(1_200)));
}

/// Guards against a refusal without end, and against one that ends while such requests still come.
#[test]
fn a_request_is_sent_again_after_a_long_time() {
    let mut known = CrashingParts::default();
    end_endpoints(&mut known, &[7], 3);
    assert!(is_refused(&known, &[7], at(100_000)));
    known.expire(at(130_000));
    assert!(!is_refused(&known, &[7], at(130_000)));
    known.record_end(&keys(&[7]), process(9), at(131_000));
    assert!(is_refused(&known, &[7], at(131_100)));
    known.expire(at(900_000));
    assert!(known.is_empty());
}

/// Guards against records that instances which drop them at different times get back from each other
/// without end.
#[test]
fn a_record_is_dropped_by_all_instances() {
    let (mut known, mut peer) = (CrashingParts::default(), CrashingParts::default());
    end_endpoints(&mut known, &[7], 3);
    peer.merge(&known.reports(at(1_000)), at(1_000));
    for seconds in 600..=610 {
        let now = at(seconds * 1_000);
        known.expire(now);
        known.merge(&peer.reports(now), now);
        peer.merge(&known.reports(now), now);
        peer.expire(now);
    }
    assert!(known.is_empty() && peer.is_empty());
}

/// Guards against an excuse that is lost because it comes long after the ends.
#[test]
fn a_late_excuse_holds_although_peers_report_the_ends() {
    let (mut known, mut peer) = (CrashingParts::default(), CrashingParts::default());
    end_endpoints(&mut known, &[7], 3);
    peer.merge(&known.reports(at(1_000)), at(1_000));
    known.record_begun(keys(&[7]).into_iter(), at(130_000));
    known.expire(at(130_000));
    known.merge(&peer.reports(at(130_100)), at(130_100));
    known.record_end(&keys(&[7]), process(9), at(131_000));
    assert!(!is_refused(&known, &[7], at(131_000)));
}

/// Guards against reports that grow without bound, or leave out what leads to refusals, after
/// endpoints have ended under many requests.
#[test]
fn reports_hold_what_leads_to_refusals_and_stay_short() {
    let mut known = CrashingParts::default();
    end_endpoints(&mut known, &[7], 3);
    for part in 0..2_000 {
        known.record_end(&keys(&[10_000 + part]), process(50), at(2_000));
    }
    let reports = known.reports(at(2_100));
    assert!(reports.len() <= 16 && reports[0].key == keys(&[7])[0]);
    let later = known.reports(at(60_000));
    assert_eq!(later.len(), 1);
}

proptest! {
    /// Guards against instances that refuse different requests because reports reached them in another
    /// order, more than once, or after an answer had begun.
    #[test]
    fn the_order_of_reports_does_not_matter(
        events in prop::collection::vec((0..4_usize, 0..6_u64, prop::option::of(0..10_u32)), 1..60),
        order in Just((0..4_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut fleet = vec![CrashingParts::default(); 4];
        for (time, (instance, part, ended)) in events.iter().enumerate() {
            let now = at(time as u64 * 150);
            match ended {
                Some(n) => fleet[*instance].record_end(&keys(&[*part]), process(*n), now),
                None => fleet[*instance].record_begun(keys(&[*part]).into_iter(), now),
            }
        }
        let now = at(60 * 150);
        let reports: Vec<_> = fleet.iter().map(|known| known.reports(now)).collect();
        let (mut first, mut second) = (CrashingParts::default(), CrashingParts::default());
        (0..4).for_each(|n| first.merge(&reports[n], now));
        order.iter().chain(&order).for_each(|n| second.merge(&reports[*n], now));
        for part in 0..6 {
            prop_assert_eq!(is_refused(&first, &[part], now), is_refused(&second, &[part], now));
        }
        prop_assert_eq!(first.reports(now), second.reports(now));
    }
}

/// Guards against instances of an earlier version that cannot read the statuses of this one while a
/// fleet is upgraded.
#[test]
fn reports_follow_what_instances_of_an_earlier_version_read() {
    let mut known = CrashingParts::default();
    end_endpoints(&mut known, &[7], 3);
    let before = status(1, 1).encode().unwrap();
    let crash_reports = CrashReports { parts: known.reports(at(1_000)), requests: Vec::new() };
    let with_reports = Status { crash_reports, ..status(1, 1) };
    let encoded = with_reports.encode().unwrap();
    assert!(encoded.starts_with(&before) && encoded.len() > before.len());
    assert_eq!(Status::decode(&encoded).unwrap(), with_reports);
    assert_eq!(Status::decode(&before).unwrap(), status(1, 1));
}

fn service_report() -> ServiceReport {
    let class =
        ClassReport { rank: Rank::new(1, None), waiting_tokens: 3_800, ..ClassReport::default() };
    ServiceReport { service: service(), classes: vec![class] }
}

/// Guards against an extension that instances of an earlier version take for crash reports, or that
/// is lost while there are none.
#[test]
fn the_extension_follows_the_crash_reports() {
    let extension =
        StatusExtension { waiting: vec![service_report()], ..StatusExtension::default() };
    let extended = Status { extension, ..status(1, 1) };
    let encoded = extended.encode().unwrap();
    assert!(encoded.starts_with(&status(1, 1).encode().unwrap()));
    assert_eq!(Status::decode(&encoded).unwrap(), extended);
}
