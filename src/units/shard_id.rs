use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::hash::stable_hash;
use crate::units::{ModelId, OrganisationId, RegionId, UnitError};

/// Identifier of a shard, the unit of ownership that instances lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ShardId {
    /// Token budgets and request ids of a subset of the organisations.
    Budget(u32),
    /// One region's parts of the token budgets of all budget shards `n` with `n % 4 = index`.
    RegionBudget { region: RegionId, index: u32 },
    /// Prefill and decode endpoints that serve one model in one region, or one slice of these
    /// endpoints.
    Pool { region: RegionId, model: ModelId, slice: u32 },
}

impl ShardId {
    /// Number of regional budget shards in each region.
    pub const BUDGET_SHARDS_PER_REGION: u32 = 4;

    pub fn of_organisation(organisation: &OrganisationId, budget_shards: u32) -> ShardId {
        ShardId::Budget((stable_hash(organisation.as_str()) % u64::from(budget_shards)) as u32)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ShardId::Budget(index) => write!(f, "budget/{index}"),
            ShardId::RegionBudget { region, index } => write!(f, "budget/{region}/{index}"),
            ShardId::Pool { region, model, slice } => write!(f, "pool/{region}/{model}/{slice}"),
        }
    }
}

impl FromStr for ShardId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<ShardId, UnitError> {
        let malformed = || UnitError::Malformed("ShardId", text.into());
        let number = |text: &str| text.parse().map_err(|_| malformed());
        let parts: Vec<&str> = text.split('/').collect();
        match parts.as_slice() {
            ["budget", index] => Ok(ShardId::Budget(number(index)?)),
            ["budget", region, index] => {
                Ok(ShardId::RegionBudget { region: region.parse()?, index: number(index)? })
            }
            ["pool", region, model, slice] => Ok(ShardId::Pool {
                region: region.parse()?,
                model: model.parse()?,
                slice: number(slice)?,
            }),
            _ => Err(malformed()),
        }
    }
}

impl Serialize for ShardId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ShardId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ShardId, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
