use crate::config::{Change, Snapshot, Witness};
use crate::peer::Member;
use crate::units::{InstanceId, Version};

/// Calls to other instances that the configuration needs. Calls that fail or time out return `None` or
/// `false`.
#[allow(async_fn_in_trait)]
pub trait ConfigPeers: 'static {
    /// Instances that this instance considers live, including itself.
    fn members(&self) -> Vec<Member>;

    /// Whether the witness's process is known to have ended, so that no other instance can get a
    /// reply from it either.
    fn is_gone(&self, witness: &Witness) -> bool;

    /// Asks a witness to note that `version` is about to be committed. See
    /// `Configuration::note_version`.
    async fn note_version(&self, witness: &Witness, version: Version) -> bool;

    /// Asks a witness for the newest version that it has noted or installed.
    async fn noted_version(&self, witness: &Witness) -> Option<Version>;

    /// Sends a change to a witness and returns the active version there.
    async fn push_to(&self, witness: &Witness, change: &Change) -> Option<Version>;

    /// Returns the peer's changes after `version`, oldest first, and its active version.
    async fn changes_since(
        &self,
        peer: &InstanceId,
        version: Version,
    ) -> Option<(Vec<Change>, Version)>;

    async fn snapshot(&self, peer: &InstanceId) -> Option<Snapshot>;

    /// Sends a change to the connected peers without waiting for replies.
    fn push(&self, change: &Change);
}
