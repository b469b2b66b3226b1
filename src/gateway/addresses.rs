use serde::Serialize;
use smol_str::SmolStr;

use crate::gateway::Node;
use crate::peer::Member;
use crate::units::ZoneId;

/// Weight of an idle instance; a fully loaded one still gets a little, since loads lag.
const MAX_WEIGHT: u32 = 1000;
const MIN_WEIGHT: u32 = 50;
/// Weight of an instance in another availability zone than the caller's, in permille.
const OTHER_ZONE_PERMILLE: u32 = 500;

/// Answer of `GET /v1/addresses`: which instances to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    pub addresses: Vec<WeightedAddress>,
    /// How long the answer may be kept.
    pub keep_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WeightedAddress {
    pub address: SmolStr,
    pub zone: ZoneId,
    pub weight: u32,
}

impl Addresses {
    /// Lists the live instances of this region that are not about to stop, or of all regions if
    /// there is none. The caller's zone, if it named one, weighs more.
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
