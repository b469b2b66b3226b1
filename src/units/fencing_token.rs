use crate::units::macros::quantity;

quantity! {
    /// Fencing number of a lease; grows with each change of holder.
    FencingToken
}
