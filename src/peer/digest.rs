use crate::hash::stable_hash;
use crate::units::{Incarnation, InstanceId};

/// Compact liveness information on many members. Full records are sent only for members that are
/// new, have changed or are requested: sending each member's record every time cost 187 B per
/// member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Number of the first group below. The others follow in order, wrapping around after the last
    /// group.
    pub first_group: u8,
    /// Hash of the member keys of each group. The receiver can read a group's counters only if it
    /// knows the same members.
    pub group_hashes: Vec<u32>,
    /// Number of members in each group.
    pub group_sizes: Vec<u8>,
    /// Low bits of the heartbeat counter of each member, ordered by group and key.
    pub counters: Vec<u8>,
    /// Members listed with their keys, for receivers whose members in a group differ.
    pub summaries: Vec<MemberSummary>,
}

/// The state of a member, identified by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSummary {
    pub key: u32,
    /// Low bits of the heartbeat counter.
    pub counter: u8,
    /// Counter increments since the load was measured.
    pub load_age: u8,
    /// Share of the member's request slots in use, in units of `LOAD_STEP_PERMILLE`.
    pub load: u8,
}

impl Digest {
    /// Number of groups that members are divided into by their keys. When one member changes, only
    /// its group becomes unreadable to receivers that do not know of the change yet.
    pub const GROUPS: u8 = 16;
    pub const LOAD_STEP_PERMILLE: u32 = 4;

    /// Key of an incarnation of an instance. A restarted instance has a different key.
    pub fn key(instance: &InstanceId, incarnation: Incarnation) -> u32 {
        stable_hash(&format!("{instance}|{}", incarnation.0)) as u32
    }

    pub fn group_of(key: u32) -> u8 {
        (key % u32::from(Self::GROUPS)) as u8
    }

    /// FNV-1a hash of the keys, which are hashes themselves.
    pub fn group_hash(keys: impl Iterator<Item = u32>) -> u32 {
        let bytes = keys.flat_map(u32::to_le_bytes);
        bytes.fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
    }

    /// Each group's number, hash and counters.
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
