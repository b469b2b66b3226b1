use std::collections::HashSet;
use std::net::Ipv4Addr;

use almondroad::fleet::{
    FailureDetector, Liveness, Members, Notices, Rumour, RumourEffects, Status,
};

use super::support::at;

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

pub fn status(run: u64, sequence: u64) -> Status {
    Status {
        run,
        sequence,
        age_ms: 60_000,
        zone: "a".into(),
        is_ready: true,
        is_leaving: false,
        is_store_steady: true,
        versions: [1, 1],
        loads: Vec::new(),
        spent: Vec::new(),
        crashes: Vec::new(),
        known: Vec::new(),
        notices: Notices::default(),
        crash_reports: almondroad::crashes::CrashReports::default(),
        extension: almondroad::fleet::StatusExtension::default(),
    }
}

/// Guards against referring callers to an instance that has failed.
#[test]
fn a_silent_instance_expires() {
    let mut members = Members::new(OWN, at(0));
    members.receive(PEER, &status(1, 1), at(0));
    assert!(members.expire(at(900)).is_empty());
    assert_eq!(members.expire(at(1_200)), [PEER]);
    assert_eq!(members.live_count(), 1);
}

/// Guards against an older datagram that overwrites the state of a newer one.
#[test]
fn late_datagrams_are_dropped() {
    let mut members = Members::new(OWN, at(0));
    assert!(members.receive(PEER, &status(1, 5), at(0)).is_some());
    assert!(members.receive(PEER, &status(1, 4), at(1)).is_none());
    assert!(members.receive(PEER, &status(2, 1), at(2)).is_some());
}

/// Guards against both sides of a network partition spending the full rate.
#[test]
fn a_silent_instance_keeps_its_share_for_some_time() {
    let mut members = Members::new(OWN, at(0));
    for last in 2..=5 {
        members.receive(Ipv4Addr::new(10, 0, 0, last), &status(1, 1), at(0));
    }
    members.expire(at(1_500));
    assert!((members.rate_share(at(1_500)) - 0.2).abs() < 1e-9);
    // An instance that receives nothing is itself partitioned and keeps to its share.
    assert!((members.rate_share(at(30_000)) - 0.2).abs() < 1e-9);
    members.receive(PEER, &status(1, 2), at(30_000));
    assert!((members.rate_share(at(30_000)) - 1.0).abs() < 1e-9);
}

/// Guards against instances that never discover each other because they share no seed.
#[test]
fn instances_are_discovered_through_peers() {
    let mut members = Members::new(OWN, at(0));
    let mut peer_status = status(1, 1);
    peer_status.known = vec![OWN, Ipv4Addr::new(10, 0, 0, 7)];
    members.receive(PEER, &peer_status, at(0));
    let mut addresses = members.addresses();
    addresses.sort_unstable();
    assert_eq!(addresses, [PEER, Ipv4Addr::new(10, 0, 0, 7)]);
}

/// Guards against keeping an old configuration while a peer has a newer one.
#[test]
fn only_peers_that_are_ahead_are_found() {
    let mut members = Members::new(OWN, at(0));
    let mut ahead = status(1, 1);
    ahead.versions = [9, 1];
    members.receive(PEER, &ahead, at(0));
    members.receive(Ipv4Addr::new(10, 0, 0, 3), &status(1, 1), at(0));
    let ahead_of = |version| -> Vec<Ipv4Addr> {
        members.peers_ahead_of(0, version).map(|(address, _)| *address).collect()
    };
    assert_eq!(ahead_of(5), [PEER]);
    assert!(ahead_of(9).is_empty());
}

/// Guards against a large fleet in which every instance polls the store, and against a fleet
/// without readers when the store rejects the usual ones.
#[test]
fn a_large_fleet_uses_some_instances_with_successful_reads_as_readers() {
    let address = |last: u8| Ipv4Addr::new(10, 0, 0, last);
    let readers = |broken: &[u8]| -> Vec<u8> {
        let mut readers = Vec::new();
        for own in 1..=40 {
            let mut members = Members::new(address(own), at(0));
            for peer in (1..=40).filter(|peer| *peer != own) {
                let mut peer_status = status(1, 1);
                peer_status.is_store_steady = !broken.contains(&peer);
                members.receive(address(peer), &peer_status, at(0));
            }
            if members.is_reader(!broken.contains(&own)) {
                readers.push(own);
            }
        }
        readers
    };
    let usual = readers(&[]);
    assert_eq!(usual.len(), 8);
    let others = readers(&usual);
    let working = others.iter().filter(|reader| !usual.contains(reader));
    assert_eq!(working.count(), 8);
}

