use std::time::Duration;

use almondroad::http::{AccountLimits, ClientLimits, MemoryAccount, MemoryCharge};

fn account(max_bytes: usize, max_charges: usize) -> MemoryAccount {
    MemoryAccount::new(AccountLimits { max_bytes, max_charges })
}

async fn is_shed(charge: &MemoryCharge) -> bool {
    tokio::time::timeout(Duration::from_millis(1), charge.shed()).await.is_ok()
}

/// Guards against memory that stays charged after its client has left.
#[test]
fn a_dropped_charge_returns_its_memory() {
    let account = account(100, 10);
    let charge = account.open(60).unwrap();
    charge.set_sheddable(false);
    assert!(account.open(60).is_none());
    drop(charge);
    assert_eq!(account.used_bytes(), 0);
    assert!(account.open(60).is_some());
}

/// Guards against a newcomer that is refused because of clients that only wait, and against closing
/// a recently active client before one that has long been idle.
#[tokio::test(start_paused = true)]
async fn the_least_recently_active_of_equal_charges_is_shed() {
    let account = account(1_000, 2);
    let (first, second) = (account.open(10).unwrap(), account.open(10).unwrap());
    assert!(first.grow_to(10));
    let third = account.open(10).unwrap();
    assert!(is_shed(&second).await);
    assert!(!is_shed(&first).await && !is_shed(&third).await);
    assert!(!second.grow_to(20));
    drop(second);
    assert_eq!(account.used_bytes(), 20);
}

/// Guards against shedding small requests to make room for a large one.
#[tokio::test(start_paused = true)]
async fn the_largest_charge_yields_to_a_small_one() {
    let account = account(1_000, 10);
    let (small, large) = (account.open(100).unwrap(), account.open(850).unwrap());
    let growing = account.open(50).unwrap();
    assert!(!is_shed(&large).await);
    assert!(growing.grow_to(300));
    assert!(is_shed(&large).await && !is_shed(&small).await);
    assert!(!growing.grow_to(950));
    assert!(!is_shed(&small).await);
    assert_eq!(account.used_bytes(), 400);
}

/// Guards against breaking off a request that an endpoint may be running.
#[tokio::test(start_paused = true)]
async fn a_request_in_progress_is_not_shed() {
    let account = account(100, 10);
    let running = account.open(80).unwrap();
    running.set_sheddable(false);
    assert!(account.open(30).is_none());
    assert!(!is_shed(&running).await);
    running.set_sheddable(true);
    assert!(account.open(30).is_some());
    assert!(is_shed(&running).await);
}

/// Guards against large requests that run and leave nothing for small ones.
#[test]
fn large_charges_leave_a_part_for_small_ones() {
    let account = account(4 << 20, 100);
    let large = account.open(3 << 20).unwrap();
    large.set_sheddable(false);
    assert!(account.open(65 << 10).is_none());
    let small: Vec<_> = (0..16).map(|_| account.open(64 << 10).unwrap()).collect();
    assert_eq!(account.used_bytes(), (3 << 20) + small.len() * (64 << 10));
}

/// Guards against limits that refuse the largest body of the known deployments on their smallest
/// machine, and against limits above what that machine has.
#[test]
fn the_smallest_machine_has_room_for_the_largest_body() {
    let limits = ClientLimits::for_machine(88, 4_100);
    let body = limits.bodies.open(4 << 20);
    assert!(body.is_some());
    let connections: Vec<_> = (0..1_000).map_while(|_| limits.connections.open(24 << 10)).collect();
    assert_eq!(connections.len(), 1_000);
    let used_bytes = limits.connections.used_bytes() + limits.bodies.used_bytes();
    assert!(used_bytes < 88 << 20);
}

/// Guards against accepting connections while those that made room for them still hold their
/// descriptors.
#[test]
fn a_shed_charge_is_known_until_it_is_dropped() {
    let account = account(100, 1);
    let idle = account.open(10).unwrap();
    assert!(!account.has_shed_charges());
    let newcomer = account.open(10).unwrap();
    assert!(account.has_shed_charges());
    drop(idle);
    assert!(!account.has_shed_charges());
    drop(newcomer);
    assert_eq!((account.used_bytes(), account.has_shed_charges()), (0, false));
}
