//! Queries which gateway holds which shards.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::bench::Fleet;
use crate::gateway::budget_shard;
use crate::units::OrganisationId;

/// Returns the shards that an instance holds and their fencing numbers, as the `reachable` gateways
/// report them.
pub(super) async fn shards_held_by(
    fleet: &Fleet,
    reachable: &[SmolStr],
    name: &str,
) -> BTreeMap<String, u64> {
    let mut held = BTreeMap::new();
    for address in reachable {
        let Ok(status) = fleet.status(address).await else { continue };
        for holder in status["holders"].as_array().into_iter().flatten() {
            let shard = holder["shard"].as_str().unwrap_or_default().to_owned();
            let fencing = holder["fencing"].as_u64().unwrap_or_default();
            if holder["holder"] == name {
                held.insert(shard, fencing);
            }
        }
    }
    held
}

/// Returns the index of the first gateway that holds a matching shard, or 0 if there is none.
pub(super) async fn find_holder(fleet: &Fleet, is_wanted: impl Fn(&str) -> bool) -> usize {
    let addresses = fleet.addresses();
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        let held = shards_held_by(fleet, &addresses, gateway.name()).await;
        if held.keys().any(|shard| is_wanted(shard)) {
            return index;
        }
    }
    0
}

/// Returns the index of the gateway that holds an organisation's budget and request ids.
pub(super) async fn find_budget_holder(fleet: &Fleet, organisation: &str) -> usize {
    let wanted = budget_shard(&OrganisationId::new(organisation)).to_string();
    find_holder(fleet, |shard| shard == wanted).await
}
