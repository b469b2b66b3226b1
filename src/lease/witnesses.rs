use crate::lease::LeaseClaim;
use crate::peer::Member;
use crate::units::{Incarnation, InstanceId};

/// The other instances, as the leases need them.
#[allow(async_fn_in_trait)]
pub trait Witnesses: Clone + 'static {
    /// Live instances, this one included.
    fn candidates(&self) -> Vec<Member>;

    /// Whether successful reads of the platform's list have not shown this incarnation for 60 s.
    /// True must mean that the process has ended: its vote is then no longer needed.
    fn is_gone(&self, instance: &InstanceId, incarnation: Incarnation) -> bool;

    /// Asks a witness to extend a lease. False if it refuses or does not answer.
    async fn extend(&self, witness: &InstanceId, claim: LeaseClaim) -> bool;

    /// Asks a witness to consent to the takeover of a lease. False if it refuses or does not
    /// answer.
    async fn consent(&self, witness: &InstanceId, claim: LeaseClaim) -> bool;
}
