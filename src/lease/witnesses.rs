use crate::lease::LeaseClaim;
use crate::peer::Member;
use crate::units::{Incarnation, InstanceId};

/// Membership and witness calls that leases need from the other instances.
#[allow(async_fn_in_trait)]
pub trait Witnesses: Clone + 'static {
    /// Live instances, including this one.
    fn candidates(&self) -> Vec<Member>;

    /// Whether the platform's instance list, successfully read, has not contained this incarnation
    /// for 60 s. True implies that the process has ended, so that its vote is not needed.
    fn is_gone(&self, instance: &InstanceId, incarnation: Incarnation) -> bool;

    /// Asks a witness to extend a lease. Returns false if it refuses or does not respond.
    async fn extend(&self, witness: &InstanceId, claim: LeaseClaim) -> bool;

    /// Asks a witness to consent to the takeover of a lease. Returns false if it refuses or does
    /// not respond.
    async fn consent(&self, witness: &InstanceId, claim: LeaseClaim) -> bool;
}
