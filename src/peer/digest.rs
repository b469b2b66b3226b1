use crate::hash::stable_hash;
use crate::units::{Incarnation, InstanceId};

/// Short proof of life of many members. Full records are sent only of members that are new, have
/// changed or are asked for: repeating them cost 187 B for each member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// The first of the groups below; the others follow it, and the first group the last.
    pub first_group: u8,
    /// Hash of the keys of each group's members. The receiver reads a group's counters only if it
    /// knows the same members.
    pub group_hashes: Vec<u32>,
    /// Number of members in each group.
    pub group_sizes: Vec<u8>,
    /// Low bits of the heartbeat counter of each member, in the order of groups and keys.
    pub counters: Vec<u8>,
    /// Members with their keys, for receivers that know other members in a group.
    pub summaries: Vec<MemberSummary>,
}

/// A member by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSummary {
    pub key: u32,
    /// Low bits of the heartbeat counter.
    pub counter: u8,
    /// Counter steps since the load was measured.
    pub load_age: u8,
    /// Share of the member's request slots in use, in parts of `LOAD_STEP_PERMILLE`.
    pub load: u8,
}

impl Digest {
    /// Groups that the members are divided into by their keys. A change of one member makes only
    /// its group unreadable to those that do not know of the change yet.
    pub const GROUPS: u8 = 16;
    pub const LOAD_STEP_PERMILLE: u32 = 4;

    /// Names a run of an instance: a restarted instance has another key.
    pub fn key(instance: &InstanceId, incarnation: Incarnation) -> u32 {
        stable_hash(&format!("{instance}|{}", incarnation.0)) as u32
    }

    pub fn group_of(key: u32) -> u8 {
        (key % u32::from(Self::GROUPS)) as u8
    }

    /// FNV-1a over the keys, which are hashes themselves.
    pub fn group_hash(keys: impl Iterator<Item = u32>) -> u32 {
        let bytes = keys.flat_map(u32::to_le_bytes);
        bytes.fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
    }

    /// Each group with its number, hash and counters.
    pub fn groups(&self) -> impl Iterator<Item = (u8, u32, &[u8])> {
        let mut start = 0;
        self.group_hashes.iter().zip(&self.group_sizes).zip(0u8..).map(
            move |((hash, size), index)| {
                let end = (start + usize::from(*size)).min(self.counters.len());
                let counters = &self.counters[start..end];
                start = end;
                (self.first_group.wrapping_add(index) % Self::GROUPS, *hash, counters)
            },
        )
    }
}
