//! Tells the owners of budgets and pools what this instance holds.

use std::collections::BTreeSet;
use std::rc::Rc;

use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::config::{Document, Endpoint};
use crate::gateway::{BUDGET_SHARDS, Node, budget_shard};
use crate::lease::LeaseEvent;
use crate::serve::collect_claims;
use crate::units::ShardId;

/// Passes gained and lost leases on.
pub async fn follow_leases(node: Rc<Node>, mut events: mpsc::UnboundedReceiver<LeaseEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            LeaseEvent::Gained { shard, fencing, previous_end } => {
                log::info!(target: "lease", "{shard} gained, fencing {fencing}");
                match shard {
                    ShardId::Budget(_) => {
                        node.budgets.gain(&shard, fencing, previous_end);
                        spawn_local(collect_claims(Rc::clone(&node), shard, fencing));
                    }
                    ShardId::Pool { .. } => node.pools.gain(shard, fencing, previous_end),
                }
            }
            LeaseEvent::Lost { shard } => {
                log::info!(target: "lease", "{shard} lost");
                match shard {
                    ShardId::Budget(_) => lose_budgets(&node, &shard),
                    ShardId::Pool { .. } => node.pools.lose(&shard),
                }
            }
        }
    }
}

fn lose_budgets(node: &Node, shard: &ShardId) {
    node.budgets.lose(shard);
    node.claims.keep_organisations(|organisation| budget_shard(organisation) != *shard);
}

/// Puts each new version of the document in force in the owners.
pub async fn follow_configuration(node: Rc<Node>, shards: watch::Sender<Vec<ShardId>>) {
    let mut versions = node.configuration.subscribe();
    let mut rates = Rc::default();
    loop {
        let current = node.configuration.current();
        log::info!(target: "config", "version {} in force", current.version);
        // Most changes leave the rates as they are, and copying those of a large fleet takes
        // milliseconds.
        if !Rc::ptr_eq(&rates, &current.document.rates) {
            rates = Rc::clone(&current.document.rates);
            node.budgets.set_rates(&rates);
            node.allowances.set_rates(&rates);
        }
        node.pools.set_document(Rc::clone(&current.document));
        let wanted = shards_of(&current.document);
        shards.send_if_modified(|known| {
            let is_changed = *known != wanted;
            *known = wanted;
            is_changed
        });
        if versions.changed().await.is_err() {
            return;
        }
    }
}

pub(super) fn shards_of(document: &Document) -> Vec<ShardId> {
    let budgets = (0..BUDGET_SHARDS).map(ShardId::Budget);
    let pools = document.endpoints.values().filter_map(|endpoint| match endpoint {
        Endpoint::Engine(engine) => Some(ShardId::Pool {
            region: document.zones.get(&engine.zone)?.region.clone(),
            model: engine.model.clone(),
            slice: engine.slice,
        }),
        Endpoint::Plain(_) => None,
    });
    budgets.chain(pools).collect::<BTreeSet<_>>().into_iter().collect()
}
