use serde::{Deserialize, Serialize};

use crate::units::{Incarnation, InstanceId};

/// A configuration witness: one run of an instance. A restarted instance is another witness, since
/// it has forgotten which versions it had noted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Witness {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
}
