use crate::units::macros::text_id;

text_id! {
    /// Name of a service, which endpoints of one kind make up.
    ServiceId
}
