//! Extension of leases by their witnesses while the table is slow or unavailable.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::clock::{Clock, Instant};
use crate::lease::leases::WITNESS_TIMEOUT_MS;
use crate::lease::votes::Votes;
use crate::lease::{Holding, Leases, Witness, Witnesses};
use crate::store::Table;
use crate::units::{FencingToken, ShardId};

/// Interval of the checks for lapsed leases and for leases close to their deadline.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

impl<T: Table, W: Witnesses, C: Clock> Leases<T, W, C> {
    pub(super) async fn extend_loop(&self) {
        loop {
            tokio::time::sleep(CHECK_PERIOD).await;
            self.drop_lapsed();
            self.extend_expiring().await;
        }
    }

    /// Extends leases with less than half a TTL left. Renewals leave more than that unless the
    /// table is slow or does not respond.
    async fn extend_expiring(&self) {
        let expiring = self.expiring_before(self.now().plus_ms(self.settings.ttl_ms / 2));
        let mut extensions: FuturesUnordered<_> =
            expiring.into_iter().map(|s| self.extend_one(s)).collect();
        while extensions.next().await.is_some() {}
    }

    fn expiring_before(&self, before: Instant) -> Vec<ShardId> {
        let state = self.state.borrow();
        let expiring = state.leases.iter().filter(|(_, lease)| lease.deadline <= before);
        expiring.map(|(shard, _)| shard.clone()).collect()
    }

    async fn extend_one(&self, shard: ShardId) {
        let sent = self.now();
        let Some((fencing, sets)) = self.witness_sets(&shard) else { return };
        let holding = Holding {
            shard: shard.clone(),
            holder: self.local().instance.clone(),
            incarnation: self.local().incarnation,
            fencing,
        };
        let mut votes = Votes::new(sets);
        let voters = votes.voters();
        let mut pending_votes: FuturesUnordered<_> =
            voters.iter().map(|witness| self.ask_extension(witness, &holding)).collect();
        // Waits for every vote: each witness that agrees cannot consent to a takeover meanwhile.
        while let Some(vote) = pending_votes.next().await {
            if let Some(witness) = vote {
                votes.agree(witness);
                if votes.has_majority() {
                    self.mark_extended(&shard, fencing, sent);
                }
            }
        }
        drop(pending_votes);
        let refused = voters.into_iter().filter(|w| !votes.has_agreed(w)).collect();
        if let Some(lease) = self.state.borrow_mut().leases.get_mut(&shard) {
            lease.refused = refused;
        }
    }

    /// The witness sets that the row may name now. If a later write replaces the witnesses,
    /// candidates have to watch the new row for longer than this extension lasts.
    fn witness_sets(&self, shard: &ShardId) -> Option<(FencingToken, Vec<Vec<Witness>>)> {
        let state = self.state.borrow();
        let lease = state.leases.get(shard)?;
        Some((lease.fencing, lease.witness_sets()))
    }

    async fn ask_extension(&self, witness: &Witness, holding: &Holding) -> Option<Witness> {
        let claim = witness.claim(holding);
        let agrees = if witness.instance == self.local().instance {
            self.extend(&claim)
        } else {
            let call = self.settings.witnesses.extend(&witness.instance, claim);
            let limit = Duration::from_millis(WITNESS_TIMEOUT_MS);
            tokio::time::timeout(limit, call).await.unwrap_or(false)
        };
        agrees.then(|| witness.clone())
    }

    fn mark_extended(&self, shard: &ShardId, fencing: FencingToken, sent: Instant) {
        let mut state = self.state.borrow_mut();
        if let Some(lease) = state.leases.get_mut(shard)
            && lease.fencing == fencing
        {
            lease.deadline = lease.deadline.max(sent.plus_ms(self.settings.ttl_ms));
        }
    }
}
