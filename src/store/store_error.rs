use derive_more::{Display, Error};
use smol_str::SmolStr;

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The call had no effect.
    #[display("platform at {address} refused the call: {reason}")]
    Unavailable { address: SmolStr, reason: SmolStr },
    /// The call may have taken effect, because its response was lost or late.
    #[display("no response from platform at {address}: {reason}")]
    Unanswered { address: SmolStr, reason: SmolStr },
    #[display("malformed response from platform at {address}: {reason}")]
    Malformed { address: SmolStr, reason: SmolStr },
    #[display("content of object {hash} does not match its hash")]
    WrongContent { hash: SmolStr },
}
