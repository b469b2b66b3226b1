//! Experiments with a fleet of real processes, run short. Each checks its bounds itself.

use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// A fleet is a dozen processes with timing bounds, so that only one runs at a time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

fn run(experiment: &str) {
    let _guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let output = Command::new(env!("CARGO_BIN_EXE_almondroad-bench"))
        .args(["run", experiment, "--seconds", "8", "--seed", "1", "--json"])
        .output()
        .unwrap();
    let metrics = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{}: {metrics}{errors}", output.status);
}

/// Guards against shards that stay without an owner after an instance died, responses that are
/// wrong or repeated, and request ids that a dead instance keeps claimed.
#[test]
fn killed_gateways_are_replaced() {
    run("kill");
}

/// Guards against service, leases or budgets that depend on the platform's table.
#[test]
fn service_goes_on_while_the_store_is_down() {
    run("store-outage");
}

/// Guards against an instance failure during an outage of the table that affects the shards of live
/// owners.
#[test]
fn a_gateway_dies_while_the_store_is_down() {
    run("store-outage-kill");
}

/// Guards against an owner that goes on after it was frozen for longer than its leases.
#[test]
fn a_gateway_is_frozen_while_the_store_is_down() {
    run("store-outage-pause");
}

/// Guards against a withdrawn key that works on over open connections or other instances.
#[test]
fn withdrawn_keys_stop_working() {
    run("withdraw");
}

/// Guards against requests that a planned stop cuts, and against budgets that start empty after a
/// handover.
#[test]
fn planned_stops_interrupt_no_request() {
    run("stop");
}

/// Guards against instances that hand shards to each other while they all stop, budgets that start
/// empty, and requests affected when half of the instances leave or return.
#[test]
fn halving_the_gateways_is_not_noticed() {
    run("scale");
}

/// Guards against accepted edits that are lost, reverted or late on some instance.
#[test]
fn racing_edits_are_in_force_everywhere() {
    run("edits");
}

/// Guards against shards that two sides of a partition hold at once, against keys that go on
/// working on the side that cannot learn of their withdrawal, and against a majority that does not
/// serve.
#[test]
fn a_minority_is_cut_off() {
    run("partition");
}

/// Guards against an instance that depends on the platform while its peers reach it.
#[test]
fn one_gateway_is_cut_off_from_the_platform() {
    run("partition-platform");
}

/// Guards against budgets, keys and versions that differ between sides that both reach the
/// platform but not each other.
#[test]
fn peers_are_cut_off_from_each_other() {
    run("partition-peers");
}

/// Guards against role changes and loads that end with their owner, cut requests, take too many
/// engines out or exceed the weight store's rate.
#[test]
fn roles_and_models_change_while_an_owner_dies() {
    run("roles");
}
