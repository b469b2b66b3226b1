use crate::units::macros::text_id;

text_id! {
    /// Name of a service, which is provided by one or more endpoints.
    ServiceId
}
