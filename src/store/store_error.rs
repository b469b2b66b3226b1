use derive_more::{Display, Error};
use smol_str::SmolStr;

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The call had no effect.
    #[display("platform at {address} refused the call: {reason}")]
    Unavailable { address: SmolStr, reason: SmolStr },
    /// The call may have taken effect, because its response was lost or late.
    #[display("platform at {address} did not answer: {reason}")]
    Unanswered { address: SmolStr, reason: SmolStr },
    #[display("platform at {address} gave a malformed answer: {reason}")]
    Malformed { address: SmolStr, reason: SmolStr },
    #[display("object {hash} has other content than its name says")]
    WrongContent { hash: SmolStr },
}
