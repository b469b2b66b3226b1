use crate::units::macros::quantity;

quantity! {
    /// Fencing token of a lease, increased with each change of holder.
    FencingToken
}
