use crate::config::{Change, Snapshot, Witness};
use crate::peer::Member;
use crate::units::{InstanceId, Version};

/// What the configuration needs of the other instances. Calls that fail or take too long answer
/// `None` or `false`.
#[allow(async_fn_in_trait)]
pub trait ConfigPeers: 'static {
    /// Live instances in this instance's view, itself included.
    fn members(&self) -> Vec<Member>;

    /// Whether this run of the instance certainly has ended, so that nobody can get an answer
    /// from it.
    fn is_gone(&self, witness: &Witness) -> bool;

    /// Asks a witness to note that `version` is about to be committed.
    async fn note_version(&self, witness: &Witness, version: Version) -> bool;

    /// Asks a witness for the newest version that it has noted.
    async fn noted_version(&self, witness: &Witness) -> Option<Version>;

    /// Sends a change to a witness and returns the version in force there.
    async fn push_to(&self, witness: &Witness, change: &Change) -> Option<Version>;

    /// The peer's changes after `version`, oldest first, and its version in force.
    async fn changes_since(
        &self,
        peer: &InstanceId,
        version: Version,
    ) -> Option<(Vec<Change>, Version)>;

    async fn snapshot(&self, peer: &InstanceId) -> Option<Snapshot>;

    /// Sends a change to the connected peers without waiting for them.
    fn push(&self, change: &Change);
}
