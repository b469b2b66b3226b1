use std::future::Future;
use std::rc::{Rc, Weak};

use crate::config::{Change, ConfigPeers, Snapshot, Witness};
use crate::gateway::Node;
use crate::lease::{LeaseClaim, Witnesses};
use crate::peer::{Member, PeerClient, PeerError};
use crate::units::{Incarnation, InstanceId, Version};

/// Calls to the other instances, as leases and configuration need them.
#[derive(Clone)]
pub struct NodePeers {
    node: Weak<Node>,
}

impl NodePeers {
    pub fn new(node: Weak<Node>) -> NodePeers {
        NodePeers { node }
    }

    /// Calls a peer; `None` if it cannot be reached or does not respond.
    async fn call_peer<T, F>(
        &self,
        peer: &InstanceId,
        call: impl FnOnce(PeerClient) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, PeerError>>,
    {
        let node = self.node.upgrade()?;
        let client = node.peers.connect(peer, &node).await.ok()?;
        match call(client).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!(target: "peer", "call to {peer} failed: {error}");
                None
            }
        }
    }

    /// This instance's node if it is the witness itself, which needs no remote call.
    fn local_node(&self, instance: &InstanceId) -> Option<Rc<Node>> {
        self.node.upgrade().filter(|node| node.settings.instance == *instance)
    }
}

impl Witnesses for NodePeers {
    fn candidates(&self) -> Vec<Member> {
        self.node.upgrade().map(|node| node.membership.candidates()).unwrap_or_default()
    }

    fn is_gone(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.node.upgrade().is_some_and(|node| node.membership.is_gone(instance, incarnation))
    }

    async fn extend(&self, witness: &InstanceId, claim: LeaseClaim) -> bool {
        if let Some(node) = self.local_node(witness) {
            return node.leases.extend(&claim);
        }
        let call = |client: PeerClient| async move { client.extend_lease(&claim).await };
        self.call_peer(witness, call).await.unwrap_or(false)
    }

    async fn consent(&self, witness: &InstanceId, claim: LeaseClaim) -> bool {
        if let Some(node) = self.local_node(witness) {
            return node.leases.consent(&claim);
        }
        let call = |client: PeerClient| async move { client.consent_takeover(&claim).await };
        self.call_peer(witness, call).await.unwrap_or(false)
    }
}

impl ConfigPeers for NodePeers {
    fn members(&self) -> Vec<Member> {
        Witnesses::candidates(self)
    }

    fn is_gone(&self, witness: &Witness) -> bool {
        Witnesses::is_gone(self, &witness.instance, witness.incarnation)
    }

    async fn note_version(&self, witness: &Witness, version: Version) -> bool {
        let incarnation = witness.incarnation;
        if let Some(node) = self.local_node(&witness.instance) {
            return node.configuration.note_version(version, incarnation);
        }
        let call =
            |client: PeerClient| async move { client.note_version(version, incarnation).await };
        self.call_peer(&witness.instance, call).await.unwrap_or(false)
    }

    async fn noted_version(&self, witness: &Witness) -> Option<Version> {
        let incarnation = witness.incarnation;
        if let Some(node) = self.local_node(&witness.instance) {
            return node.configuration.noted_version(incarnation);
        }
        let call = |client: PeerClient| async move { client.noted_version(incarnation).await };
        self.call_peer(&witness.instance, call).await.flatten()
    }

    async fn push_to(&self, witness: &Witness, change: &Change) -> Option<Version> {
        if let Some(node) = self.local_node(&witness.instance) {
            return Some(node.configuration.apply(change.clone()));
        }
        let call = |client: PeerClient| async move { client.push_change(change).await };
        self.call_peer(&witness.instance, call).await
    }

    async fn changes_since(
        &self,
        peer: &InstanceId,
        version: Version,
    ) -> Option<(Vec<Change>, Version)> {
        let call = |client: PeerClient| async move { client.changes_since(version).await };
        self.call_peer(peer, call).await
    }

    async fn snapshot(&self, peer: &InstanceId) -> Option<Snapshot> {
        let call = |client: PeerClient| async move { client.snapshot().await };
        let (version, text) = self.call_peer(peer, call).await?;
        Some(Snapshot { version, text: text.into() })
    }

    fn push(&self, change: &Change) {
        let Some(node) = self.node.upgrade() else { return };
        for member in node.membership.live_peers() {
            let Some(client) = node.peers.client(&member.instance) else { continue };
            let change = change.clone();
            tokio::task::spawn_local(async move {
                if let Err(error) = client.push_change(&change).await {
                    log::debug!(target: "config", "push to {} failed: {error}", member.instance);
                }
            });
        }
    }
}
