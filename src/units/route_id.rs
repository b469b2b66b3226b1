use crate::units::macros::text_id;

text_id! {
    /// Name of a route.
    RouteId
}
