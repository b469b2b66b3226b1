use derive_more::{Display, Error, From};
use smol_str::SmolStr;

use crate::http::HttpError;
use crate::units::FencingToken;

/// The reason why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Display, Error, From)]
pub enum EngineError {
    #[display("{_0}")]
    Http(HttpError),
    /// The prefill result was dropped before it was imported.
    #[display("prefill result expired")]
    #[from(ignore)]
    PrefillExpired,
    #[display("transfer of the KV cache did not finish in time")]
    #[from(ignore)]
    TransferStalled,
    #[display("engine is out of memory or slots")]
    #[from(ignore)]
    Full,
    #[display("engine does not hold the attempt")]
    #[from(ignore)]
    UnknownAttempt,
    #[display("engine refused the order: it has seen fencing number {newest}")]
    #[from(ignore)]
    Fenced { newest: FencingToken },
    #[display("engine refused the request: {reason}")]
    #[from(ignore)]
    Refused {
        #[error(not(source))]
        reason: SmolStr,
    },
    /// The stream ended without its final event.
    #[display("stream was cut")]
    #[from(ignore)]
    StreamCut,
    /// No event arrived before the progress deadline.
    #[display("stream made no progress")]
    #[from(ignore)]
    NoProgress,
}
