use serde::{Deserialize, Serialize};

use crate::balance::{IncarnationKey, PeerRejection};

/// What an instance has learned of endpoints from their responses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices {
    /// Endpoints that have announced that they are leaving.
    pub leaving: Vec<IncarnationKey>,
    /// Endpoints that reject many requests.
    pub rejections: Vec<PeerRejection>,
}
