//! Selection and replacement of the configuration witnesses.

use std::collections::HashMap;

use crate::clock::Clock;
use crate::config::configuration::LOG;
use crate::config::proposal::Proposal;
use crate::config::{Change, ConfigError, ConfigPeers, Configuration, Head, Witness};
use crate::hash::rendezvous_order;
use crate::peer::Member;
use crate::store::{ObjectStore, Table};
use crate::units::{Version, ZoneId};

/// Number of witnesses in a fleet of at least this many instances; smaller fleets use
/// `SMALL_FLEET_WITNESS_COUNT`.
const WITNESS_COUNT: usize = 5;
const SMALL_FLEET_WITNESS_COUNT: usize = 3;

impl<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> Configuration<T, O, C, W> {
    /// Replaces witnesses that are not live. Only the first live instance in rendezvous order does
    /// this; if two instances attempt it at once, one of them fails with a conflict.
    pub(super) async fn replace_witnesses(&self) -> Result<(), ConfigError> {
        let Some(witnesses) = self.current().witnesses.clone() else { return Ok(()) };
        let chosen = self.choose_witnesses(&witnesses);
        let should_replace = {
            let needs_replacement = !same_set(&chosen, &witnesses) && self.is_replacer();
            let mut state = self.state.borrow_mut();
            // Require two consecutive checks, since heartbeats may be lost for a short time.
            std::mem::replace(&mut state.has_dead_witness, needs_replacement) && needs_replacement
        };
        if !should_replace {
            return Ok(());
        }
        let (head, revision) = self.newest_head().await?;
        let chosen = self.choose_witnesses(&head.witnesses);
        if same_set(&chosen, &head.witnesses) {
            return Ok(());
        }
        let proposal = self.witness_proposal(&head, chosen)?;
        let version = self.commit(proposal, Some((head, revision))).await?;
        log::info!(target: LOG, "replaced witnesses in version {version}");
        Ok(())
    }

    fn witness_proposal(
        &self,
        head: &Head,
        witnesses: Vec<Witness>,
    ) -> Result<Proposal, ConfigError> {
        let active = self.current();
        let version = Version(head.version.get() + 1);
        let inserted = serde_json::to_string(&witnesses)
            .map_err(|_| ConfigError::MalformedRow { key: Head::KEY.into() })?;
        let change = Change {
            version,
            section: Change::WITNESSES.into(),
            offset_bytes: 0,
            removed_bytes: 0,
            inserted,
            content_hash: active.content_hash(),
        };
        let next = active.with_witnesses(version, witnesses.as_slice().into());
        Ok(Proposal { next, change, team: "".into(), attempt: self.next_attempt(), witnesses })
    }

    fn is_replacer(&self) -> bool {
        let members = self.peers.members();
        let live = members.iter().filter(|member| !member.is_leaving);
        let mut order: Vec<&str> = live.map(|member| member.instance.as_str()).collect();
        rendezvous_order(Head::KEY, &mut order);
        order.first() == Some(&self.local_witness.instance.as_str())
    }

    /// Keeps the live witnesses of `current` and adds live instances, spread over availability
    /// zones.
    pub(super) fn choose_witnesses(&self, current: &[Witness]) -> Vec<Witness> {
        let mut members = self.peers.members();
        members.retain(|member| !member.is_leaving);
        members.sort_by(|a, b| a.instance.as_str().cmp(b.instance.as_str()));
        let target_count =
            if members.len() < WITNESS_COUNT { SMALL_FLEET_WITNESS_COUNT } else { WITNESS_COUNT };
        let (mut chosen, mut candidates): (Vec<_>, Vec<_>) =
            members.iter().partition(|member| current.contains(&witness(member)));
        chosen.truncate(target_count);
        while chosen.len() < target_count && !candidates.is_empty() {
            let mut zone_counts: HashMap<&ZoneId, usize> = HashMap::new();
            chosen.iter().for_each(|member| *zone_counts.entry(&member.zone).or_default() += 1);
            let witnesses_in_zone =
                |member: &&&Member| zone_counts.get(&member.zone).copied().unwrap_or(0);
            let next =
                candidates.iter().enumerate().min_by_key(|(_, member)| witnesses_in_zone(member));
            let Some((index, _)) = next else { break };
            chosen.push(candidates.remove(index));
        }
        chosen.into_iter().map(witness).collect()
    }
}

fn witness(member: &Member) -> Witness {
    Witness { instance: member.instance.clone(), incarnation: member.incarnation }
}

fn same_set(a: &[Witness], b: &[Witness]) -> bool {
    a.len() == b.len() && a.iter().all(|witness| b.contains(witness))
}
