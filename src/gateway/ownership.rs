//! Applies lease and configuration changes to the budgets and pools of this instance.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::config::{Document, Endpoint, Rate};
use crate::gateway::{BUDGET_SHARDS, Node, budget_shard};
use crate::lease::LeaseEvent;
use crate::serve::collect_claims;
use crate::units::{OrganisationId, RegionId, ShardId};

/// Applies gained and lost leases to budgets, claims and pools.
pub async fn apply_lease_events(node: Rc<Node>, mut events: mpsc::UnboundedReceiver<LeaseEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            LeaseEvent::Gained { shard, fencing, previous_end } => {
                log::info!(target: "lease", "gained {shard} with fencing token {fencing}");
                match shard {
                    ShardId::Budget(_) => {
                        node.budgets.add_shard(&shard, fencing, previous_end);
                        node.region_budgets.add_shard(&shard, fencing, previous_end);
                        spawn_local(collect_claims(Rc::clone(&node), shard, fencing));
                    }
                    ShardId::RegionBudget { .. } => {
                        node.region_budgets.add_shard(&shard, fencing, previous_end);
                    }
                    ShardId::Pool { .. } => node.pools.gain(shard, fencing, previous_end),
                }
            }
            LeaseEvent::Lost { shard } => {
                log::info!(target: "lease", "lost {shard}");
                match shard {
                    ShardId::Budget(_) => release_budgets(&node, &shard),
                    ShardId::RegionBudget { .. } => node.region_budgets.remove_shard(&shard),
                    ShardId::Pool { .. } => node.pools.lose(&shard),
                }
            }
        }
    }
}

fn release_budgets(node: &Node, shard: &ShardId) {
    node.budgets.remove_shard(shard);
    node.region_budgets.remove_shard(shard);
    node.claims.retain_organisations(|organisation| budget_shard(organisation) != *shard);
}

/// Applies each new version of the document to budgets and pools.
pub async fn apply_configuration(node: Rc<Node>, shards: watch::Sender<Vec<ShardId>>) {
    let mut versions = node.configuration.subscribe();
    let mut regions = BTreeSet::new();
    let mut rates = Rc::default();
    loop {
        let current = node.configuration.current();
        log::info!(target: "config", "version {} in force", current.version);
        // Most changes do not affect the rates, and copying them takes milliseconds in a large
        // fleet.
        let current_regions = regions_of(&current.document);
        if regions != current_regions || !Rc::ptr_eq(&rates, &current.document.rates) {
            regions = current_regions;
            rates = Rc::clone(&current.document.rates);
            set_rates(&node, &regions, &rates);
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

/// With several regions the holders of the budget shards grant no draws; the region budgets do.
fn set_rates(
    node: &Node,
    regions: &BTreeSet<RegionId>,
    rates: &Rc<BTreeMap<OrganisationId, Rate>>,
) {
    if regions.len() > 1 {
        node.budgets.suspend();
    } else {
        node.budgets.set_rates(rates);
    }
    node.region_budgets.set_document(regions.clone(), Rc::clone(rates));
    node.allowances.set_rates(rates);
}

fn regions_of(document: &Document) -> BTreeSet<RegionId> {
    document.zones.values().map(|zone| zone.region.clone()).collect()
}

/// Region budget shards; none if there is only one region.
fn region_budgets_of(document: &Document) -> Vec<ShardId> {
    let regions = Some(regions_of(document)).filter(|regions| regions.len() > 1);
    let shards = regions.into_iter().flatten().flat_map(|region| {
        let shard = move |index| ShardId::RegionBudget { region: region.clone(), index };
        (0..ShardId::BUDGET_SHARDS_PER_REGION).map(shard)
    });
    shards.collect()
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
    let budgets = budgets.chain(region_budgets_of(document));
    budgets.chain(pools).collect::<BTreeSet<_>>().into_iter().collect()
}
