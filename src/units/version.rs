use crate::units::macros::quantity;

quantity! {
    /// Version of the configuration document.
    Version
}
