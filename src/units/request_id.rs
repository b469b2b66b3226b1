use crate::units::macros::text_id;

text_id! {
    /// Identifier of a request, chosen by the caller or by the gateway.
    RequestId
}
