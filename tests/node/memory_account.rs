use std::time::Duration;

use almondroad::http::{AccountLimits, MemoryAccount, MemoryCharge};

fn account(max_bytes: usize, max_connections: usize) -> MemoryAccount {
    let max_descriptors = 2 * max_connections;
    MemoryAccount::new(AccountLimits { max_bytes, max_connections, max_descriptors })
}

async fn is_shed(charge: &MemoryCharge) -> bool {
    tokio::time::timeout(Duration::from_millis(1), charge.shed()).await.is_ok()
}

/// Opens a request of this size on a connection of its own without memory.
fn open_request(account: &MemoryAccount, bytes: usize) -> (MemoryCharge, MemoryCharge) {
    let connection = account.open_connection(0).unwrap();
    let request = connection.open_request(0);
    assert!(request.grow_to(bytes));
    (connection, request)
}

/// Guards against memory that stays charged after its client has left.
#[test]
fn a_dropped_charge_returns_its_memory() {
    let account = account(100, 10);
    let connection = account.open_connection(60).unwrap();
    let request = connection.open_request(0);
    assert!(account.open_connection(60).is_none());
    drop(request);
    drop(connection);
    assert_eq!(account.used_bytes(), 0);
    assert!(account.open_connection(60).is_some());
}

/// Guards against a newcomer that is refused because of clients that only wait, and against closing
/// a recently active client before one that has long been idle.
#[tokio::test(start_paused = true)]
async fn the_least_recently_active_of_equal_connections_is_shed() {
    let account = account(1_000, 2);
    let first = account.open_connection(10).unwrap();
    let second = account.open_connection(10).unwrap();
    assert!(first.grow_to(10));
    let third = account.open_connection(10).unwrap();
    assert!(is_shed(&second).await);
    assert!(!is_shed(&first).await && !is_shed(&third).await);
    assert!(!second.grow_to(20));
    drop(second);
    assert_eq!(account.used_bytes(), 20);
}

/// Guards against shedding small requests to make room for a large one.
#[tokio::test(start_paused = true)]
async fn the_largest_request_yields_to_a_small_one() {
    let account = account(8 << 20, 10);
    let (_small_connection, small) = open_request(&account, 300 << 10);
    let (_large_connection, large) = open_request(&account, 4 << 20);
    small.set_arriving(true);
    large.set_arriving(true);
    let (_connection, growing) = open_request(&account, 600 << 10);
    assert!(!is_shed(&large).await);
    assert!(growing.grow_to(2 << 20));
    assert!(is_shed(&large).await && !is_shed(&small).await);
    assert!(!growing.grow_to(7 << 20));
    assert!(!is_shed(&small).await);
    assert_eq!(account.used_bytes(), (2 << 20) + (300 << 10));
}

/// Guards against breaking off a request that an endpoint may be running, and its connection.
#[tokio::test(start_paused = true)]
async fn a_request_in_progress_is_not_shed() {
    let account = account(100, 10);
    let (connection, running) = open_request(&account, 80);
    assert!(account.open_connection(30).is_none());
    assert!(!is_shed(&running).await && !is_shed(&connection).await);
    running.set_blocked(true);
    assert!(account.open_connection(30).is_some());
    assert!(is_shed(&running).await && is_shed(&connection).await);
}

/// Guards against a client whose response is not read and whose connection stays open, and against
/// one that is closed although only its body is refused.
#[tokio::test(start_paused = true)]
async fn only_the_connection_of_a_blocked_response_is_closed() {
    let account = account(100, 10);
    let (connection, arriving) = open_request(&account, 80);
    arriving.set_arriving(true);
    let (_other, second) = open_request(&account, 80);
    assert!(is_shed(&arriving).await && !is_shed(&connection).await);
    second.set_blocked(true);
    let (_third_connection, _third) = open_request(&account, 80);
    assert!(is_shed(&second).await && is_shed(&_other).await);
}

/// Guards against a request in progress that is broken off because idle connections, each smaller
/// than the memory it asks for, leave none (review/10).
#[tokio::test(start_paused = true)]
async fn idle_connections_yield_to_a_request_of_any_size() {
    let account = account(100 << 10, 10);
    let idle: Vec<_> = (0..4).map(|_| account.open_connection(20 << 10).unwrap()).collect();
    let connection = account.open_connection(20 << 10).unwrap();
    let _request = connection.open_request(0);
    assert!(connection.grow_to(60 << 10));
    assert!(is_shed(&idle[0]).await && is_shed(&idle[1]).await);
    assert!(!is_shed(&idle[2]).await && !is_shed(&idle[3]).await);
}

/// Guards against a response that is buffered in place of others: it can be passed on slowly.
#[tokio::test(start_paused = true)]
async fn memory_that_can_wait_sheds_nothing() {
    let account = account(100, 10);
    let idle = account.open_connection(50).unwrap();
    let (_connection, request) = open_request(&account, 40);
    assert!(!request.try_grow_to(60));
    assert!(!is_shed(&idle).await);
    assert!(request.try_grow_to(50));
    drop(idle);
    assert!(request.try_grow_to(85));
}

/// Guards against large requests that run and leave nothing for small ones, and against small ones
/// that leave nothing for the instance's own answers.
#[test]
fn large_charges_leave_a_part_for_small_ones() {
    let account = account(8 << 20, 1_000);
    let _large = open_request(&account, 5 << 20);
    let connection = account.open_connection(0).unwrap();
    let refused = connection.open_request(0);
    assert!(!refused.grow_to(257 << 10));
    let small: Vec<_> = (0..8).map(|_| open_request(&account, 256 << 10)).collect();
    assert!(!refused.grow_to(256 << 10));
    let own: Vec<_> = (0..32).map(|_| open_request(&account, 32 << 10)).collect();
    assert_eq!(account.used_bytes(), 8 << 20);
    assert_eq!((small.len(), own.len()), (8, 32));
}

/// Guards against more requests in progress than there are descriptors for their endpoints.
#[test]
fn requests_count_against_the_descriptors() {
    let limits = AccountLimits { max_bytes: 1 << 20, max_connections: 10, max_descriptors: 3 };
    let account = MemoryAccount::new(limits);
    let (_first, _running) = open_request(&account, 10);
    let connection = account.open_connection(10).unwrap();
    let refused = connection.open_request(10);
    assert!(!refused.grow_to(20));
    assert!(account.open_connection(10).is_none());
}

/// Guards against limits that refuse the largest body of the known deployments on their smallest
/// machine, and against limits above what that machine has.
#[test]
fn the_smallest_machine_has_room_for_the_largest_body() {
    let limits = AccountLimits::for_machine(88, 4_100);
    let account = MemoryAccount::new(limits);
    let _body = open_request(&account, 4 << 20);
    let connections: Vec<_> = (0..1_000).map_while(|_| account.open_connection(24 << 10)).collect();
    assert_eq!(connections.len(), 1_000);
    assert!(account.used_bytes() < 88 << 20);
    assert!(limits.max_bytes <= 66 << 20);
    assert!(limits.max_connections < limits.max_descriptors && limits.max_descriptors < 3_900);
}

/// Guards against accepting connections while those that made room for them still hold their
/// descriptors.
#[test]
fn a_shed_charge_is_known_until_it_is_dropped() {
    let account = account(100, 1);
    let idle = account.open_connection(10).unwrap();
    assert!(!account.has_shed_charges());
    let newcomer = account.open_connection(10).unwrap();
    assert!(account.has_shed_charges());
    drop(idle);
    assert!(!account.has_shed_charges());
    drop(newcomer);
    assert_eq!((account.used_bytes(), account.has_shed_charges()), (0, false));
}
