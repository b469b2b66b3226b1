use serde::{Deserialize, Serialize};

use crate::units::{Incarnation, InstanceId};

/// A configuration witness, identified by instance and incarnation. A restarted instance is a
/// different witness, since it has lost its notes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Witness {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
}
