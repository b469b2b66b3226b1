use serde::{Deserialize, Serialize};

use crate::lease::{Holding, LeaseClaim};
use crate::peer::Member;
use crate::units::{AttemptId, FencingToken, Incarnation, InstanceId, ShardId};

/// A process of an instance, identified by its incarnation, that votes on extensions and takeovers
/// of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Witness {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
}

impl Witness {
    /// The current incarnation of a member.
    pub fn of(member: &Member) -> Witness {
        Witness { instance: member.instance.clone(), incarnation: member.incarnation }
    }

    /// Builds the claim to send to this witness.
    pub fn claim(&self, holding: &Holding) -> LeaseClaim {
        LeaseClaim { holding: holding.clone(), witness_incarnation: self.incarnation }
    }
}

/// Value of the table row `lease/<shard>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    pub holder: InstanceId,
    pub incarnation: Incarnation,
    pub fencing: FencingToken,
    /// Number of renewals with this fencing token.
    pub renewal: u64,
    pub witnesses: Vec<Witness>,
    /// Id of the write that produced this value, by which a write without a response is recognised.
    pub attempt: AttemptId,
}

impl LeaseRow {
    /// Key of the shard's lease row in the table.
    pub fn key(shard: &ShardId) -> String {
        format!("lease/{shard}")
    }

    /// Serialises the row as JSON.
    pub fn encode(&self) -> String {
        // Serialising a struct of strings and integers cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses a row; `None` if the text is not a valid lease row.
    pub fn decode(text: &str) -> Option<LeaseRow> {
        serde_json::from_str(text).ok()
    }

    /// The holding that the row records.
    pub fn holding(&self, shard: &ShardId) -> Holding {
        Holding {
            shard: shard.clone(),
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            fencing: self.fencing,
        }
    }

    /// Whether the row names the current incarnation of the member as holder.
    pub fn is_held_by(&self, member: &Member) -> bool {
        self.holder == member.instance && self.incarnation == member.incarnation
    }
}
