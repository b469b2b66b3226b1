use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use almondroad::catalog::Customer;
use almondroad::hash::stable_hash;
use almondroad::quota::{Quotas, SlidingWindow, TokenUsage};
use almondroad::units::{OrganisationId, Tokens, TokensPerSecond};
use proptest::prelude::*;

use super::support::at;

const WINDOW_MS: u64 = 8_000;

fn window() -> SlidingWindow {
    SlidingWindow::new(WINDOW_MS, TokensPerSecond(1_000), Tokens(2_000), at(0))
}

fn peer() -> (IpAddr, u64) {
    ([10, 0, 0, 2].into(), 7)
}

/// Returns quotas with the limit of `window` for each of some organisations.
fn quotas_of(organisations: impl IntoIterator<Item = OrganisationId>) -> Quotas {
    let customers = organisations.into_iter().map(|organisation| {
        Rc::new(Customer {
            organisation,
            priority: None,
            rate: Some(TokensPerSecond(1_000)),
            burst: Tokens(2_000),
            plain_tokens: Tokens(200),
        })
    });
    let mut quotas = Quotas::new(WINDOW_MS, false);
    quotas.set_customers(&customers.collect::<Vec<_>>(), at(0));
    quotas
}

fn organisation() -> OrganisationId {
    OrganisationId::new("blue")
}

/// Returns a report of `tokens` spent for `organisation`.
fn report(organisation: &OrganisationId, tokens: u64) -> Vec<TokenUsage> {
    let organisation_key = stable_hash(organisation.as_str()) as u32;
    vec![TokenUsage { organisation_key, tokens }]
}

/// Guards against rejecting an organisation that sends batches but stays below its limit: a token
/// bucket sized for one burst rejected 319 attempts in nmha-router quiet-1.
#[test]
fn a_batch_is_admitted_if_the_window_has_capacity() {
    let mut window = window();
    assert!(window.try_acquire(Tokens(9_000), at(10), 1.0, 0).is_ok());
    assert!(window.try_acquire(Tokens(2_000), at(20), 1.0, 0).is_err());
}

/// Guards against instances that do not see the usage of each other.
#[test]
fn usage_of_peers_is_counted() {
    let mut quotas = quotas_of([organisation()]);
    quotas.record_peer_report(peer(), &report(&organisation(), 0), true, at(0));
    quotas.record_peer_report(peer(), &report(&organisation(), 9_500), false, at(100));
    assert!(quotas.try_acquire(&organisation(), Tokens(1_000), at(110)).is_err());
    assert!(quotas.try_acquire(&organisation(), Tokens(1_000), at(8_500)).is_ok());
}

/// Guards against counting the whole past usage of a peer as current when its first report arrives.
#[test]
fn the_first_report_of_a_running_process_sets_the_baseline() {
    let mut quotas = quotas_of([organisation()]);
    quotas.record_peer_report(peer(), &report(&organisation(), 500_000), false, at(0));
    assert!(quotas.try_acquire(&organisation(), Tokens(5_000), at(10)).is_ok());
}

/// Guards against a second burst after a restart: an instance that starts while others run does
/// not know their usage.
#[test]
fn a_joining_instance_starts_with_a_spent_window() {
    let mut window = window();
    window.assume_fully_spent(at(0));
    assert!(window.try_acquire(Tokens(500), at(0), 1.0, 0).is_err());
    assert!(window.try_acquire(Tokens(500), at(1_200), 1.0, 0).is_ok());
}

/// Guards against a partitioned instance that spends the same tokens as the others.
#[test]
fn the_share_of_unreachable_instances_is_left_to_them() {
    let mut window = window();
    assert!(window.try_acquire(Tokens(2_500), at(0), 0.25, 0).is_ok());
    assert!(window.try_acquire(Tokens(100), at(10), 0.25, 0).is_err());
}

/// Guards against a retry delay that ends before tokens are available.
#[test]
fn a_request_is_admitted_after_its_retry_delay() {
    let mut window = window();
    window.try_acquire(Tokens(10_000), at(0), 1.0, 0).unwrap();
    let wait_ms = window.try_acquire(Tokens(100), at(1_000), 1.0, 0).unwrap_err();
    assert!(window.try_acquire(Tokens(100), at(1_000 + wait_ms), 1.0, 0).is_ok());
}

/// Time to record `rounds` reports of each of some peers, about one of `organisations`.
fn time_reports(peers: u16, organisations: usize, rounds: u64) -> Duration {
    let ids = (0..organisations).map(|index| OrganisationId::new(format!("org-{index}")));
    let mut quotas = quotas_of(ids);
    let organisation = OrganisationId::new("org-0");
    let started_at = Instant::now();
    for round in 1..=rounds {
        for peer in 0..peers {
            let address = IpAddr::from([10, 0, (peer >> 8) as u8, peer as u8]);
            let spent = report(&organisation, round);
            quotas.record_peer_report((address, 7), &spent, false, at(round));
        }
    }
    started_at.elapsed()
}