/// Guards against several instances that keep competing for the same lease, and against selecting
/// an instance that cannot reach the store.
#[test]
fn one_instance_sends_orders() {
    let address = |last: u8| Ipv4Addr::new(10, 0, 0, last);
    let first = |broken: &[u8]| -> Vec<u8> {
        let is_first = |own: &u8| {
            let mut members = Members::new(address(*own), at(0));
            for peer in (1..=9).filter(|peer| peer != own) {
                let mut peer_status = status(u64::from(peer), 1);
                peer_status.is_store_steady = !broken.contains(&peer);
                members.receive(address(peer), &peer_status, at(0));
            }
            members.is_coordinator(!broken.contains(own))
        };
        (1..=9).filter(is_first).collect()
    };
    let usual = first(&[]);
    assert_eq!(usual.len(), 1);
    let other = first(&usual);
    assert_eq!(other.len(), 1);
    assert_ne!(usual, other);
    assert!(first(&[1, 2, 3, 4, 5, 6, 7, 8, 9]).is_empty());
}

/// Guards against a small fleet that depends on only a few readers.
#[test]
fn every_instance_of_a_small_fleet_reads() {
    let mut members = Members::new(OWN, at(0));
    for last in 2..=9 {
        members.receive(Ipv4Addr::new(10, 0, 0, last), &status(1, 1), at(0));
    }
    assert!(members.is_reader(true));
}

/// Guards against instances that get no report of a zone's loads, or several that are based on
/// different views, and against reports that come from few instances only or from new ones.
#[test]
fn each_instance_gets_one_report_of_every_zone_or_collects_its_loads() {
    let address = |last: u8| Ipv4Addr::new(10, 0, 0, last);
    let zone = |last: u8| ["a", "b", "c"][usize::from(last % 3)];
    let is_new = |last: u8| last.is_multiple_of(10);
    let now = at(20_000);
    let mut reports = vec![0; 61];
    let mut collectors = HashSet::new();
    for own in 1..=60 {
        let started_at = if is_new(own) { now } else { at(0) };
        let mut members = Members::new(address(own), started_at);
        for peer in (1..=60).filter(|peer| *peer != own) {
            let age_ms = if is_new(peer) { 10 } else { 20_000 };
            let peer_status = Status { zone: zone(peer).into(), age_ms, ..status(1, 1) };
            members.receive(address(peer), &peer_status, now);
        }
        assert!(members.is_divided_by_zone());
        let receivers = members.report_receivers(zone(own), now);
        let is_collector = members.is_collector(zone(own), now);
        if is_collector {
            collectors.insert(own);
            assert!(!is_new(own), "a new instance collects");
        }
        let (inside, outside) = (receivers.inside, receivers.outside);
        // Twice an even share of the 54 others at most.
        let max_receivers = if is_collector { 18 } else { 0 };
        let count = inside.len() + outside.len();
        assert!(count <= max_receivers, "{own}: {count} receivers");
        for receiver in &inside {
            assert_eq!(zone(receiver.octets()[3]), zone(own));
        }
        for receiver in inside.into_iter().chain(outside) {
            reports[usize::from(receiver.octets()[3])] += 1;
        }
    }
    assert_eq!(collectors.len(), 18, "{collectors:?}");
    for instance in 1..=60 {
        let expected = if collectors.contains(&instance) { 2 } else { 3 };
        assert_eq!(reports[usize::from(instance)], expected, "{instance}: {reports:?}");
    }
}

/// Guards against an instance that is held to be lost although it refutes that, and against rumours
/// about an earlier process that are applied to the next one.
#[test]
fn rumours_of_a_loss_can_be_refuted() {
    let mut members = Members::new(OWN, at(0));
    members.receive(PEER, &status(7, 1), at(0));
    let mut detector = FailureDetector::new(OWN, 1);
    let rumour = |run, refutation, liveness| Rumour { subject: PEER, run, refutation, liveness };
    let lost = |effects: RumourEffects| effects.lost;
    let old_run = [rumour(6, 0, Liveness::Lost)];
    assert!(lost(detector.apply(&old_run, &members, at(1_000))).is_empty());
    let rumours = [rumour(7, 0, Liveness::Lost)];
    // The peer itself was heard a moment ago.
    assert!(lost(detector.apply(&rumours, &members, at(100))).is_empty());
    assert_eq!(lost(detector.apply(&rumours, &members, at(1_000))), [PEER]);
    members.mark_lost(PEER);
    let effects = detector.apply(&[rumour(7, 1, Liveness::Alive)], &members, at(1_100));
    assert_eq!(effects.revived, [PEER]);
    members.revive(PEER);
    assert!(lost(detector.apply(&rumours, &members, at(1_200))).is_empty());
    // A rumour about this instance is answered by a refutation that outlives it.
    let own_loss = Rumour { subject: OWN, run: 1, refutation: 0, liveness: Liveness::Lost };
    detector.apply(&[own_loss], &members, at(1_300));
    let refuted = Rumour { refutation: 1, liveness: Liveness::Alive, ..own_loss };
    assert!(detector.take_rumours(at(1_400)).contains(&refuted));
}
