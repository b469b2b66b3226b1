use serde::Serialize;
use smol_str::SmolStr;

use crate::gateway::Node;
use crate::peer::Member;
use crate::units::ZoneId;

/// Weight of an idle instance. A fully loaded one keeps the minimum weight, since reported loads
/// lag behind.
const MAX_WEIGHT: u32 = 1000;
const MIN_WEIGHT: u32 = 50;
/// Factor, in permille, for an instance in another availability zone than the caller's.
const OTHER_ZONE_PERMILLE: u32 = 500;

/// Response of `GET /v1/addresses`: the instances to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    pub addresses: Vec<WeightedAddress>,
    /// How long a caller may cache the response.
    pub keep_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WeightedAddress {
    pub address: SmolStr,
    pub zone: ZoneId,
    pub weight: u32,
}

impl Addresses {
    /// Lists the live instances of this region that are not leaving, or those of all regions if
    /// there is none. Instances in the caller's zone, if it named one, get a higher weight.
    pub fn of_fleet(node: &Node, caller_zone: Option<&str>) -> Addresses {
        let members = node.membership.candidates();
        let is_local = |member: &&Member| member.region == node.settings.region;
        let local: Vec<&Member> = members.iter().filter(is_local).collect();
        let chosen = if local.is_empty() { members.iter().collect() } else { local };
        let addresses = chosen
            .into_iter()
            .map(|member| WeightedAddress {
                address: member.http_address.clone(),
                zone: member.zone.clone(),
                weight: weight(member, node, caller_zone),
            })
            .collect();
        Addresses { addresses, keep_ms: node.settings.addresses_ttl_ms }
    }
}

fn weight(member: &Member, node: &Node, caller_zone: Option<&str>) -> u32 {
    let is_own = member.instance == node.settings.instance;
    let load_permille = if is_own { node.load_permille() } else { member.load_permille };
    let weight = MAX_WEIGHT.saturating_sub(load_permille).max(MIN_WEIGHT);
    match caller_zone {
        Some(zone) if zone != member.zone.as_str() => weight * OTHER_ZONE_PERMILLE / 1000,
        _ => weight,
    }
}