/// Guards against reports whose cost grows with the number of peers: with 300 instances each report
/// visited the totals of all of them, for every organisation.
#[test]
fn the_cost_of_a_report_does_not_grow_with_the_fleet() {
    let (small, large) = (time_reports(10, 1, 20_000), time_reports(1_000, 1, 200));
    assert!(large < 10 * small, "{small:?} for reports of 10 peers, {large:?} of 1,000");
}

/// Guards against reports whose cost grows with the number of organisations: with 300 instances 29% of
/// the processor time was spent on totals of organisations for which the peer had spent nothing.
#[test]
fn the_cost_of_a_report_does_not_grow_with_the_organisations() {
    let (small, large) = (time_reports(100, 1, 200), time_reports(100, 1_000, 200));
    assert!(large < 10 * small, "{small:?} with 1 organisation, {large:?} with 1,000");
}

/// Guards against tokens that stay counted when a peer has returned all of them, and against those of
/// an organisation that are counted for another one.
#[test]
fn tokens_that_a_peer_returns_are_no_longer_counted() {
    let other = OrganisationId::new("red");
    let mut quotas = quotas_of([organisation(), other.clone()]);
    quotas.record_peer_report(peer(), &[], true, at(0));
    quotas.record_peer_report(peer(), &report(&organisation(), 9_500), false, at(100));
    assert!(quotas.try_acquire(&organisation(), Tokens(1_000), at(110)).is_err());
    assert!(quotas.try_acquire(&other, Tokens(9_000), at(110)).is_ok());
    quotas.record_peer_report(peer(), &[], false, at(200));
    assert!(quotas.try_acquire(&organisation(), Tokens(9_000), at(210)).is_ok());
}

/// Guards against usage that is counted again, or not at all, when a peer is restarted.
#[test]
fn reports_of_the_next_process_of_a_peer_begin_anew() {
    let mut quotas = quotas_of([organisation()]);
    let (address, _) = peer();
    quotas.record_peer_report((address, 7), &report(&organisation(), 4_000), true, at(0));
    quotas.record_peer_report((address, 8), &report(&organisation(), 5_000), true, at(100));
    assert!(quotas.try_acquire(&organisation(), Tokens(2_000), at(110)).is_err());
    assert!(quotas.try_acquire(&organisation(), Tokens(1_000), at(120)).is_ok());
    quotas.record_peer_report((address, 9), &report(&organisation(), 900_000), false, at(8_300));
    assert!(quotas.try_acquire(&organisation(), Tokens(8_000), at(8_400)).is_ok());
}

proptest! {
    /// Guards against windows above `rate x window + burst` for any sequence of requests and
    /// refunds.
    #[test]
    fn no_window_exceeds_its_limit(
        requests in prop::collection::vec((1_u64..400, 1_u64..3_000, any::<bool>()), 1..200),
    ) {
        let mut window = window();
        let mut now_ms = 0;
        let mut admitted: Vec<(u64, u64)> = Vec::new();
        for (pause_ms, tokens, is_refunded) in requests {
            now_ms += pause_ms;
            if window.try_acquire(Tokens(tokens), at(now_ms), 1.0, 0).is_err() {
                continue;
            }
            if is_refunded {
                window.refund(Tokens(tokens), at(now_ms));
            } else {
                admitted.push((now_ms, tokens));
            }
            let from = now_ms.saturating_sub(WINDOW_MS);
            let sum: u64 = admitted.iter().filter(|(ms, _)| *ms > from).map(|(_, t)| t).sum();
            prop_assert!(sum <= 10_000, "{sum} tokens in the window before {now_ms} ms");
        }
    }
}

/// Guards against usage of a peer that is never counted because its first request for an
/// organisation follows its first report (seen in nmha-router trouble-3, QUOTA).
#[test]
fn first_usage_of_a_known_peer_is_counted() {
    let mut quotas = quotas_of([organisation()]);
    let mut peer_quotas = quotas_of([organisation()]);
    quotas.record_peer_report(peer(), &peer_quotas.local_spent(), false, at(0));
    peer_quotas.try_acquire(&organisation(), Tokens(9_500), at(10)).unwrap();
    quotas.record_peer_report(peer(), &peer_quotas.local_spent(), false, at(20));
    assert!(quotas.try_acquire(&organisation(), Tokens(1_000), at(30)).is_err());
}
