use serde::{Deserialize, Serialize};

use crate::lease::{Holding, LeaseClaim};
use crate::peer::Member;
use crate::units::{AttemptId, FencingToken, Incarnation, InstanceId, ShardId};

/// One run of an instance that votes on extensions and takeovers of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Witness {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
}

impl Witness {
    /// The current run of a member.
    pub fn of(member: &Member) -> Witness {
        Witness { instance: member.instance.clone(), incarnation: member.incarnation }
    }

    /// The question to this witness about a holding.
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
    /// Number of renewals under this fencing number.
    pub renewal: u64,
    pub witnesses: Vec<Witness>,
    /// The write that made this value. A write whose answer was lost is recognised by it.
    pub attempt: AttemptId,
}

impl LeaseRow {
    /// Key of the shard's row in the table.
    pub fn key(shard: &ShardId) -> String {
        format!("lease/{shard}")
    }

    /// The row's value as JSON.
    pub fn encode(&self) -> String {
        // A struct of texts and integers always serialises.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// `None` if the text is no lease row.
    pub fn decode(text: &str) -> Option<LeaseRow> {
        serde_json::from_str(text).ok()
    }

    /// The holder that the row names.
    pub fn holding(&self, shard: &ShardId) -> Holding {
        Holding {
            shard: shard.clone(),
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            fencing: self.fencing,
        }
    }

    /// Whether the row names this run of the member.
    pub fn is_held_by(&self, member: &Member) -> bool {
        self.holder == member.instance && self.incarnation == member.incarnation
    }
}
